#include "http/server.h"

#include "base/listenerror.h"
#include "base/log.h"
#include "http/parser.h"
#include "http/socket.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <uv.h>

namespace lavenderhall::http {

namespace {

constexpr int ServiceUnavailable = 503; ///< HTTP status
constexpr int ListenBacklog = 1024; ///< connections that the kernel queues before accept
// Limit on the bytes of pipelined requests, which a caller sends before the current answer ends.
constexpr std::size_t MaxPipelinedBytes = 65536;
// With more bytes of earlier answers waiting for the caller, its next request is not begun.
constexpr std::size_t MaxUnreadBytes = 65536;
// A body that is announced with up to this length gets its memory before it arrives.
constexpr std::size_t MaxReservedBytes = 131072;
/// A request of which nothing has arrived for this long may be given up to make room.
constexpr Millis StalledTime{2000};
constexpr Millis ListenRetryInterval{100}; ///< after the system had no descriptor or memory
constexpr double FullLinesPerSecond = 0.2;
constexpr double FullLinesBurst = 2;
// Size of a chunk as text: at most 16 hex digits, CRLF and the terminating zero, rounded up.
constexpr std::size_t ChunkSizeTextBytes = 24;

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/// Returns whether an answer with \a status has neither a body nor a length.
bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

Response defaultRefusal(int status, std::string_view reason)
{
    Headers headers{{"content-type", "application/json"}, {"x-lavenderhall-outcome", "not-run"}};
    if (status == ServiceUnavailable)
        headers.push_back({"retry-after", "1"});
    return {status, std::move(headers),
            R"({"error":{"type":"invalid_request_error","code":"http_)" + std::to_string(status)
                + R"(","message":")" + std::string(reason) + "\"}}\n"};
}

} // namespace

/// One caller's connection. It handles one request at a time: the next one is parsed when the
/// answer to the current one has ended.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    explicit ServerConnection(Server &server)
        : server(server)
        , parser(MessageKind::Request,
                 {[this](const MessageHead &head) { return this->onHead(head); },
                  [this](std::string_view data) { this->onBody(data); }})
    { }

    bool open(Loop &loop, uv_tcp_t *listener)
    {
        SocketHandlers handlers;
        handlers.onData = [this](std::string_view data) { this->onData(data); };
        handlers.onDrained = [this] { this->onDrained(); };
        handlers.onEnd = [this](SocketEnd, const std::string &) { this->drop(); };
        handlers.lease = this->server.socketLease;
        this->socket
            = Socket::accept(loop, reinterpret_cast<uv_stream_t *>(listener), std::move(handlers));
        if (this->socket)
            this->awaitRequest();
        return this->socket != nullptr;
    }

    void send(std::string data) { this->socket->write(std::move(data)); }
    std::size_t backlog() const { return this->socket->backlog(); }
    /// Returns whether the connection is closed after the answer of \a exchange.
    bool isLast(const Exchange &exchange) const
    {
        return !exchange.isKeepAlive || this->server.isClosing || this->closesAfterAnswer;
    }

    /// Ends the current exchange, whose answer is complete.
    void finish()
    {
        const ExchangePtr finished = std::move(this->exchange);
        this->exchange = nullptr;
        finished->connection = nullptr;
        --this->server.exchangeCount;
        if (this->isLast(*finished)) {
            const auto self = this->shared_from_this();
            this->socket->closeGracefully(this->server.unsentMark);
            return this->server.remove(self);
        }
        this->awaitRequest();
        if (this->unparsed.empty())
            return;
        // Posted, as the caller is usually the handler of the current request, and the next one
        // must not be handled inside it.
        this->server.loop.post([weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->onData({});
        });
    }

    /// Closes the connection at once, and calls the closed handler of the current exchange.
    void drop()
    {
        const auto self = this->shared_from_this();
        this->socket->close();
        this->server.remove(self);
        this->timer.cancel();
        const ExchangePtr aborted = std::move(this->exchange);
        this->exchange = nullptr;
        if (!aborted)
            return;
        aborted->connection = nullptr;
        --this->server.exchangeCount;
        if (aborted->closedHandler)
            aborted->closedHandler();
    }

    /// Closes the connection if it is between two requests.
    void closeIfIdle()
    {
        if (!this->isBetweenRequests())
            return;
        const auto self = this->shared_from_this();
        this->timer.cancel();
        this->socket->closeGracefully(this->server.unsentMark);
        this->server.remove(self);
    }

    /// Returns whether nothing is lost when the connection is closed at once.
    bool isIdle() const { return this->isBetweenRequests() && this->socket->backlog() == 0; }

    /// Returns whether bytes of a request are due and have not arrived for long.
    bool isStalled(MonoTime now) const
    {
        return !this->exchange && !this->isBetweenRequests() && this->socket->backlog() == 0
            && now - this->lastActiveAt >= StalledTime;
    }

    bool holdsMemory() const { return this->bodyShare.heldBytes() > 0; }

    /// Returns when bytes arrived or an answer ended for the last time.
    MonoTime lastActive() const { return this->lastActiveAt; }

    /// Closes the connection and its descriptor at once, after an answer to a request that stalls.
    void makeRoom()
    {
        const auto self = this->shared_from_this();
        if (!this->isIdle())
            this->refuse(408, "the request did not arrive in time");
        this->drop();
    }

    /// Closes the connection without a notice to the server, which is being destroyed, or to the
    /// owner of the exchange.
    void shutDown()
    {
        if (this->exchange)
            this->exchange->connection = nullptr;
        this->exchange = nullptr;
        this->timer.cancel();
        this->socket->close();
    }

private:
    bool isBetweenRequests() const
    {
        return !this->exchange && !this->parser.isInsideMessage() && this->unparsed.empty();
    }

    void awaitRequest()
    {
        this->lastActiveAt = monoNow();
        this->timer = this->server.loop.after(this->server.limits.idleTimeout,
                                              [this] { this->socket ? this->drop() : void(); });
    }

    void onData(std::string_view data)
    {
        const auto self = this->shared_from_this();
        this->lastActiveAt = monoNow();
        this->unparsed.append(data);
        if (this->exchange) {
            if (this->unparsed.size() > MaxPipelinedBytes)
                this->drop();
            return;
        }
        while (!this->unparsed.empty() && !this->exchange && !this->socket->isClosed()) {
            if (!this->parser.isInsideMessage()) {
                if (this->socket->backlog() > MaxUnreadBytes)
                    return this->socket->setReading(false);
                this->beginRequest();
            }
            const std::string input = std::move(this->unparsed);
            this->unparsed.clear();
            const ParseStep step = this->parser.feed(input);
            this->unparsed = input.substr(step.consumed);
            if (this->isOverBudget)
                return this->refuse(ServiceUnavailable, "no memory is left for the request");
            if (step.state == ParseState::NeedsMore)
                return;
            if (step.state == ParseState::HeadTooLarge)
                return this->refuse(431, "the request's headers are too large");
            if (step.state == ParseState::Malformed)
                return this->refuse(400, "the request is not HTTP/1.1");
            this->dispatch();
        }
    }

    void beginRequest()
    {
        this->received = {};
        this->isTooLarge = false;
        this->isOverBudget = false;
        this->reservedBytes = 0;
        this->bodyShare = MemoryShare(this->server.memoryBudget);
        this->parser.setMaxHeadBytes(this->server.limits.maxHeadBytes);
        this->timer = this->server.loop.after(this->server.limits.requestTimeout, [this] {
            this->refuse(408, "the request did not arrive in time");
        });
    }

    bool onHead(const MessageHead &head)
    {
        this->received.method = head.method;
        const std::size_t queryMark = head.target.find('?');
        this->received.path = head.target.substr(0, queryMark);
        if (queryMark != std::string::npos)
            this->received.query = head.target.substr(queryMark + 1);
        this->received.target = head.target;
        this->received.headers = head.headers;
        this->isKeepAlive = head.isKeepAlive;
        this->isTooLarge
            = head.hasContentLength && head.contentLength > this->server.limits.maxBodyBytes;
        if (head.hasContentLength && !this->isTooLarge)
            this->reserveBody(head.contentLength);
        return false;
    }

    // Of many small bodies that arrive at the same time, some must become complete. A large one
    // takes memory as it arrives, since its caller may hold back the rest.
    void reserveBody(std::size_t length)
    {
        if (length > MaxReservedBytes) {
            this->isOverBudget = !this->bodyShare.hasRoom(length);
            return;
        }
        this->reservedBytes = length;
        this->isOverBudget = !this->takeMemory(length);
    }

    // Requests that no longer arrive give up their memory first.
    bool takeMemory(std::size_t bytes)
    {
        while (!this->bodyShare.grow(bytes)) {
            if (!this->server.closeStalledHolder())
                return false;
        }
        return true;
    }

    // A body over the limit is read to its end and dropped. If the server answered and closed
    // before, the caller's further bytes would cause a reset, and the caller could lose the answer.
    void onBody(std::string_view data)
    {
        std::string &body = this->received.body;
        this->isTooLarge
            = this->isTooLarge || body.size() + data.size() > this->server.limits.maxBodyBytes;
        if (this->isTooLarge || this->isOverBudget)
            return;
        this->isOverBudget
            = !this->takeMemory(std::max(this->reservedBytes, body.size() + data.size()));
        if (!this->isOverBudget)
            body.append(data);
    }

    void beginExchange()
    {
        this->timer.cancel();
        this->exchange = std::make_shared<Exchange>();
        this->exchange->connection = this;
        this->exchange->isKeepAlive = this->isKeepAlive;
        this->exchange->receivedRequest = std::move(this->received);
        this->exchange->bodyShare = std::move(this->bodyShare);
        ++this->server.exchangeCount;
    }

    /// Answers a request that the server does not accept, and closes the connection afterwards.
    void refuse(int status, std::string_view reason)
    {
        this->closesAfterAnswer = true;
        this->beginExchange();
        const ExchangePtr refused = this->exchange;
        refused->respond(this->server.refusal
                             ? this->server.refusal(status, reason, refused->request())
                             : defaultRefusal(status, reason));
    }

    /// Passes a complete request to the server's handler.
    void dispatch()
    {
        if (this->received.method == Method::Other)
            return this->refuse(501, "the method is not known");
        if (this->isTooLarge)
            return this->refuse(413, "the request body is too large");
        this->beginExchange();
        this->server.handler(this->exchange);
    }

    // Reading goes on if it was stopped because the caller had not read earlier answers.
    void onDrained()
    {
        if (this->exchange) {
            if (this->exchange->drainedHandler)
                this->exchange->drainedHandler();
            return;
        }
        this->socket->setReading(true);
        this->onData({});
    }

    Server &server;
    Parser parser;
    Socket::Ptr socket;
    ExchangePtr exchange;
    Request received;
    std::string unparsed; ///< bytes received and not yet parsed
    MonoTime lastActiveAt{};
    Timer timer; ///< idle timeout between requests, request timeout within one
    bool isKeepAlive = false; ///< the caller allows another request on the connection
    MemoryShare bodyShare; ///< of the request that is being received
    std::size_t reservedBytes = 0; ///< for the body of the request before it has arrived
    bool isTooLarge = false; ///< the body of the request exceeds the limit
    bool isOverBudget = false; ///< no memory is left for the body of the request
    bool closesAfterAnswer = false; ///< the request has been refused
};

std::size_t Exchange::backlog() const
{
    return this->connection ? this->connection->backlog() : 0;
}

void Exchange::sendHead(int status, const Headers &headers)
{
    this->begun = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const Header &header : headers) {
        if (header.name == "connection")
            this->isKeepAlive = this->isKeepAlive && header.value != "close";
        else
            head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (this->isChunked)
        head += "transfer-encoding: chunked\r\n";
    else if (!hasNoBody(status))
        head += "content-length: " + std::to_string(this->remainingBytes) + "\r\n";
    if (this->connection->isLast(*this))
        head += "connection: close\r\n";
    this->connection->send(head + "\r\n");
}

void Exchange::discardBody()
{
    std::string().swap(this->receivedRequest.body);
}

void Exchange::respond(const Response &response)
{
    if (this->begun || !this->connection)
        return;
    this->beginSized(response.status, response.headers, response.body.size());
    this->write(response.body);
    this->end();
}

void Exchange::begin(int status, const Headers &headers)
{
    if (this->begun || !this->connection)
        return;
    this->isChunked = true;
    this->sendHead(status, headers);
}

void Exchange::beginSized(int status, const Headers &headers, std::uint64_t length)
{
    if (this->begun || !this->connection)
        return;
    this->remainingBytes = length;
    this->sendHead(status, headers);
}

void Exchange::write(std::string_view data)
{
    if (!this->connection || !this->begun || this->ended || data.empty()
        || this->receivedRequest.method == Method::Head)
        return;
    if (!this->isChunked) {
        const auto size = std::min<std::uint64_t>(this->remainingBytes, data.size());
        this->remainingBytes -= size;
        return this->connection->send(std::string(data.substr(0, size)));
    }
    std::array<char, ChunkSizeTextBytes> chunkSize{};
    std::snprintf(chunkSize.data(), chunkSize.size(), "%zx\r\n", data.size());
    this->connection->send(std::string(chunkSize.data()).append(data).append("\r\n"));
}

// The caller detects an answer that is shorter than announced only if the connection is closed.
void Exchange::end()
{
    if (!this->connection || !this->begun || this->ended)
        return;
    if (!this->isChunked && this->remainingBytes > 0
        && this->receivedRequest.method != Method::Head)
        return this->abort();
    this->ended = true;
    if (this->isChunked && this->receivedRequest.method != Method::Head)
        this->connection->send("0\r\n\r\n");
    this->connection->finish();
}

void Exchange::abort()
{
    if (!this->connection)
        return;
    this->closedHandler = nullptr;
    this->connection->drop();
}

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
        this->stopListening();
    return code;
}

Server::~Server()
{
    this->stopListening();
    for (const auto &connection : this->connections)
        connection->shutDown();
}

void Server::stopListening()
{
    this->listenTimer.cancel();
    if (!this->listener)
        return;
    uv_close(reinterpret_cast<uv_handle_t *>(this->listener),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
    this->listener = nullptr;
}

void Server::onConnection()
{
    const auto openSockets = static_cast<std::size_t>(this->socketLease.use_count() - 1);
    const bool hasRoom = openSockets < this->limits.maxConnections || this->makeRoom();
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
    this->stopListening();
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
