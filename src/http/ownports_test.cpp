#include "http/client.h"
#include "http/server.h"
#include "membership/peerlink.h"

#include <array>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/// Connections of this process must not keep an instance of the same machine from listening. The
/// system chooses their ports from the range in which listeners may be, too.
using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

const std::string Host = "127.0.0.1";
constexpr std::uint64_t SourcePortCount = 15'000; ///< more than the system tries for one address

/// Plain listening socket, which tells where its peers' connections come from.
class RawListener
{
public:
    explicit RawListener(std::uint16_t port = 0)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = localAddress(port);
        cr_assert(bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                  == 0);
        cr_assert(listen(this->descriptor, 16) == 0);
    }

    ~RawListener() { close(this->descriptor); }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    Address address() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        return {Host, ntohs(address.sin_port)};
    }

    /// Accepts a connection, which stays open, and returns the address that it comes from.
    Address acceptOne(int *connection = nullptr)
    {
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        const int accepted = accept(this->descriptor, reinterpret_cast<sockaddr *>(&peer), &size);
        cr_assert(accepted >= 0);
        if (connection)
            *connection = accepted;
        return {Host, ntohs(peer.sin_port)};
    }

private:
    static sockaddr_in localAddress(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int descriptor;
};

/// Returns whether a server can listen at \a address.
bool canListen(const Address &address)
{
    Loop loop;
    try {
        const Server server(loop, address, {}, [](const ExchangePtr &) {});
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

/// Opens connections by \a connect, which returns where each comes from, and returns whether a
/// server can listen there. Another process may use one of these ports at the same moment, but not
/// all.
template <typename Connect> bool isOneFree(Connect connect)
{
    for (int attempt = 0; attempt < 5; ++attempt) {
        if (canListen(connect()))
            return true;
    }
    return false;
}

proto::Envelope message(const std::string &sender)
{
    proto::Envelope envelope;
    envelope.mutable_from()->set_name(sender);
    envelope.mutable_ping();
    return envelope;
}

/// Returns what arrives, until the peer closes the connection or nothing has come for a second.
void echo(int connection)
{
    std::array<char, 4096> buffer{};
    pollfd readable{connection, POLLIN, 0};
    while (poll(&readable, 1, 1000) == 1) {
        const ssize_t size = read(connection, buffer.data(), buffer.size());
        if (size <= 0 || write(connection, buffer.data(), static_cast<std::size_t>(size)) != size)
            return;
    }
}

} // namespace

Test(ownports, an_outgoing_call_does_not_keep_an_instance_from_starting)
{
    RawListener endpoint;
    Loop loop;
    Client client(loop);
    const bool isFree = isOneFree([&] {
        CallRequest request;
        request.to = endpoint.address();
        request.reuse = Reuse::Never;
        const CallPtr call = client.start(std::move(request), {});
        loop.runFor(Millis(50));
        return endpoint.acceptOne();
    });
    cr_assert(isFree);
}

Test(ownports, a_connection_between_instances_does_not_keep_an_instance_from_starting)
{
    std::vector<std::unique_ptr<RawListener>> peers;
    PeerLink link({Host, 18171}, {}, [](const proto::Envelope &) {});
    const bool isFree = isOneFree([&] {
        peers.push_back(std::make_unique<RawListener>());
        link.send(peers.back()->address(), message("loom-1"));
        return peers.back()->acceptOne();
    });
    cr_assert(isFree);
}

// The system may join a connection to a port that nobody listens at with itself.
Test(ownports, a_call_does_not_reach_its_own_connection)
{
    const Address closed = RawListener().address();
    const Address target{Host, static_cast<std::uint16_t>(closed.port & ~1U)};
    Loop loop;
    Client client(loop);
    std::uint64_t unsent = 0;
    std::uint64_t calls = 0;
    std::function<void()> next = [&] {
        if (++calls > SourcePortCount)
            return loop.stop();
        CallRequest request;
        request.to = target;
        request.reuse = Reuse::Never;
        CallHandlers handlers;
        handlers.onFailed = [&](const CallFailure &failure) {
            unsent += failure.mayHaveBeenSent ? 0 : 1;
            next();
        };
        client.start(std::move(request), std::move(handlers));
    };
    next();
    loop.runFor(Millis(60'000));
    cr_assert(unsent == SourcePortCount);
}

// A connection that is joined with itself returns all that is sent, as this peer does. The instance
// that starts at its address later must get messages.
Test(ownports, a_link_that_reached_its_own_connection_finds_the_peer_later)
{
    auto returning = std::make_unique<RawListener>();
    const Address address = returning->address();
    PeerLink link({Host, 18172}, {}, [](const proto::Envelope &) {});
    link.send(address, message("loom-1"));
    int connection = -1;
    returning->acceptOne(&connection);
    returning.reset();
    std::thread returner([connection] { echo(connection); });
    std::this_thread::sleep_for(Millis(300));
    link.send(address, message("loom-1"));
    std::atomic<int> received{0};
    const PeerLink started(address, {}, [&](const proto::Envelope &) { ++received; });
    for (int round = 0; round < 40 && received == 0; ++round) {
        link.send(address, message("loom-1"));
        std::this_thread::sleep_for(Millis(100));
    }
    cr_assert(received > 0);
    returner.join();
    close(connection);
}
