#include "http/server.h"
#include "http/socket.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace lavenderhall;
using namespace lavenderhall::http;

/// What a server still answers when it closes connections, or reads no further for a while.
namespace {

/// A connection that the kernel has established, without an event loop on the caller's side.
int connectTo(const Address &address)
{
    const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    uv_ip4_addr(address.host.c_str(), address.port, &target);
    cr_assert(connect(caller, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0);
    return caller;
}

void sendRequest(int caller)
{
    const std::string_view request = "GET /a HTTP/1.1\r\n\r\n";
    cr_assert(send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
}

/// Returns whether an answer has arrived.
bool hasAnswer(int caller)
{
    char byte = 0;
    return recv(caller, &byte, 1, MSG_DONTWAIT) == 1 && byte == 'H';
}

} // namespace

// Guards against requests that are lost with a caller that pipelines faster than it is answered.
Test(serverclose, a_request_in_progress_survives_many_bytes_behind_it)
{
    constexpr std::size_t Requests = 20'000; // 380 KB
    const Address address{"127.0.0.1", 18119};
    Loop loop;
    std::size_t served = 0;
    bool hasGone = false;
    ExchangePtr first;
    Server server(loop, address, limitsWithMaxBody(1000), [&](const ExchangePtr &exchange) {
        if (served++ > 0)
            return exchange->respond({200, {}, "x"});
        first = exchange;
        exchange->onClosed([&] { hasGone = true; });
    });
    Socket::Ptr caller;
    SocketHandlers handlers;
    handlers.onConnected = [&] {
        for (std::size_t request = 0; request < Requests; ++request)
            caller->write("GET /a HTTP/1.1\r\n\r\n");
    };
    caller = Socket::connect(loop, address, std::move(handlers));
    loop.runFor(Millis(300));
    cr_assert(served == 1);
    cr_assert(not(hasGone));
    first->respond({200, {}, "x"});
    for (int round = 0; round < 100 && served < Requests; ++round)
        loop.runFor(Millis(100));
    cr_assert(served == Requests, "%zu", served);
    caller->close();
}

// Reading stops behind a request in progress. Guards against a body behind it whose rest is not
// read any more.
Test(serverclose, a_long_body_behind_a_request_in_progress_arrives)
{
    constexpr std::size_t BodyBytes = 400'000;
    const Address address{"127.0.0.1", 18117};
    Loop loop;
    ExchangePtr first;
    std::size_t received = 0;
    Server server(loop, address, limitsWithMaxBody(BodyBytes), [&](const ExchangePtr &exchange) {
        if (!first) {
            first = exchange;
            return;
        }
        received = exchange->request().body.size();
        exchange->respond({200, {}, "x"});
    });
    Socket::Ptr caller;
    SocketHandlers handlers;
    handlers.onConnected = [&] {
        caller->write("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 400000\r\n\r\n");
        caller->write(std::string(BodyBytes, 'x'));
    };
    caller = Socket::connect(loop, address, std::move(handlers));
    loop.runFor(Millis(200));
    first->respond({200, {}, "x"});
    for (int round = 0; round < 30 && received == 0; ++round)
        loop.runFor(Millis(100));
    cr_assert(received == BodyBytes, "%zu", received);
    caller->close();
}

// Guards against connections that are established, with a request sent, and reset unread because
// the event loop has not accepted them when the server stops to listen.
Test(serverclose, connections_that_wait_when_a_server_stops_to_listen_are_answered)
{
    const Address address{"127.0.0.1", 18120};
    Loop loop;
    Server server(loop, address, limitsWithMaxBody(1000), [](const ExchangePtr &exchange) {
        exchange->respond({200, {}, "x"});
    });
    std::array<int, 3> callers{};
    for (int &caller : callers) {
        caller = connectTo(address);
        sendRequest(caller);
    }
    server.stopListening();
    loop.runFor(Millis(200));
    for (const int caller : callers) {
        cr_assert(hasAnswer(caller));
        close(caller);
    }
}

// Guards against a request that is dropped, unread, when a server that stops closes idle
// connections.
Test(serverclose, a_new_connection_is_not_closed_as_idle_before_its_request_is_read)
{
    const Address address{"127.0.0.1", 18117};
    Loop loop;
    Server server(loop, address, limitsWithMaxBody(1000), [](const ExchangePtr &exchange) {
        exchange->respond({200, {}, "x"});
    });
    for (const bool isSentBefore : {true, false}) {
        const int caller = connectTo(address);
        loop.runFor(Millis(isSentBefore ? 150 : 20));
        if (isSentBefore)
            sendRequest(caller);
        server.closeIdleConnections();
        if (!isSentBefore)
            sendRequest(caller);
        loop.runFor(Millis(100));
        cr_assert(hasAnswer(caller), "%d", isSentBefore);
        close(caller);
    }
}
