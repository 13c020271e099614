#include "http/loop.h"

#include <libwebsockets.h>
#include <stdexcept>
#include <uv.h>

namespace lavenderhall::http {

struct Timer::State
{
    // Of standard layout, so that the library's list entry leads back to its owner.
    struct Entry
    {
        lws_sorted_usec_list_t sul;
        State *owner;
    };

    Entry entry{};
    std::function<void()> work;
    // Keeps the state alive while the library holds a pointer to its list entry.
    std::shared_ptr<State> self;
};

namespace {

constexpr unsigned short MaxHeaderBytes = 16384;
constexpr unsigned ServiceBufferBytes = 32768;

} // namespace

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
    const std::shared_ptr<State> held = std::move(this->state);
    this->state = nullptr;
    if (!held || !held->self)
        return;
    lws_sul_cancel(&held->entry.sul);
    held->self = nullptr;
}

Loop::Loop(unsigned maxFds)
    : uvLoop(std::make_unique<uv_loop_t>())
    , wakeUp(std::make_unique<uv_async_t>())
{
    uv_loop_init(this->uvLoop.get());
    uv_async_init(this->uvLoop.get(), this->wakeUp.get(),
                  [](uv_async_t *handle) { static_cast<Loop *>(handle->data)->drainPosted(); });
    this->wakeUp->data = this;

    lws_set_log_level(LLL_ERR, nullptr);
    void *foreignLoops[] = {this->uvLoop.get()};
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_LIBUV;
    info.foreign_loops = foreignLoops;
    info.fd_limit_per_thread = maxFds;
    info.max_http_header_data = MaxHeaderBytes;
    info.pt_serv_buf_size = ServiceBufferBytes;
    info.user = this;
    this->lwsContext = lws_create_context(&info);
    if (!this->lwsContext)
        throw std::runtime_error("http loop: the libwebsockets context cannot be created");
}

// With a loop of our own the library closes its handles in two steps, with the loop run between.
Loop::~Loop()
{
    lws_context_destroy(this->lwsContext);
    uv_close(reinterpret_cast<uv_handle_t *>(this->wakeUp.get()), nullptr);
    for (const auto &watch : this->signalWatches)
        uv_close(reinterpret_cast<uv_handle_t *>(&watch->handle), nullptr);
    uv_run(this->uvLoop.get(), UV_RUN_DEFAULT);
    lws_context_destroy(this->lwsContext);
    uv_run(this->uvLoop.get(), UV_RUN_DEFAULT);
    uv_loop_close(this->uvLoop.get());
}

void Loop::run()
{
    uv_run(this->uvLoop.get(), UV_RUN_DEFAULT);
}

void Loop::runFor(Millis duration)
{
    const Timer timer = this->after(duration, [this] { uv_stop(this->uvLoop.get()); });
    lws_cancel_service(this->lwsContext);
    uv_run(this->uvLoop.get(), UV_RUN_DEFAULT);
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

void Loop::drainPosted()
{
    std::vector<std::function<void()>> batch;
    {
        const std::lock_guard lock(this->postedMutex);
        batch.swap(this->posted);
    }
    for (const auto &work : batch)
        work();
    // The library sets its libuv timer only after an event of its own, so timers that posted
    // work has scheduled would wait for the next one.
    lws_cancel_service(this->lwsContext);
}

Timer Loop::after(Millis delay, std::function<void()> work)
{
    Timer timer;
    timer.state = std::make_shared<Timer::State>();
    timer.state->work = std::move(work);
    timer.state->self = timer.state;
    timer.state->entry.owner = timer.state.get();
    const auto fire = [](lws_sorted_usec_list_t *sul) {
        auto *state = reinterpret_cast<Timer::State::Entry *>(sul)->owner;
        const std::shared_ptr<Timer::State> held = std::move(state->self);
        state->self = nullptr;
        held->work();
    };
    lws_sul_schedule(this->lwsContext, 0, &timer.state->entry.sul, fire,
                     std::chrono::duration_cast<Micros>(delay).count());
    return timer;
}

} // namespace lavenderhall::http
