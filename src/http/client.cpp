#include "http/client.h"

#include <algorithm>
#include <charconv>

namespace lavenderhall::http {

namespace {

/// Longest time that an idle connection is kept, also used if its server announces no timeout.
constexpr Millis DefaultIdleTimeout{20'000};
/// How long before the server's announced timeout an idle connection is closed.
constexpr Millis IdleTimeoutMargin{500};
/// A connection qualifies for Reuse::Recent for this long after its last answer.
constexpr Millis RecentAnswerTime{1500};

/// Limits of calls that collect the whole answer and set none themselves.
constexpr Millis DefaultBodyTimeout{10'000};
constexpr std::size_t DefaultMaxBodyBytes = 8U << 20U;
/// The same for the command line, which also waits for generations and reads whole time lines.
constexpr Millis SyncBodyTimeout = std::chrono::minutes(10);
constexpr std::size_t SyncMaxBodyBytes = 1U << 30U;

/// Returns how long a connection may stay idle, from the timeout in a header such as
/// "Keep-Alive: timeout=5", or DefaultIdleTimeout if there is none.
Millis idleTimeoutOf(const Headers &headers)
{
    constexpr std::string_view Label = "timeout=";
    const std::string_view text = findHeader(headers, "keep-alive");
    const std::size_t labelStart = text.find(Label);
    if (labelStart == std::string_view::npos)
        return DefaultIdleTimeout;
    std::int64_t seconds = 0;
    const char *digits = text.data() + labelStart + Label.size();
    const auto parsed = std::from_chars(digits, text.data() + text.size(), seconds);
    constexpr std::int64_t MaxSeconds = 3600;
    if (parsed.ec != std::errc{} || seconds < 0 || seconds > MaxSeconds)
        return DefaultIdleTimeout;
    return std::min<Millis>(DefaultIdleTimeout, std::chrono::seconds(seconds) - IdleTimeoutMargin);
}

/// Whether \a text ends a line of a message, or may be read as its end.
bool hasLineEnd(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

/// Whether serialize() makes one request with these headers of \a request, rather than another one.
bool isWellFormed(const CallRequest &request)
{
    if (hasLineEnd(request.path) || request.path.find(' ') != std::string::npos)
        return false;
    return std::none_of(request.headers.begin(), request.headers.end(), [](const Header &header) {
        return hasLineEnd(header.name) || hasLineEnd(header.value);
    });
}

/// Returns the bytes of \a request on the wire.
std::string serialize(const CallRequest &request)
{
    std::string text = toString(request.method);
    text.append(" ").append(request.path).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "host").empty())
        text.append("host: ").append(request.to.toString()).append("\r\n");
    for (const Header &header : request.headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    // A request of another method must announce its length also if it has no body.
    const bool needsLength = request.method != Method::Get && request.method != Method::Head;
    if (needsLength || !request.body.empty())
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    return text.append("\r\n").append(request.body);
}

} // namespace

/// One connection to a server, with at most one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(Client &client, Address to, std::uint64_t number)
        : client(client)
        , to(std::move(to))
        , number(number)
        , parser(MessageKind::Response,
                 {[this](const MessageHead &head) { return this->onHead(head); },
                  [this](std::string_view data) { this->onBody(data); }})
    { }

    void connect(Loop &loop)
    {
        SocketHandlers handlers;
        handlers.onConnected = [this] { this->onConnected(); };
        handlers.onData = [this](std::string_view data) { this->onData(data); };
        handlers.onEnd
            = [this](SocketEnd end, const std::string &reason) { this->onEnd(end, reason); };
        this->socket = Socket::connect(loop, this->to, std::move(handlers));
    }

    /// Sends the request of \a next, now or as soon as the connection is established.
    void begin(const CallPtr &next)
    {
        this->call = next;
        this->call->connectionUse.number = this->number;
        this->call->connectionUse.earlierAnswers = this->answerCount;
        this->carriedIds.add(this->call->request.requestId);
        if (this->isConnected)
            this->send();
    }

    /// Closes the connection and removes it from the client.
    void close()
    {
        const auto self = this->shared_from_this();
        this->call = nullptr;
        this->idleTimer.cancel();
        this->socket->close();
        this->client.remove(self);
    }

    /// Closes the connection without a notice to the client, which is being destroyed.
    void shutDown()
    {
        this->call = nullptr;
        this->idleTimer.cancel();
        this->socket->close();
    }

    const Address &address() const { return this->to; }
    MonoTime lastAnswer() const { return this->lastAnswerAt; }
    bool isRecent(MonoTime now) const { return now - this->lastAnswerAt < RecentAnswerTime; }
    bool hasInput() const { return this->socket->hasInput(); }
    bool hasCarried(const std::string &requestId) const
    {
        return this->carriedIds.contains(requestId);
    }
    void setReading(bool on) { this->socket->setReading(on); }
    /// Sets the timer that closes the connection while it is idle; an empty one stops it.
    void setIdleTimer(Timer timer) { this->idleTimer = std::move(timer); }
    Millis idleTimeout() const { return this->serverIdleTimeout; }

private:
    // What a server sends before it has read the request answers nothing. The next read takes it,
    // and the call fails without having been sent.
    void onConnected()
    {
        this->isConnected = true;
        if (this->call && !this->socket->hasInput())
            this->send();
    }

    void send()
    {
        this->call->progress.mayHaveBeenSent = true;
        this->bodyBytes = 0;
        this->limitTime(this->call->request.headTimeout, "no answer in time");
        this->socket->write(serialize(this->call->request));
        std::string().swap(this->call->request.body);
    }

    /// Fails the call for \a reason if its timer is not set again within \a timeout.
    void limitTime(Millis timeout, const char *reason)
    {
        this->call->timer = this->client.loop.after(
            timeout, [client = &this->client, weak = std::weak_ptr(this->call), reason] {
                const CallPtr overdue = weak.lock();
                if (!overdue)
                    return;
                overdue->progress.timedOut = true;
                client->failCall(overdue, reason);
            });
    }

    void onData(std::string_view data)
    {
        const auto self = this->shared_from_this();
        // These bytes answer no request: a second answer, or garbage.
        if (!this->call || !this->call->progress.mayHaveBeenSent) {
            if (this->call)
                return this->client.failCall(this->call, "bytes before the request was sent");
            return this->close();
        }
        this->call->progress.bytesReceived = true;
        const ParseStep step = this->parser.feed(data);
        if (!this->call)
            return; // a handler has cancelled the call
        if (step.state == ParseState::NeedsMore)
            return;
        if (step.state != ParseState::Complete)
            return this->client.failCall(this->call, "the answer is not HTTP/1.1");
        this->complete(step.consumed == data.size());
    }

    bool onHead(const MessageHead &head)
    {
        const CallPtr current = this->call;
        current->progress.headReceived = true;
        current->timer.cancel();
        if (current->request.bodyTimeout > Millis(0))
            this->limitTime(current->request.bodyTimeout, "the answer does not end");
        this->serverIdleTimeout = idleTimeoutOf(head.headers);
        this->isReusable = head.isKeepAlive;
        const bool isHead = current->request.method == Method::Head;
        if (current->handlers.onHead)
            current->handlers.onHead(head.status, head.headers);
        return isHead;
    }

    void onBody(std::string_view data)
    {
        if (!this->call)
            return;
        this->bodyBytes += data.size();
        const std::size_t maxBytes = this->call->request.maxBodyBytes;
        if (maxBytes > 0 && this->bodyBytes > maxBytes)
            return this->client.failCall(this->call, "the answer is too large");
        if (this->call->handlers.onData)
            this->call->handlers.onData(data);
    }

    // Completes the call with its answer. The connection is used again only if the server has read
    // the whole request, as it would otherwise take the rest for the next request, if no bytes have
    // followed the answer, and if it can remember the id of a further request.
    void complete(bool isInputConsumed)
    {
        const CallPtr completed = std::move(this->call);
        this->call = nullptr;
        completed->connection = nullptr;
        this->lastAnswerAt = monoNow();
        ++this->answerCount;
        const auto self = this->shared_from_this();
        this->socket->setReading(true); // the call may have stopped it at the answer's last part
        if (isInputConsumed && this->isReusable && !this->carriedIds.isFull()
            && this->socket->backlog() == 0 && !this->socket->isClosed())
            this->client.addIdle(self);
        else
            this->close();
        const auto onEnd = completed->handlers.onEnd;
        this->client.finish(*completed);
        if (onEnd)
            onEnd();
    }

    void onEnd(SocketEnd end, const std::string &reason)
    {
        const auto self = this->shared_from_this();
        if (!this->call)
            return this->close();
        const bool isComplete = end == SocketEnd::Eof && this->parser.finishAtEof();
        if (isComplete && this->call) {
            this->call->endedByClose = true;
            return this->complete(false);
        }
        if (!this->call)
            return;
        this->call->progress.connectionLost = this->isConnected;
        this->client.failCall(this->call, reason);
    }

    Client &client;
    const Address to;
    const std::uint64_t number;
    CarriedIds carriedIds; ///< of all calls, also of those that have failed
    Parser parser;
    Socket::Ptr socket;
    CallPtr call;
    Timer idleTimer;
    Millis serverIdleTimeout = DefaultIdleTimeout;
    std::size_t bodyBytes = 0; ///< received of the current answer's body
    MonoTime lastAnswerAt{};
    int answerCount = 0; ///< calls completed
    bool isConnected = false;
    bool isReusable = false;
};

void Call::cancel()
{
    if (this->finished)
        return;
    const CallPtr keepAlive = this->shared_from_this();
    const auto usedConnection = std::move(this->connection);
    this->connection = nullptr;
    this->client->finish(*this);
    if (usedConnection)
        usedConnection->close();
}

bool Call::hasCarriedBefore(const std::string &requestId) const
{
    return this->connection && requestId != this->request.requestId
        && this->connection->hasCarried(requestId);
}

void Call::setReading(bool on)
{
    if (this->connection && !this->finished)
        this->connection->setReading(on);
}

Client::Client(Loop &loop)
    : loop(loop)
{ }

Client::~Client()
{
    for (const CallPtr &call : this->calls) {
        call->finished = true;
        call->timer.cancel();
        call->connection = nullptr;
    }
    for (const auto &[to, connections] : this->openConnections) {
        for (const ConnectionPtr &connection : connections)
            connection->shutDown();
    }
}

CallPtr Client::start(CallRequest request, CallHandlers handlers)
{
    auto call = std::make_shared<Call>();
    call->client = this;
    call->request = std::move(request);
    call->handlers = std::move(handlers);
    this->calls.insert(call);
    if (!isWellFormed(call->request)) {
        this->failLater(call, "the request is malformed");
        return call;
    }
    call->connection = this->takeIdle(*call);
    const bool isNew = !call->connection;
    if (isNew && this->connectionCount >= this->maxConnections && !this->closeLongestIdle()) {
        this->failLater(call, "all connections are in use");
        return call;
    }
    if (isNew) {
        call->connection = std::make_shared<ClientConnection>(*this, call->request.to,
                                                              ++this->lastConnectionNumber);
        this->openConnections[call->request.to].insert(call->connection);
        ++this->connectionCount;
        call->timer
            = this->loop.after(call->request.connectTimeout, [this, weak = std::weak_ptr(call)] {
                  const CallPtr overdue = weak.lock();
                  if (!overdue)
                      return;
                  overdue->progress.timedOut = true;
                  this->failCall(overdue, "connect timed out");
              });
    }
    call->connection->begin(call);
    if (isNew)
        call->connection->connect(this->loop);
    return call;
}

std::size_t Client::connectionsTo(const Address &to) const
{
    const auto found = this->openConnections.find(to);
    return found == this->openConnections.end() ? 0 : found->second.size();
}

// The server may have sent an answer twice, and the second copy may still be on its way. Only the
// id tells it from the answer to a later request, so a request that comes again takes a connection
// that has not carried it. One that has is closed instead of a further one being kept beside it: a
// caller that sends a request many times would otherwise leave as many connections behind.
Client::ConnectionPtr Client::takeIdle(Call &call)
{
    const CallRequest &request = call.request;
    const auto found = this->idleConnections.find(request.to);
    if (found == this->idleConnections.end() || request.reuse == Reuse::Never)
        return nullptr;
    const MonoTime now = monoNow();
    std::vector<ConnectionPtr> unusable;
    ConnectionPtr lastCarrier;
    ConnectionPtr taken;
    for (auto position = found->second.rbegin(); position != found->second.rend(); ++position) {
        const ConnectionPtr &idle = *position;
        if (request.reuse == Reuse::Recent && !idle->isRecent(now))
            break;
        if (idle->hasCarried(request.requestId)) {
            ++call.connectionUse.skippedConnections;
            lastCarrier = lastCarrier ? lastCarrier : idle;
            continue;
        }
        // Its server has ended it, or has sent what would be taken for the answer to this call.
        if (idle->hasInput()) {
            unusable.push_back(idle);
            continue;
        }
        taken = idle;
        break;
    }
    if (!taken && lastCarrier)
        unusable.push_back(lastCarrier);
    if (taken) {
        std::erase(found->second, taken);
        taken->setIdleTimer({});
    }
    for (const ConnectionPtr &connection : unusable)
        connection->close();
    return taken;
}

void Client::addIdle(const ConnectionPtr &connection)
{
    if (connection->idleTimeout() <= Millis(0))
        return connection->close();
    this->idleConnections[connection->address()].push_back(connection);
    connection->setIdleTimer(
        this->loop.after(connection->idleTimeout(), [weak = std::weak_ptr(connection)] {
            if (const auto idle = weak.lock())
                idle->close();
        }));
}

bool Client::closeLongestIdle()
{
    ConnectionPtr longest;
    for (const auto &[to, connections] : this->idleConnections) {
        if (!connections.empty()
            && (!longest || connections.front()->lastAnswer() < longest->lastAnswer()))
            longest = connections.front();
    }
    if (longest)
        longest->close();
    return longest != nullptr;
}

void Client::remove(const ConnectionPtr &connection)
{
    const auto idle = this->idleConnections.find(connection->address());
    if (idle != this->idleConnections.end())
        std::erase(idle->second, connection);
    if (idle != this->idleConnections.end() && idle->second.empty())
        this->idleConnections.erase(idle);
    const auto open = this->openConnections.find(connection->address());
    if (open != this->openConnections.end())
        this->connectionCount -= open->second.erase(connection);
    if (open != this->openConnections.end() && open->second.empty())
        this->openConnections.erase(open);
    this->loop.post([connection] {}); // destroyed later, as it may be on the call stack
}

void Client::closeIdleConnections(const Address &to)
{
    const auto found = this->idleConnections.find(to);
    if (found == this->idleConnections.end())
        return;
    const auto connections = found->second;
    for (const ConnectionPtr &connection : connections)
        connection->close();
}

void Client::finish(Call &call)
{
    call.finished = true;
    call.timer.cancel();
    const CallPtr finishedCall = call.shared_from_this();
    this->calls.erase(finishedCall);
    // The caller may be one of these handlers, so they are destroyed later from the loop.
    const auto oldHandlers = std::make_shared<CallHandlers>(std::move(call.handlers));
    call.handlers = {};
    this->loop.post([oldHandlers, finishedCall] {});
}

void Client::failLater(const CallPtr &call, const char *reason)
{
    this->loop.post([this, weak = std::weak_ptr(call), reason] {
        if (const CallPtr started = weak.lock())
            this->failCall(started, reason);
    });
}

void Client::failCall(const CallPtr &call, std::string reason)
{
    if (call->finished)
        return;
    const auto onFailed = call->handlers.onFailed;
    CallFailure failure = call->progress;
    failure.reason = std::move(reason);
    const auto usedConnection = std::move(call->connection);
    call->connection = nullptr;
    this->finish(*call);
    if (usedConnection)
        usedConnection->close();
    if (onFailed)
        onFailed(failure);
}

CallPtr startBuffered(Client &client, CallRequest request, const ResponseHandler &handler)
{
    if (request.bodyTimeout == Millis(0))
        request.bodyTimeout = DefaultBodyTimeout;
    if (request.maxBodyBytes == 0)
        request.maxBodyBytes = DefaultMaxBodyBytes;
    const auto response = std::make_shared<Response>();
    CallHandlers handlers;
    handlers.onHead = [response](int status, const Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.onData = [response](std::string_view data) { response->body.append(data); };
    handlers.onEnd = [response, handler] { handler(response.get(), {}); };
    handlers.onFailed = [handler](const CallFailure &failure) { handler(nullptr, failure); };
    return client.start(std::move(request), std::move(handlers));
}

SyncResult callAndWait(CallRequest request)
{
    if (request.bodyTimeout == Millis(0))
        request.bodyTimeout = SyncBodyTimeout;
    if (request.maxBodyBytes == 0)
        request.maxBodyBytes = SyncMaxBodyBytes;
    SyncResult result;
    Loop loop;
    Client client(loop);
    const auto onAnswer = [&](const Response *response, const CallFailure &failure) {
        result.ok = response != nullptr;
        if (response)
            result.response = *response;
        result.failure = failure;
        loop.stop();
    };
    const CallPtr call = startBuffered(client, std::move(request), onAnswer);
    loop.run();
    return result;
}

} // namespace lavenderhall::http
