#pragma once

#include "base/address.h"
#include "base/logratelimiter.h"
#include "http/loop.h"
#include "http/memorybudget.h"
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

    /// Frees the body of the request, of which whoever answers has a copy or no further use.
    void discardBody();

    /// Sends a whole answer. Does nothing if an answer has begun.
    void respond(const Response &response);
    void respond(Response &&response);
    /// Begins an answer of unknown length, sent in chunks. Does nothing if an answer has begun.
    void begin(int status, const Headers &headers);
    /// Begins an answer whose body is \a length bytes long. Does nothing if an answer has begun.
    void beginSized(int status, const Headers &headers, std::uint64_t length);
    /// Appends \a data to the body of an answer that has begun.
    void write(std::string_view data);
    /// Returns whether \a bytes of an answer that is being collected may be held. They are charged
    /// until the answer begins or the exchange is destroyed.
    bool holdAnswer(std::size_t bytes);
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

    /// Sends the whole body of an answer with a length, without a copy.
    void sendBody(std::string body);
    /// Sends the status line and the headers.
    void sendHead(int status, const Headers &headers);

    Request receivedRequest;
    MemoryShare bodyShare; ///< of the request, also while whoever answers holds a copy instead
    ServerConnection *connection = nullptr; ///< nullptr once the exchange has ended
    std::uint64_t remainingBytes = 0; ///< of the body of an answer with a length
    bool isKeepAlive = false; ///< both sides allow another request on the connection
    bool isChunked = false;
    bool announcesClose = false; ///< the head of the answer tells that the connection is closed
    bool begun = false;
    bool ended = false;
    std::function<void()> drainedHandler;
    std::function<void()> closedHandler;
    MemoryShare headShare; ///< of the request
    MemoryShare answerShare; ///< of the answer before it begins
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Limits on the size and duration of callers' requests, and on the number of connections.
struct ServerLimits
{
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxHeadBytes = 16U << 10U;
    Millis requestTimeout = std::chrono::seconds(15); ///< from the first byte to the whole request
    Millis idleTimeout = std::chrono::seconds(60); ///< of a connection between requests
    /// For a further connection, one without a request in progress is closed: the one that has
    /// been idle for longest or, if none is idle, one whose request does not arrive. If there is
    /// none, the further connection is closed at once.
    std::size_t maxConnections = 65536;

    bool operator==(const ServerLimits &) const = default;
};

/// Returns the default limits with \a maxBodyBytes.
inline ServerLimits limitsWithMaxBody(std::size_t maxBodyBytes)
{
    ServerLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    return limits;
}

/// Connections that a server could not keep or accept, since its start.
struct RefusedConnections
{
    std::uint64_t closedIdle = 0; ///< to make room for others
    std::uint64_t closedStalled = 0; ///< within a request, to make room for others
    std::uint64_t refused = 0; ///< there was no room
    std::uint64_t failedAccepts = 0; ///< the system had no descriptor or memory

    bool operator==(const RefusedConnections &) const = default;
};

/// Listens on one address. All members belong to the loop's thread, and the server must exist while
/// the loop runs.
class Server
{
public:
    /// Called with each request. It answers at once or later.
    using Handler = std::function<void(const ExchangePtr &)>;
    /// Builds the answer to a request that the server itself refuses, such as a malformed one. Of
    /// \a received, only what could be read is set.
    using Refusal
        = std::function<Response(int status, std::string_view reason, const Request &received)>;

    /// Throws ListenError if the address cannot be bound.
    Server(Loop &loop, const Address &listen, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void setLimits(ServerLimits limits) { this->limits = limits; }
    /// Requests and answers take their memory from \a budget, which other servers may share. A
    /// request for which there is none left is refused with status 503, if possible before its body
    /// is read.
    void setMemoryBudget(MemoryBudgetPtr budget) { this->memoryBudget = std::move(budget); }
    void setRefusal(Refusal refusal) { this->refusal = std::move(refusal); }
    /// Closes the listening socket. Connections are kept, also those that waited to be accepted.
    void stopListening();
    /// From now on closes each connection after its next answer.
    void closeAfterAnswers() { this->isClosing = true; }
    /// Closes the connections that are between two requests.
    void closeIdleConnections();
    std::size_t connectionCount() const { return this->connections.size(); }
    /// Returns the number of open connections, also of those that only wait for their caller to
    /// close.
    std::size_t openSockets() const
    {
        return static_cast<std::size_t>(this->socketLease.use_count() - 1);
    }
    const RefusedConnections &refusedConnections() const { return this->refusedCounts; }
    /// Returns the number of exchanges whose answer has not ended.
    std::size_t openExchanges() const { return this->exchangeCount; }
    /// Returns whether every answer has ended and been sent to its last byte.
    bool hasSentAll() const
    {
        return this->exchangeCount == 0 && this->unsentMark.use_count() == 1;
    }

private:
    friend class ServerConnection;

    /// Opens the listening socket. Returns 0 or an error of libuv.
    int listen();
    void listenAgainLater();
    void onConnection();
    void onAcceptFailure(int code);
    /// Closes the connection that can best be spared; false if there is none.
    bool makeRoom();
    /// Closes a connection whose request holds memory and no longer arrives; false if there is
    /// none.
    bool closeStalledHolder();
    void logFull(const char *cause);
    void remove(const std::shared_ptr<ServerConnection> &connection);

    Loop &loop;
    const Address address;
    ServerLimits limits;
    Handler handler;
    Refusal refusal;
    MemoryBudgetPtr memoryBudget; ///< may be nullptr
    uv_tcp_s *listener = nullptr;
    std::set<std::shared_ptr<ServerConnection>> connections;
    /// Each open socket has a copy, also those that are only waiting for their caller to close.
    std::shared_ptr<const bool> socketLease = std::make_shared<bool>();
    RefusedConnections refusedCounts;
    LogRateLimiter fullLines;
    Timer listenTimer;
    std::size_t exchangeCount = 0;
    /// Kept by sockets that are closing and have bytes left to send.
    std::shared_ptr<void> unsentMark = std::make_shared<char>();
    bool isClosing = false; ///< closeAfterAnswers() has been called
};

} // namespace lavenderhall::http
