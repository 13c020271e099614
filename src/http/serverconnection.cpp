#include "http/serverconnection.h"

#include <algorithm>
#include <uv.h>

namespace lavenderhall::http {

namespace {

constexpr int ServiceUnavailable = 503; ///< HTTP status
// With more bytes of pipelined requests, which a caller sends before the current answer ends, no
// more are read until earlier ones have been answered.
constexpr std::size_t MaxPipelinedBytes = 65536;
// With more bytes of earlier answers waiting for the caller, its next request is not begun.
constexpr std::size_t MaxUnreadBytes = 65536;
// A body that is announced with up to this length gets its memory before it arrives.
constexpr std::size_t MaxReservedBytes = 131072;
/// The first request of a connection is usually sent within this time.
constexpr Millis NewConnectionTime{100};
/// A request of which nothing has arrived for this long may be given up to make room.
constexpr Millis StalledTime{2000};
/// A caller that has taken nothing of its answer for this long may be given up to make room.
constexpr Millis SlowReaderTime{500};

/// Returns the heap memory of a string; 0 if it is stored in place.
std::size_t heapBytes(const std::string &text)
{
    static const std::size_t OwnCapacity = std::string().capacity();
    return text.capacity() > OwnCapacity ? text.capacity() : 0;
}

/// Returns the memory that \a headers take.
std::size_t heldBytes(const Headers &headers)
{
    std::size_t bytes = headers.capacity() * sizeof(Header);
    for (const Header &header : headers)
        bytes += heapBytes(header.name) + heapBytes(header.value);
    return bytes;
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

ServerConnection::ServerConnection(Server &server)
    : server(server)
    , parser(MessageKind::Request,
             {[this](MessageHead &head) { return this->onHead(head); },
              [this](std::string_view data) { this->onBody(data); }})
{ }

bool ServerConnection::open(Loop &loop, uv_tcp_s *listener)
{
    SocketHandlers handlers;
    handlers.onData = [this](std::string_view data) { this->onData(data); };
    handlers.onDrained = [this] { this->onDrained(); };
    handlers.onEnd = [this](SocketEnd, const std::string &) { this->drop(); };
    handlers.lease = this->server.socketLease;
    this->socket
        = Socket::accept(loop, reinterpret_cast<uv_stream_t *>(listener), std::move(handlers));
    if (!this->socket)
        return false;
    this->socket->setMemoryBudget(this->server.memoryBudget);
    this->headShare = MemoryShare(this->server.memoryBudget, MemoryKind::Heads);
    this->awaitRequest();
    return true;
}

// What has arrived behind the request is answered first. Otherwise it would be dropped.
bool ServerConnection::closesAfter(const Exchange &exchange) const
{
    const bool isServerClosing = this->server.isClosing && this->unparsed.empty();
    return !exchange.isKeepAlive || this->closesAfterAnswer || isServerClosing;
}

void ServerConnection::finish()
{
    const ExchangePtr finished = std::move(this->exchange);
    this->exchange = nullptr;
    finished->connection = nullptr;
    --this->server.exchangeCount;
    // The server may have begun to close since the head of the answer was sent.
    if (finished->announcesClose || this->closesAfter(*finished)) {
        const auto self = this->shared_from_this();
        this->socket->closeGracefully(this->server.unsentMark);
        return this->server.remove(self);
    }
    this->awaitRequest();
    if (this->unparsed.size() <= MaxPipelinedBytes)
        this->socket->setReading(true);
    if (this->unparsed.empty())
        return;
    // Posted, as the caller is usually the handler of the current request, and the next one
    // must not be handled inside it.
    this->server.loop.post([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onData({});
    });
}

void ServerConnection::drop()
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

// The request of a new connection may be on its way, or waits to be read.
void ServerConnection::closeIfIdle()
{
    const bool isNew = monoNow() - this->lastActiveAt < NewConnectionTime;
    if (!this->isBetweenRequests() || isNew || this->socket->hasInput())
        return;
    const auto self = this->shared_from_this();
    this->timer.cancel();
    this->socket->closeGracefully(this->server.unsentMark);
    this->server.remove(self);
}

bool ServerConnection::isStalled(MonoTime now) const
{
    return !this->exchange && !this->isBetweenRequests() && this->socket->backlog() == 0
        && now - this->lastActiveAt >= StalledTime;
}

void ServerConnection::makeRoom()
{
    const auto self = this->shared_from_this();
    if (!this->isIdle())
        this->refuse(408, "the request did not arrive in time");
    this->drop();
}

void ServerConnection::shutDown()
{
    if (this->exchange)
        this->exchange->connection = nullptr;
    this->exchange = nullptr;
    this->timer.cancel();
    this->socket->close();
}

bool ServerConnection::isBetweenRequests() const
{
    return !this->exchange && !this->parser.isInsideMessage() && this->unparsed.empty();
}

void ServerConnection::awaitRequest()
{
    this->lastActiveAt = monoNow();
    this->timer = this->server.loop.after(this->server.limits.idleTimeout,
                                          [this] { this->socket ? this->drop() : void(); });
}

void ServerConnection::onData(std::string_view data)
{
    const auto self = this->shared_from_this();
    this->lastActiveAt = monoNow();
    this->unparsed.append(data);
    if (this->exchange) {
        if (!this->chargeHead())
            this->drop();
        else if (this->unparsed.size() > MaxPipelinedBytes)
            this->socket->setReading(false);
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
        this->isOverBudget = this->isOverBudget || !this->chargeHead();
        if (this->socket->isClosed())
            return; // it was itself the slowest reader
        if (this->isOverBudget)
            return this->refuse(ServiceUnavailable, "no memory is left for the request");
        if (step.state == ParseState::NeedsMore)
            return this->socket->setReading(true);
        if (step.state == ParseState::HeadTooLarge)
            return this->refuse(431, "the request's headers are too large");
        if (step.state == ParseState::Malformed)
            return this->refuse(400, "the request is not HTTP/1.1");
        this->dispatch();
    }
}

void ServerConnection::beginRequest()
{
    this->received = {};
    this->isTooLarge = false;
    this->isOverBudget = false;
    this->reservedBytes = 0;
    this->headBytes = 0;
    this->headShare.release();
    this->bodyShare = MemoryShare(this->server.memoryBudget);
    this->parser.setMaxHeadBytes(this->server.limits.maxHeadBytes);
    this->timer = this->server.loop.after(this->server.limits.requestTimeout, [this] {
        this->refuse(408, "the request did not arrive in time");
    });
}

bool ServerConnection::onHead(MessageHead &head)
{
    this->received.method = head.method;
    const std::size_t queryMark = head.target.find('?');
    this->received.path = head.target.substr(0, queryMark);
    if (queryMark != std::string::npos)
        this->received.query = head.target.substr(queryMark + 1);
    this->received.target = std::move(head.target);
    this->received.headers = std::move(head.headers);
    this->headBytes = heldBytes(this->received.headers) + this->received.target.capacity()
        + this->received.path.capacity() + this->received.query.capacity();
    this->isKeepAlive = head.isKeepAlive;
    this->isTooLarge
        = head.hasContentLength && head.contentLength > this->server.limits.maxBodyBytes;
    if (head.hasContentLength && !this->isTooLarge)
        this->reserveBody(head.contentLength);
    return false;
}

// Of many small bodies that arrive at the same time, some must become complete. A large one
// takes memory as it arrives, since its caller may hold back the rest.
void ServerConnection::reserveBody(std::size_t length)
{
    if (length > MaxReservedBytes) {
        this->isOverBudget = !this->bodyShare.hasRoom(length);
        return;
    }
    this->reservedBytes = length;
    this->isOverBudget = !this->takeMemory(this->bodyShare, length);
}

bool ServerConnection::chargeHead()
{
    const std::size_t bytes
        = this->headBytes + this->parser.heldBytes() + heapBytes(this->unparsed);
    return this->takeMemory(this->headShare, bytes);
}

// Callers that no longer send or read give up their memory first.
bool ServerConnection::takeMemory(MemoryShare &share, std::size_t bytes)
{
    while (!share.grow(bytes)) {
        const bool madeRoom = this->server.closeStalledHolder()
            || this->server.memoryBudget->disconnectSlowestReader(SlowReaderTime);
        if (!madeRoom)
            return false;
    }
    return true;
}

bool ServerConnection::holdAnswer(Exchange &held, std::size_t bytes)
{
    // The connection may be closed for an earlier answer that its caller does not read.
    return this->takeMemory(held.answerShare, bytes) && held.connection != nullptr;
}

// A body over the limit is read to its end and dropped. If the server answered and closed
// before, the caller's further bytes would cause a reset, and the caller could lose the answer.
void ServerConnection::onBody(std::string_view data)
{
    std::string &body = this->received.body;
    this->isTooLarge
        = this->isTooLarge || body.size() + data.size() > this->server.limits.maxBodyBytes;
    if (this->isTooLarge || this->isOverBudget)
        return;
    this->isOverBudget = !this->takeMemory(
        this->bodyShare, std::max(this->reservedBytes, body.size() + data.size()));
    if (!this->isOverBudget)
        body.append(data);
}

void ServerConnection::beginExchange()
{
    this->timer.cancel();
    this->exchange = std::make_shared<Exchange>();
    this->exchange->connection = this;
    this->exchange->isKeepAlive = this->isKeepAlive;
    this->exchange->receivedRequest = std::move(this->received);
    this->exchange->bodyShare = std::move(this->bodyShare);
    this->exchange->headShare = std::move(this->headShare);
    this->exchange->answerShare = MemoryShare(this->server.memoryBudget, MemoryKind::Answers);
    this->headShare = MemoryShare(this->server.memoryBudget, MemoryKind::Heads);
    this->headBytes = 0;
    ++this->server.exchangeCount;
}

void ServerConnection::refuse(int status, std::string_view reason)
{
    this->closesAfterAnswer = true;
    this->beginExchange();
    const ExchangePtr refused = this->exchange;
    refused->respond(this->server.refusal ? this->server.refusal(status, reason, refused->request())
                                          : defaultRefusal(status, reason));
}

void ServerConnection::dispatch()
{
    if (this->received.method == Method::Other)
        return this->refuse(501, "the method is not known");
    if (this->isTooLarge)
        return this->refuse(413, "the request body is too large");
    this->beginExchange();
    this->server.handler(this->exchange);
}

// Reading goes on if it was stopped because the caller had not read earlier answers.
void ServerConnection::onDrained()
{
    if (this->exchange) {
        if (this->exchange->drainedHandler)
            this->exchange->drainedHandler();
        return;
    }
    this->socket->setReading(true);
    this->onData({});
}

} // namespace lavenderhall::http
