#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct uv_loop_s;
struct uv_async_s;
struct uv_prepare_s;

/// Event loop over libuv, with timers, signals and work posted by other threads.
namespace lavenderhall::http {

/// Handle of a one-shot timer, which is cancelled when the handle is destroyed or assigned to.
/// A default-constructed handle has no timer.
class Timer
{
public:
    Timer() = default;
    Timer(Timer &&) noexcept = default;
    Timer &operator=(Timer &&other) noexcept;
    ~Timer() { this->cancel(); }

    /// Cancels the timer, if there is one. Its callback is not called any more.
    void cancel();
    /// Returns whether the handle has a timer, which may have fired already.
    bool isActive() const { return this->state != nullptr; }

private:
    friend class Loop;
    struct State;
    std::shared_ptr<State> state;
};

/// Holds back SIGHUP, SIGINT and SIGTERM, whose default action ends the process, until a loop
/// handles them. Call it at the start of the process, before other threads are started.
void holdSignals();

/// Returns the name of a signal that asks a process to stop, such as "SIGTERM".
const char *stopSignalName(int signal);

/// Event loop of one thread. Only post() and stop() may be called from other threads.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Handles events until stop() is called. An exception in a callback ends the process.
    void run() noexcept;
    /// Handles events for \a duration, or until stop() is called.
    void runFor(Millis duration) noexcept;
    /// Ends run() or runFor(). Any thread may call it.
    void stop();
    /// Calls \a work later on the loop's thread. Any thread may call it.
    void post(std::function<void()> work);

    /// Calls \a work after \a delay, when the events that wait then have been handled: connections
    /// are accepted and first bytes read. It can no longer be cancelled once \a delay is over.
    [[nodiscard]] Timer afterEvents(Millis delay, std::function<void()> work);

    /// Calls \a work once after \a delay, unless the returned handle is destroyed before.
    [[nodiscard]] Timer after(Millis delay, std::function<void()> work);

    /// Calls \a work on the loop's thread each time the process gets \a signal. Once the loop is
    /// destroyed, the signal is held back.
    void onSignal(int signal, std::function<void()> work);
    /// Calls \a work with each SIGTERM and SIGINT.
    void onStopSignals(const std::function<void(int signal)> &work);

    /// Returns a time before which the signal that is being handled was not sent. It is at most two
    /// iterations of the loop ago.
    MonoTime signalSentSince() const { return this->previousPollAt; }

    /// Returns the libuv loop, for sockets and listeners.
    uv_loop_s *handle() { return this->uvLoop.get(); }

private:
    void runPosted();
    /// Calls \a work after \a rounds iterations of the loop.
    void postAfter(int rounds, std::function<void()> work);

    struct SignalWatch;

    std::unique_ptr<uv_loop_s> uvLoop;
    std::unique_ptr<uv_async_s> wakeUp; ///< wakes the loop's thread after post()
    std::unique_ptr<uv_prepare_s> beforePoll; ///< notes when the loop begins to wait for events
    MonoTime pollAt{}; ///< when it began to for the last time
    MonoTime previousPollAt{}; ///< the same, one iteration before
    std::vector<std::unique_ptr<SignalWatch>> signalWatches;
    std::mutex postedMutex;
    std::vector<std::function<void()>> posted; ///< guarded by postedMutex
};

} // namespace lavenderhall::http
