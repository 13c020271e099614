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

/// HTTP/1.1 server that reads whole requests and can stream its answers.
namespace lavenderhall::http {

class ServerConnection;

/// One request and its answer. Whoever answers later than in the server's handler keeps the
/// pointer. Members that write do nothing once the caller has gone.
class Exchange
{
public:
    const Request &request() const { return this->receivedRequest; }

    /// Sends a whole answer. Does nothing if an answer has begun.
    void respond(const Response &response);
    /// Begins an answer of unknown length, sent in chunks. Does nothing if an answer has begun.
    void begin(int status, const Headers &headers);
    /// Begins an answer whose body is \a length bytes long. Does nothing if an answer has begun.
    void beginSized(int status, const Headers &headers, std::uint64_t length);
    /// Appends \a data to the body of an answer that has begun.
    void write(std::string_view data);
    /// Ends an answer that has begun. Aborts it if its body is shorter than announced.
    void end();
    /// Closes the connection at once, so that the caller sees the answer as incomplete.
    void abort();

    /// Returns the number of bytes accepted by write() that the kernel has not accepted yet.
    std::size_t backlog() const;
    /// Returns whether the answer has ended or the caller has gone.
    bool isClosed() const { return this->connection == nullptr; }
    bool hasBegun() const { return this->begun; }

    /// Sets the handler that is called when the backlog has become empty.
    void onDrained(std::function<void()> handler) { this->drainedHandler = std::move(handler); }
    /// Sets the handler that is called once if the caller goes before the answer has ended.
    void onClosed(std::function<void()> handler) { this->closedHandler = std::move(handler); }

private:
    friend class ServerConnection;

    /// Sends the status line and the headers.
    void sendHead(int status, const Headers &headers);

    Request receivedRequest;
    ServerConnection *connection = nullptr; ///< nullptr once the exchange has ended
    std::uint64_t remainingBytes = 0; ///< of the body of an answer with a length
    bool isKeepAlive = false; ///< both sides allow another request on the connection
    bool isChunked = false;
    bool begun = false;
    bool ended = false;
    std::function<void()> drainedHandler;
    std::function<void()> closedHandler;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Limits on the size and duration of callers' requests, and on the number of connections.
struct ServerLimits
{
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxHeadBytes = 16U << 10U;
    Millis requestTimeout = std::chrono::seconds(15); ///< from the first byte to the whole request
    Millis idleTimeout = std::chrono::seconds(60); ///< of a connection between requests
    std::size_t maxConnections = 65536; ///< a further connection is closed at once

    bool operator==(const ServerLimits &) const = default;
};

/// Returns the default limits with \a maxBodyBytes.
inline ServerLimits limitsWithMaxBody(std::size_t maxBodyBytes)
{
    ServerLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    return limits;
}

/// Listens on one address. All members belong to the loop's thread, and the server must exist while
/// the loop runs.
class Server
{
public:
    /// Called with each request. It answers at once or later.
    using Handler = std::function<void(const ExchangePtr &)>;
    /// Builds the answer to a request that the server itself refuses, such as a malformed one.
    using Refusal = std::function<Response(int status, std::string_view reason)>;

    /// Throws ListenError if the address cannot be bound.
    Server(Loop &loop, const Address &listen, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void setLimits(ServerLimits limits) { this->limits = limits; }
    void setRefusal(Refusal refusal) { this->refusal = std::move(refusal); }
    /// Closes the listening socket. Open connections are kept.
    void stopListening();
    /// From now on closes each connection after its next answer.
    void closeAfterAnswers() { this->isClosing = true; }
    /// Closes the connections that are between two requests.
    void closeIdleConnections();
    std::size_t connectionCount() const { return this->connections.size(); }
    /// Returns the number of exchanges whose answer has not ended.
    std::size_t openExchanges() const { return this->exchangeCount; }

private:
    friend class ServerConnection;

    void onConnection();
    void remove(const std::shared_ptr<ServerConnection> &connection);

    Loop &loop;
    ServerLimits limits;
    Handler handler;
    Refusal refusal;
    uv_tcp_s *listener = nullptr;
    std::set<std::shared_ptr<ServerConnection>> connections;
    std::size_t exchangeCount = 0;
    bool isClosing = false; ///< closeAfterAnswers() has been called
};

} // namespace lavenderhall::http
