#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct uv_loop_s;
struct uv_async_s;

/// The event loop of one task, over libuv and touched by one thread only.
namespace lavenderhall::http {

/// Cancels its timer when destroyed or reset. An empty handle cancels nothing.
class Timer
{
public:
    Timer() = default;
    Timer(Timer &&) noexcept = default;
    Timer &operator=(Timer &&other) noexcept;
    ~Timer() { this->cancel(); }

    void cancel();
    bool isActive() const { return this->state != nullptr; }

private:
    friend class Loop;
    struct State;
    std::shared_ptr<State> state;
};

/// One thread's event loop. All members but post() and stop() belong to that thread.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Serves until stop() is called.
    void run();
    /// Serves for \a duration, or until stop() is called.
    void runFor(Millis duration);
    /// Ends run() or runFor(). Any thread may call it.
    void stop();
    /// Runs \a work on the loop's thread, soon. Any thread may call it.
    void post(std::function<void()> work);

    /// Calls \a work once after \a delay, unless the returned handle goes first.
    [[nodiscard]] Timer after(Millis delay, std::function<void()> work);

    /// Calls \a work on the loop's thread each time the process gets \a signal.
    void onSignal(int signal, std::function<void()> work);
    /// The first SIGTERM or SIGINT calls \a drain, a further one stops the loop.
    void drainOnSignals(const std::function<void()> &drain);

    uv_loop_s *handle() { return this->uvLoop.get(); }

private:
    void drainPosted();

    struct SignalWatch;

    std::unique_ptr<uv_loop_s> uvLoop;
    std::unique_ptr<uv_async_s> wakeUp;
    std::vector<std::unique_ptr<SignalWatch>> signalWatches;
    std::mutex postedMutex;
    std::vector<std::function<void()>> posted;
};

} // namespace lavenderhall::http
