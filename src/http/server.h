#pragma once

#include "base/address.h"
#include "http/loop.h"
#include "http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct uv_tcp_s;

/// HTTP/1.1 server with whole requests and streamed answers.
namespace lavenderhall::http {

class ServerConnection;

/// One request and its answer. The owner keeps it while it still means to write.
class Exchange
{
public:
    const Request &request() const { return this->received; }

    /// Sends a whole answer. Ignored once an answer has begun or the caller has gone.
    void respond(const Response &response);
    /// Starts an answer of unknown length, sent in chunks.
    void begin(int status, const Headers &headers);
    /// Starts an answer whose body is \a length bytes long.
    void beginSized(int status, const Headers &headers, std::uint64_t length);
    /// Appends to a started answer.
    void write(std::string_view data);
    /// Ends a started answer cleanly.
    void end();
    /// Cuts the connection, so that the caller sees the answer as incomplete.
    void abort();

    /// Bytes accepted by write() that the socket has not taken yet.
    std::size_t backlog() const;
    bool isClosed() const { return this->connection == nullptr; }
    bool hasBegun() const { return this->begun; }

    /// Called when the backlog has been sent.
    void onDrained(std::function<void()> handler) { this->drained = std::move(handler); }
    /// Called once when the caller has gone before the answer ended.
    void onClosed(std::function<void()> handler) { this->closed = std::move(handler); }

private:
    friend class ServerConnection;

    void start(int status, const Headers &headers);

    Request received;
    ServerConnection *connection = nullptr;
    std::uint64_t remaining = 0; ///< of a sized answer
    bool isKeepAlive = false;
    bool chunked = false;
    bool begun = false;
    bool ended = false;
    std::function<void()> drained;
    std::function<void()> closed;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Bounds on what callers may send and how long they may take.
struct ServerLimits
{
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxHeadBytes = 16U << 10U;
    Millis requestTimeout = std::chrono::seconds(15); ///< for head and body to arrive
    Millis idleTimeout = std::chrono::seconds(60); ///< of a connection between requests
    std::size_t maxConnections = 65536; ///< one more is closed at once

    bool operator==(const ServerLimits &) const = default;
};

/// Returns the usual limits with another bound on bodies.
inline ServerLimits limitsWithMaxBody(std::size_t maxBodyBytes)
{
    ServerLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    return limits;
}

/// Listens on one address. Lives on its loop's thread and must outlive the loop's run.
class Server
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;
    /// Builds the answer for a request that the server itself refuses.
    using Refusal = std::function<Response(int status, std::string_view reason)>;

    /// Throws std::runtime_error when the address cannot be bound.
    Server(Loop &loop, const Address &listen, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void setLimits(ServerLimits limits) { this->limits = limits; }
    void setRefusal(Refusal refusal) { this->refusal = std::move(refusal); }
    /// Closes the listening socket; open exchanges go on.
    void stopListening();
    /// From now on each answer is the last on its connection.
    void closeAfterAnswers() { this->isClosing = true; }
    /// Closes the connections that wait for a request.
    void closeIdleConnections();
    /// Cuts each connection, answered or not, as a crash would.
    void abortAll();
    std::size_t connectionCount() const { return this->connections.size(); }
    std::size_t openExchanges() const { return this->exchangeCount; }

private:
    friend class ServerConnection;

    void onConnection();
    void forget(const std::shared_ptr<ServerConnection> &connection);

    Loop &loop;
    ServerLimits limits;
    Handler handler;
    Refusal refusal;
    uv_tcp_s *listener = nullptr;
    std::set<std::shared_ptr<ServerConnection>> connections;
    std::size_t exchangeCount = 0;
    bool isClosing = false;
};

} // namespace lavenderhall::http
