#pragma once

#include "http/memorybudget.h"
#include "http/parser.h"
#include "http/server.h"
#include "http/socket.h"

#include <memory>
#include <string>
#include <string_view>

struct uv_tcp_s;

/// The connections of an HTTP server, for the server and its exchanges only.
namespace lavenderhall::http {

/// One caller's connection. It handles one request at a time: the next one is parsed when the
/// answer to the current one has ended.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    explicit ServerConnection(Server &server);

    /// Accepts the connection that waits at \a listener. Returns whether there was one.
    bool open(Loop &loop, uv_tcp_s *listener);

    void send(std::string data) { this->socket->write(std::move(data)); }
    std::size_t backlog() const { return this->socket->backlog(); }
    /// Returns whether \a held may hold \a bytes of its answer.
    bool holdAnswer(Exchange &held, std::size_t bytes);
    /// Returns whether the connection is to be closed after the answer of \a exchange.
    bool closesAfter(const Exchange &exchange) const;

    /// Ends the current exchange, whose answer is complete.
    void finish();
    /// Closes the connection at once, and calls the closed handler of the current exchange.
    void drop();
    /// Closes the connection if it is between two requests.
    void closeIfIdle();
    /// Returns whether nothing is lost when the connection is closed at once.
    bool isIdle() const { return this->isBetweenRequests() && this->socket->backlog() == 0; }
    /// Returns whether bytes of a request are due and have not arrived for long.
    bool isStalled(MonoTime now) const;
    bool holdsMemory() const
    {
        return this->bodyShare.heldBytes() > 0 || this->headShare.heldBytes() > 0;
    }
    /// Returns when bytes arrived or an answer ended for the last time.
    MonoTime lastActive() const { return this->lastActiveAt; }
    /// Closes the connection and its descriptor at once, after an answer to a request that stalls.
    void makeRoom();
    /// Closes the connection without a notice to the server, which is being destroyed, or to the
    /// owner of the exchange.
    void shutDown();

private:
    bool isBetweenRequests() const;
    /// Waits for the next request, for the idle timeout.
    void awaitRequest();
    void onData(std::string_view data);
    void beginRequest();
    bool onHead(MessageHead &head);
    /// Takes memory for a body that is announced with \a length bytes.
    void reserveBody(std::size_t length);
    /// Returns whether there is room for what the head and the unparsed bytes take.
    bool chargeHead();
    /// Returns whether \a share may hold \a bytes.
    bool takeMemory(MemoryShare &share, std::size_t bytes);
    void onBody(std::string_view data);
    /// Makes what has been received the current exchange.
    void beginExchange();
    /// Answers a request that the server does not accept, and closes the connection afterwards.
    void refuse(int status, std::string_view reason);
    /// Passes a complete request to the server's handler.
    void dispatch();
    void onDrained();

    Server &server;
    Parser parser;
    Socket::Ptr socket;
    ExchangePtr exchange;
    Request received;
    std::string unparsed; ///< bytes received and not yet parsed
    MonoTime lastActiveAt{};
    Timer timer; ///< idle timeout between requests, request timeout within one
    bool isKeepAlive = false; ///< the caller allows another request on the connection
    MemoryShare headShare; ///< of the request that is being received, and of unparsed bytes
    std::size_t headBytes = 0; ///< that the complete head of the request takes
    MemoryShare bodyShare; ///< of the request that is being received
    std::size_t reservedBytes = 0; ///< for the body of the request before it has arrived
    bool isTooLarge = false; ///< the body of the request exceeds the limit
    bool isOverBudget = false; ///< no memory is left for the body of the request
    bool closesAfterAnswer = false; ///< the request has been refused
};

} // namespace lavenderhall::http
