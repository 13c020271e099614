#include "http/loop.h"

#include <csignal>
#include <initializer_list>
#include <iterator>
#include <utility>
#include <uv.h>

namespace lavenderhall::http {

namespace {

void changeSignalMask(int how, std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : signals)
        sigaddset(&set, signal);
    pthread_sigmask(how, &set, nullptr);
}

} // namespace

void holdSignals()
{
    changeSignalMask(SIG_BLOCK, {SIGHUP, SIGINT, SIGTERM});
}

const char *stopSignalName(int signal)
{
    return signal == SIGINT ? "SIGINT" : "SIGTERM";
}

/// The libuv timer behind a handle. libuv uses it until its close callback has run, also when the
/// caller's Timer has been destroyed by then.
struct Timer::State
{
    uv_timer_t handle{};
    std::function<void()> work;
    std::shared_ptr<State> self; ///< keeps the state alive until libuv has closed the timer

    void fire()
    {
        if (uv_is_closing(reinterpret_cast<uv_handle_t *>(&this->handle)))
            return;
        const std::shared_ptr<State> keepAlive = this->self;
        keepAlive->close();
        keepAlive->work();
    }

    void close()
    {
        if (uv_is_closing(reinterpret_cast<uv_handle_t *>(&this->handle)))
            return;
        uv_close(reinterpret_cast<uv_handle_t *>(&this->handle),
                 [](uv_handle_t *closed) { static_cast<State *>(closed->data)->self.reset(); });
    }
};

struct Loop::SignalWatch
{
    uv_signal_t handle{};
    std::function<void()> work;
};

Timer &Timer::operator=(Timer &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->state = std::move(other.state);
    }
    return *this;
}

void Timer::cancel()
{
    const std::shared_ptr<State> cancelled = std::move(this->state);
    this->state = nullptr;
    if (cancelled)
        cancelled->close();
}

Loop::Loop()
    : uvLoop(std::make_unique<uv_loop_t>())
    , wakeUp(std::make_unique<uv_async_t>())
    , beforePoll(std::make_unique<uv_prepare_t>())
    , pollAt(monoNow())
    , previousPollAt(this->pollAt)
{
    // By default SIGPIPE ends the process on a write to a connection that the peer has closed.
    // Ignored, the write returns an error.
    std::signal(SIGPIPE, SIG_IGN);
    // The same for a write to a log file that has reached the limit on the size of files.
    std::signal(SIGXFSZ, SIG_IGN);
    uv_loop_init(this->uvLoop.get());
    uv_async_init(this->uvLoop.get(), this->wakeUp.get(),
                  [](uv_async_t *handle) { static_cast<Loop *>(handle->data)->runPosted(); });
    this->wakeUp->data = this;
    uv_prepare_init(this->uvLoop.get(), this->beforePoll.get());
    this->beforePoll->data = this;
    uv_prepare_start(this->beforePoll.get(), [](uv_prepare_t *handle) {
        auto *loop = static_cast<Loop *>(handle->data);
        loop->previousPollAt = std::exchange(loop->pollAt, monoNow());
    });
    uv_unref(reinterpret_cast<uv_handle_t *>(this->beforePoll.get()));
}

// libuv frees its handles in close callbacks, which it calls from the loop. So the loop runs until
// the handles closed here, and those that their owners have closed before, are gone.
Loop::~Loop()
{
    uv_close(reinterpret_cast<uv_handle_t *>(this->wakeUp.get()), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(this->beforePoll.get()), nullptr);
    for (const auto &watch : this->signalWatches) {
        changeSignalMask(SIG_BLOCK, {watch->handle.signum});
        uv_close(reinterpret_cast<uv_handle_t *>(&watch->handle), nullptr);
    }
    // What timers and posted work refer to may be destroyed already, so neither is called any more.
    std::vector<std::function<void()>> dropped;
    const auto dropTimer = [](uv_handle_t *handle, void *list) {
        if (handle->type != UV_TIMER || uv_is_closing(handle))
            return;
        auto *state = static_cast<Timer::State *>(handle->data);
        static_cast<std::vector<std::function<void()>> *>(list)->push_back(std::move(state->work));
        state->close();
    };
    while (uv_loop_alive(this->uvLoop.get()) != 0 || !this->posted.empty()) {
        uv_walk(this->uvLoop.get(), dropTimer, &dropped);
        dropped.insert(dropped.end(), std::make_move_iterator(this->posted.begin()),
                       std::make_move_iterator(this->posted.end()));
        this->posted.clear();
        dropped.clear();
        uv_run(this->uvLoop.get(), UV_RUN_ONCE);
    }
    uv_loop_close(this->uvLoop.get());
}

// An exception must not leave a callback of libuv: its loop is then in no defined state, and what
// is destroyed on the way out runs it again. Where nothing could be done about an exception, the
// process ends at once, and its last line says why.
void Loop::run() noexcept
{
    uv_run(this->uvLoop.get(), UV_RUN_DEFAULT);
}

void Loop::runFor(Millis duration) noexcept
{
    const Timer timer = this->after(duration, [this] { uv_stop(this->uvLoop.get()); });
    uv_run(this->uvLoop.get(), UV_RUN_DEFAULT);
}

void Loop::onStopSignals(const std::function<void(int signal)> &work)
{
    for (const int signal : {SIGTERM, SIGINT})
        this->onSignal(signal, [work, signal] { work(signal); });
}

void Loop::onSignal(int signal, std::function<void()> work)
{
    auto watch = std::make_unique<SignalWatch>();
    watch->work = std::move(work);
    watch->handle.data = watch.get();
    uv_signal_init(this->uvLoop.get(), &watch->handle);
    const auto fire
        = [](uv_signal_t *handle, int) { static_cast<SignalWatch *>(handle->data)->work(); };
    uv_signal_start(&watch->handle, fire, signal);
    changeSignalMask(SIG_UNBLOCK, {signal});
    this->signalWatches.push_back(std::move(watch));
}

void Loop::stop()
{
    this->post([this] { uv_stop(this->uvLoop.get()); });
}

void Loop::post(std::function<void()> work)
{
    {
        const std::lock_guard lock(this->postedMutex);
        this->posted.push_back(std::move(work));
    }
    uv_async_send(this->wakeUp.get());
}

void Loop::postAfter(int rounds, std::function<void()> work)
{
    if (rounds == 0)
        return work();
    this->post([this, rounds, work = std::move(work)]() mutable {
        this->postAfter(rounds - 1, std::move(work));
    });
}

void Loop::runPosted()
{
    std::vector<std::function<void()>> batch;
    {
        const std::lock_guard lock(this->postedMutex);
        batch.swap(this->posted);
    }
    for (const auto &work : batch)
        work();
}

// After a delay of the process, timers run before the events that have come meanwhile.
Timer Loop::afterEvents(Millis delay, std::function<void()> work)
{
    constexpr int Rounds = 3; // to accept a connection, to read its request, and to call the work
    return this->after(delay, [this, work = std::move(work)]() mutable {
        this->postAfter(Rounds, std::move(work));
    });
}

Timer Loop::after(Millis delay, std::function<void()> work)
{
    Timer timer;
    timer.state = std::make_shared<Timer::State>();
    timer.state->work = std::move(work);
    timer.state->self = timer.state;
    uv_timer_t &handle = timer.state->handle;
    uv_timer_init(this->uvLoop.get(), &handle);
    handle.data = timer.state.get();
    if (delay <= Millis(0)) {
        // A callback that starts another timer without delay would make libuv run such timers
        // forever in one iteration of the loop. Posted work lets it handle other events between.
        this->post([state = timer.state] { state->fire(); });
        return timer;
    }
    // libuv computes the expiry from its cached time, which is from the start of the iteration
    // and too early if the current callback has run for long.
    uv_update_time(this->uvLoop.get());
    const auto onFired
        = [](uv_timer_t *fired) { static_cast<Timer::State *>(fired->data)->fire(); };
    uv_timer_start(&handle, onFired, static_cast<std::uint64_t>(delay.count()), 0);
    return timer;
}

} // namespace lavenderhall::http
