#include "router/routerfixture.h"

#include <array>
#include <atomic>
#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lavenderhall;

/// Stops of an instance, and what its callers see of them.
namespace {

/// What a connection that is opened for one request has seen.
enum class ConnectionOutcome { Answered, Refused, Lost };

/// Sends a request to \a port on a new connection. Returns its descriptor, or -1 if the port is
/// closed.
int sendRequest(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval patience{0, 300'000};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    const std::string request = "GET /v1/models HTTP/1.1\r\n\r\n";
    send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    return descriptor;
}

/// Sends a request to \a port on a new connection, and waits for an answer or an end.
ConnectionOutcome tryPort(std::uint16_t port)
{
    const int descriptor = sendRequest(port);
    if (descriptor < 0)
        return ConnectionOutcome::Refused;
    char byte = 0;
    const bool isAnswered = recv(descriptor, &byte, 1, 0) == 1;
    close(descriptor);
    return isAnswered ? ConnectionOutcome::Answered : ConnectionOutcome::Lost;
}

/// Calls \a step every few milliseconds for as long as the returned timer exists.
void repeat(http::Loop &loop, http::Timer &timer, const std::function<void()> &step)
{
    timer = loop.after(Millis(2), [&loop, &timer, step] {
        step();
        repeat(loop, timer, step);
    });
}

} // namespace

// Guards against streams that are cut because the platform or an operator asks a second time.
Test(routerstop, a_repeated_sigterm_does_not_cut_an_open_stream)
{
    constexpr int Tokens = 200;
    Fixture fixture;
    Daemon stopping(fixture.loop, settingsOf(1));
    AnswerPtr stream;
    int signals = 0;
    http::Timer timer;
    const Json body{{"model", "review"},
                    {"max_tokens", Tokens},
                    {"stream", true},
                    {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
    repeat(fixture.loop, timer, [&] {
        if (!stream && stopping.configVersion() == fixture.root.version)
            stream
                = fixture.startAt(settingsOf(1).listen.port, http::Method::Post,
                                  "/v1/chat/completions", fixture.millKey.secret, body.dump(), {});
        if (!stream || stream->body.empty() || signals == 3)
            return;
        ++signals;
        raise(SIGTERM);
    });
    const int exitCode = stopping.run();
    cr_assert(signals == 3);
    fixture.loop.runFor(Millis(100));
    cr_assert(isWholeStream(*stream, Tokens), "%s", stream->body.c_str());
    cr_assert(exitCode == 0);
}

// Guards against connections that wait, unread, at a listener that is open while the process ends.
Test(routerstop, no_request_is_lost_at_the_listener_of_an_instance_that_ends)
{
    Fixture fixture;
    Daemon stopping(fixture.loop, settingsOf(1));
    std::atomic<int> lost = 0;
    std::atomic<int> answered = 0;
    std::atomic<bool> isRefused = false;
    std::atomic<bool> hasBegun = false;
    std::atomic<bool> isOver = false;
    std::thread caller([&] {
        while (!hasBegun)
            std::this_thread::sleep_for(Millis(1));
        while (!isRefused && !isOver) {
            const ConnectionOutcome outcome = tryPort(settingsOf(1).listen.port);
            lost += outcome == ConnectionOutcome::Lost;
            answered += outcome == ConnectionOutcome::Answered;
            isRefused = outcome == ConnectionOutcome::Refused;
            // A handshake that ends in the microseconds before the listener closes is reset.
            std::this_thread::sleep_for(Millis(3));
        }
    });
    const http::Timer signal = fixture.loop.after(Millis(300), [&] {
        hasBegun = true;
        raise(SIGTERM);
    });
    stopping.run();
    // The process still exists for a while after its event loop, as when it frees much memory.
    std::this_thread::sleep_for(Millis(400));
    const bool wasRefused = isRefused;
    isOver = true;
    caller.join();
    cr_assert(lost == 0, "%d", lost.load());
    cr_assert(answered > 0);
    cr_assert(wasRefused);
}

// Guards against requests that are reset, unread, when an instance is stopped while it waits for
// the address of its peer link.
Test(routerstop, no_request_is_lost_when_an_instance_is_stopped_during_its_start)
{
    Fixture fixture;
    const http::Server holder(fixture.loop, settingsOf(1).peer, {}, [](const auto &) {});
    auto stopping = std::make_unique<Daemon>(fixture.loop, settingsOf(1));
    std::array<int, 8> callers{};
    const http::Timer stop = fixture.loop.after(Millis(150), [&] {
        for (int &caller : callers)
            caller = sendRequest(settingsOf(1).listen.port);
        stopping->drain();
    });
    stopping->run();
    stopping.reset();
    for (const int caller : callers) {
        char byte = 0;
        cr_assert(recv(caller, &byte, 1, 0) == 1);
        close(caller);
    }
}
