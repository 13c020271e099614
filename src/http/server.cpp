#include "http/server.h"

#include "base/listenerror.h"
#include "base/log.h"
#include "http/serverconnection.h"

#include <poll.h>
#include <uv.h>

namespace lavenderhall::http {

namespace {

constexpr int ListenBacklog = 1024; ///< connections that the kernel queues before accept
constexpr Millis ListenRetryInterval{100}; ///< after the system had no descriptor or memory
constexpr double FullLinesPerSecond = 0.2;
constexpr double FullLinesBurst = 2;

void closeListener(uv_tcp_t *&listener)
{
    if (!listener)
        return;
    uv_close(reinterpret_cast<uv_handle_t *>(listener),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
    listener = nullptr;
}

/// Returns whether the kernel has established a connection that has not been accepted.
bool hasWaiting(const uv_tcp_t *listener)
{
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(listener), &fd) != 0)
        return false;
    pollfd waiting{fd, POLLIN, 0};
    return poll(&waiting, 1, 0) > 0 && (waiting.revents & POLLIN) != 0;
}

} // namespace

Server::Server(Loop &loop, const Address &listen, ServerLimits limits, Handler handler)
    : loop(loop)
    , address(listen)
    , limits(limits)
    , handler(std::move(handler))
    , fullLines(FullLinesPerSecond, FullLinesBurst)
{
    const int code = this->listen();
    if (code != 0)
        throw ListenError("http listen", listen, -code, uv_strerror(code));
}

int Server::listen()
{
    this->listener = new uv_tcp_t;
    uv_tcp_init(this->loop.handle(), this->listener);
    this->listener->data = this;
    sockaddr_in socketAddress{};
    int code = uv_ip4_addr(this->address.host.c_str(), this->address.port, &socketAddress);
    if (code == 0)
        code = uv_tcp_bind(this->listener, reinterpret_cast<const sockaddr *>(&socketAddress), 0);
    const auto onPending = [](uv_stream_t *stream, int status) {
        auto *server = static_cast<Server *>(stream->data);
        status == 0 ? server->onConnection() : server->onAcceptFailure(status);
    };
    if (code == 0)
        code = uv_listen(reinterpret_cast<uv_stream_t *>(this->listener), ListenBacklog, onPending);
    if (code != 0)
        closeListener(this->listener);
    return code;
}

Server::~Server()
{
    this->listenTimer.cancel();
    closeListener(this->listener);
    for (const auto &connection : this->connections)
        connection->shutDown();
}

// The kernel resets the connections that wait when their listener is closed, so they are accepted
// before. The bound is for connections that cannot be accepted.
void Server::stopListening()
{
    this->listenTimer.cancel();
    for (int count = 0; count < ListenBacklog; ++count) {
        if (!this->listener || !hasWaiting(this->listener))
            break;
        this->onConnection();
    }
    closeListener(this->listener);
}

void Server::onConnection()
{
    const bool hasRoom = this->openSockets() < this->limits.maxConnections || this->makeRoom();
    const auto connection = std::make_shared<ServerConnection>(*this);
    if (!connection->open(this->loop, this->listener))
        return;
    this->connections.insert(connection);
    if (hasRoom)
        return;
    ++this->refusedCounts.refused;
    this->logFull("the share of connections is in use");
    connection->drop();
}

bool Server::makeRoom()
{
    const MonoTime now = monoNow();
    std::shared_ptr<ServerConnection> best;
    for (const auto &connection : this->connections) {
        if (!connection->isIdle() && !connection->isStalled(now))
            continue;
        const bool isBetter = !best || (connection->isIdle() && !best->isIdle())
            || (connection->isIdle() == best->isIdle()
                && connection->lastActive() < best->lastActive());
        if (isBetter)
            best = connection;
    }
    if (!best)
        return false;
    ++(best->isIdle() ? this->refusedCounts.closedIdle : this->refusedCounts.closedStalled);
    best->makeRoom();
    return true;
}

bool Server::closeStalledHolder()
{
    const MonoTime now = monoNow();
    for (const auto &connection : this->connections) {
        if (!connection->holdsMemory() || !connection->isStalled(now))
            continue;
        ++this->refusedCounts.closedStalled;
        connection->makeRoom();
        return true;
    }
    return false;
}

// libuv calls this again and again, without returning to the event loop, until it can accept or the
// listener is closed.
void Server::onAcceptFailure(int code)
{
    ++this->refusedCounts.failedAccepts;
    this->logFull(uv_strerror(code));
    if (this->makeRoom())
        return;
    closeListener(this->listener);
    this->listenAgainLater();
}

void Server::listenAgainLater()
{
    this->listenTimer = this->loop.after(ListenRetryInterval, [this] {
        if (this->listen() != 0)
            this->listenAgainLater();
    });
}

void Server::logFull(const char *cause)
{
    if (!this->fullLines.tryAcquire(monoNow()))
        return;
    logEvent(LogLevel::Warning, "connections_full",
             {{"listen", this->address.toString()},
              {"cause", cause},
              {"connections", this->connections.size()},
              {"max_connections", this->limits.maxConnections},
              {"refused", this->refusedCounts.refused},
              {"closed_idle", this->refusedCounts.closedIdle},
              {"closed_stalled", this->refusedCounts.closedStalled},
              {"failed_accepts", this->refusedCounts.failedAccepts}});
}

// The connection is destroyed later from the loop, as it may be on the call stack.
void Server::remove(const std::shared_ptr<ServerConnection> &connection)
{
    this->connections.erase(connection);
    this->loop.post([connection] {});
}

void Server::closeIdleConnections()
{
    const auto openConnections = this->connections;
    for (const auto &connection : openConnections)
        connection->closeIfIdle();
}

} // namespace lavenderhall::http
