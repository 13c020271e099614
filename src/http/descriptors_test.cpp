#include "http/client.h"
#include "http/server.h"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <ctime>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

const Address ServerAddress{"127.0.0.1", 18121};
constexpr rlim_t MaxDescriptors = 256;

Millis processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return Millis(used.tv_sec * 1000 + used.tv_nsec / 1'000'000);
}

/// A caller's end of a connection, outside the loop. Its descriptor is one of the process.
class RawCaller
{
public:
    RawCaller()
        : fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    { }
    ~RawCaller() { close(this->fd); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void connect() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(ServerAddress.port);
        inet_pton(AF_INET, ServerAddress.host.c_str(), &address.sin_addr);
        static_cast<void>(
            ::connect(this->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    }
    void send(std::string_view text) const
    {
        const ssize_t sent = ::send(this->fd, text.data(), text.size(), MSG_NOSIGNAL);
        cr_assert(sent == static_cast<ssize_t>(text.size()));
    }
    /// Returns what has arrived; "closed" if the server has closed the connection.
    std::string receive() const
    {
        std::string text(4096, '\0');
        const ssize_t size = recv(this->fd, text.data(), text.size(), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN))
            return "closed";
        return text.substr(0, size < 0 ? 0 : static_cast<std::size_t>(size));
    }

private:
    int fd;
};

/// Takes all descriptors that the process may still open, as long as it exists.
class TakenDescriptors
{
public:
    TakenDescriptors()
    {
        const rlimit few{MaxDescriptors, MaxDescriptors};
        setrlimit(RLIMIT_NOFILE, &few);
        for (int fd = open("/dev/null", O_RDONLY); fd >= 0; fd = open("/dev/null", O_RDONLY))
            this->taken.push_back(fd);
    }
    ~TakenDescriptors()
    {
        for (const int fd : this->taken)
            close(fd);
    }
    TakenDescriptors(const TakenDescriptors &) = delete;
    TakenDescriptors &operator=(const TakenDescriptors &) = delete;

private:
    std::vector<int> taken;
};

void answer(const ExchangePtr &exchange)
{
    exchange->respond({200, {}, "done"});
}

bool isAnswered(const RawCaller &caller)
{
    return caller.receive().find("done") != std::string::npos;
}

constexpr const char *WholeRequest = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
constexpr const char *HalfRequest = "GET / HTTP/1.1\r\nhost: x\r\n";

} // namespace

// Guards against an event loop that never returns from a listener that cannot accept.
Test(descriptors, a_listener_that_cannot_accept_hands_back_the_processor)
{
    alarm(20);
    Loop loop;
    const RawCaller early;
    const RawCaller late;
    const Server server(loop, ServerAddress, ServerLimits{}, answer);
    // libuv keeps one descriptor in reserve for this case. Here, another thread has taken it.
    close(std::exchange(loop.handle()->emfile_fd, -1));
    auto all = std::make_unique<TakenDescriptors>();
    early.connect();
    const Millis used = processorTime();
    loop.runFor(Millis(1000));
    cr_assert(lt(i64, (processorTime() - used).count(), 200));
    all.reset();
    loop.runFor(Millis(500));
    late.connect();
    loop.runFor(Millis(100));
    late.send(WholeRequest);
    loop.runFor(Millis(300));
    cr_assert(isAnswered(late));
}

// Guards against callers that are refused while others hold connections that they do not use.
Test(descriptors, the_connection_idle_for_longest_makes_room_for_a_further_one)
{
    Loop loop;
    ServerLimits two;
    two.maxConnections = 2;
    const Server server(loop, ServerAddress, two, answer);
    const std::array<RawCaller, 3> callers;
    for (const RawCaller &caller : callers) {
        caller.connect();
        loop.runFor(Millis(50));
        caller.send(WholeRequest);
        loop.runFor(Millis(50));
        cr_assert(isAnswered(caller));
    }
    cr_assert(callers[0].receive() == "closed");
    cr_assert(callers[1].receive().empty());
    cr_assert(server.refusedConnections() == (RefusedConnections{1, 0, 0, 0}));
    cr_assert(eq(sz, server.connectionCount(), 2));
}

// Guards against callers that are locked out by connections on which half a request has arrived.
Test(descriptors, a_request_that_does_not_arrive_makes_room_for_a_further_connection)
{
    Loop loop;
    ServerLimits two;
    two.maxConnections = 2;
    const Server server(loop, ServerAddress, two, answer);
    const std::array<RawCaller, 2> holders;
    for (const RawCaller &holder : holders) {
        holder.connect();
        loop.runFor(Millis(50));
        holder.send(HalfRequest);
    }
    loop.runFor(Millis(300));
    const RawCaller early;
    early.connect();
    loop.runFor(Millis(50));
    cr_assert(early.receive() == "closed");
    loop.runFor(Millis(2000));
    const RawCaller late;
    late.connect();
    loop.runFor(Millis(50));
    late.send(WholeRequest);
    loop.runFor(Millis(50));
    cr_assert(isAnswered(late));
    cr_assert(holders[0].receive().starts_with("HTTP/1.1 408 "));
    cr_assert(holders[1].receive().empty());
    cr_assert(server.refusedConnections() == (RefusedConnections{0, 1, 1, 0}));
}

// A request in progress has its place, and the limit counts sockets that wait for their callers.
Test(descriptors, a_request_in_progress_makes_no_room)
{
    Loop loop;
    ServerLimits one;
    one.maxConnections = 1;
    std::vector<ExchangePtr> exchanges;
    const Server server(loop, ServerAddress, one,
                        [&](const ExchangePtr &exchange) { exchanges.push_back(exchange); });
    const std::array<RawCaller, 3> callers;
    callers[0].connect();
    loop.runFor(Millis(50));
    callers[0].send("GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    loop.runFor(Millis(50));
    callers[1].connect();
    loop.runFor(Millis(50));
    cr_assert(callers[1].receive() == "closed");
    cr_assert(eq(sz, exchanges.size(), 1));
    exchanges[0]->respond({200, {}, "done"});
    loop.runFor(Millis(50));
    cr_assert(isAnswered(callers[0]));
    cr_assert(eq(sz, server.connectionCount(), 0));
    callers[2].connect();
    loop.runFor(Millis(50));
    cr_assert(callers[2].receive() == "closed");
    cr_assert(server.refusedConnections().refused == 2U);
}

// Guards against connections to endpoints without bound, and against one that is never let go.
Test(descriptors, a_client_closes_an_idle_connection_for_a_further_one_and_fails_if_none_is_idle)
{
    Loop loop;
    std::vector<ExchangePtr> held;
    const auto serve = [&](const ExchangePtr &exchange) {
        exchange->request().path == "/hold" ? held.push_back(exchange) : answer(exchange);
    };
    const Server server(loop, ServerAddress, ServerLimits{}, serve);
    const Address otherAddress{"127.0.0.1", 18122};
    const Server other(loop, otherAddress, ServerLimits{}, serve);
    Client client(loop);
    client.setMaxConnections(1);
    const auto outcomeOf = [&](const Address &to, const char *path) {
        const auto outcome = std::make_shared<std::string>("open");
        CallRequest request;
        request.to = to;
        request.path = path;
        const CallPtr call
            = startBuffered(client, std::move(request),
                            [outcome](const Response *response, const CallFailure &failure) {
                                *outcome = response ? response->body : failure.reason;
                            });
        loop.runFor(Millis(100));
        return *outcome;
    };
    cr_assert(outcomeOf(ServerAddress, "/") == "done");
    cr_assert(outcomeOf(otherAddress, "/") == "done");
    cr_assert(eq(sz, client.connectionsTo(ServerAddress), 0));
    cr_assert(outcomeOf(ServerAddress, "/hold") == "open");
    cr_assert(outcomeOf(otherAddress, "/") == "all connections are in use");
    cr_assert(eq(sz, held.size(), 1));
}
