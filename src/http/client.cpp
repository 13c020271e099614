#include "http/client.h"

#include <algorithm>
#include <charconv>

namespace lavenderhall::http {

namespace {

constexpr Millis KeepTime{20'000}; ///< of an idle connection whose server names no time
constexpr Millis KeepMargin{500}; ///< before a server closes an idle connection itself
constexpr Millis RecentTime{1500}; ///< since its last answer, a connection counts as proven

/// Reads "timeout=5" out of a Keep-Alive header; KeepTime if there is none.
Millis keepTimeOf(const Headers &headers)
{
    constexpr std::string_view Label = "timeout=";
    const std::string_view text = findHeader(headers, "keep-alive");
    const std::size_t at = text.find(Label);
    if (at == std::string_view::npos)
        return KeepTime;
    std::int64_t seconds = 0;
    const char *from = text.data() + at + Label.size();
    const auto read = std::from_chars(from, text.data() + text.size(), seconds);
    constexpr std::int64_t MaxSeconds = 3600;
    if (read.ec != std::errc{} || seconds < 0 || seconds > MaxSeconds)
        return KeepTime;
    return std::min<Millis>(KeepTime, std::chrono::seconds(seconds) - KeepMargin);
}

std::string serialize(const CallRequest &request)
{
    std::string text = toString(request.method);
    text.append(" ").append(request.path).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "host").empty())
        text.append("host: ").append(request.to.toString()).append("\r\n");
    for (const Header &header : request.headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    const bool wantsLength = request.method != Method::Get && request.method != Method::Head;
    if (wantsLength || !request.body.empty())
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    return text.append("\r\n").append(request.body);
}

} // namespace

/// One connection to a server: at most one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(Client &client, Address to)
        : client(client)
        , to(std::move(to))
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

    void begin(const CallPtr &next)
    {
        this->call = next;
        if (this->isConnected)
            this->send();
    }

    void close()
    {
        const auto self = this->shared_from_this();
        this->call = nullptr;
        this->idleTimer.cancel();
        this->socket->close();
        this->client.forget(self);
    }

    /// The client goes.
    void abandon()
    {
        this->call = nullptr;
        this->idleTimer.cancel();
        this->socket->close();
    }

    const Address &address() const { return this->to; }
    bool isRecent(MonoTime now) const { return now - this->lastAnswerAt < RecentTime; }
    void setReading(bool on) { this->socket->setReading(on); }
    void setIdleTimer(Timer timer) { this->idleTimer = std::move(timer); }
    Millis keepTime() const { return this->keepFor; }

private:
    void onConnected()
    {
        this->isConnected = true;
        if (this->call)
            this->send();
    }

    void send()
    {
        const CallPtr held = this->call;
        held->progress.mayHaveBeenSent = true;
        held->timer = this->client.loop.after(held->request.headTimeout,
                                              [client = &this->client, weak = std::weak_ptr(held)] {
                                                  const CallPtr late = weak.lock();
                                                  if (!late)
                                                      return;
                                                  late->progress.timedOut = true;
                                                  client->failCall(late, "no answer in time");
                                              });
        this->socket->write(serialize(held->request));
    }

    void onData(std::string_view data)
    {
        const auto self = this->shared_from_this();
        // Bytes that no call waits for: a second answer, or garbage.
        if (!this->call || !this->call->progress.mayHaveBeenSent) {
            if (this->call)
                return this->client.failCall(this->call, "bytes before the request was sent");
            return this->close();
        }
        const ParseStep step = this->parser.feed(data);
        if (!this->call)
            return; // cancelled by a handler
        if (step.state == ParseState::NeedsMore)
            return;
        if (step.state != ParseState::Complete)
            return this->client.failCall(this->call, "the answer is not HTTP/1.1");
        this->complete(step.consumed == data.size());
    }

    bool onHead(const MessageHead &head)
    {
        const CallPtr held = this->call;
        held->progress.headReceived = true;
        held->timer.cancel();
        this->keepFor = keepTimeOf(head.headers);
        this->mayKeep = head.isKeepAlive;
        const bool isHead = held->request.method == Method::Head;
        if (held->handlers.onHead)
            held->handlers.onHead(head.status, head.headers);
        return isHead;
    }

    void onBody(std::string_view data)
    {
        if (this->call && this->call->handlers.onData)
            this->call->handlers.onData(data);
    }

    // A server may answer before it has read the whole request; the rest must not be taken for
    // the next one, so such a connection is closed.
    void complete(bool isClean)
    {
        const CallPtr done = std::move(this->call);
        this->call = nullptr;
        done->connection = nullptr;
        this->lastAnswerAt = monoNow();
        const auto self = this->shared_from_this();
        if (isClean && this->mayKeep && this->socket->backlog() == 0 && !this->socket->isClosed())
            this->client.keep(self);
        else
            this->close();
        const auto onEnd = done->handlers.onEnd;
        this->client.finish(*done);
        if (onEnd)
            onEnd();
    }

    void onEnd(SocketEnd end, const std::string &reason)
    {
        const auto self = this->shared_from_this();
        if (!this->call)
            return this->close();
        const bool isWhole = end == SocketEnd::Eof && this->parser.finishAtEof();
        if (isWhole && this->call)
            return this->complete(false);
        if (!this->call)
            return;
        this->call->progress.wasReset = this->isConnected;
        this->client.failCall(this->call, reason);
    }

    Client &client;
    const Address to;
    Parser parser;
    Socket::Ptr socket;
    CallPtr call;
    Timer idleTimer;
    Millis keepFor = KeepTime;
    MonoTime lastAnswerAt{};
    bool isConnected = false;
    bool mayKeep = false;
};

void Call::cancel()
{
    if (this->finished)
        return;
    const CallPtr held = this->shared_from_this();
    const auto used = std::move(this->connection);
    this->connection = nullptr;
    this->client->finish(*this);
    if (used)
        used->close();
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
    for (const auto &[to, connections] : this->open) {
        for (const ConnectionPtr &connection : connections)
            connection->abandon();
    }
}

CallPtr Client::start(CallRequest request, CallHandlers handlers)
{
    auto call = std::make_shared<Call>();
    call->client = this;
    call->request = std::move(request);
    call->handlers = std::move(handlers);
    this->calls.insert(call);
    call->connection = this->takeIdle(call->request.to, call->request.reuse);
    const bool isNew = !call->connection;
    if (isNew) {
        call->connection = std::make_shared<ClientConnection>(*this, call->request.to);
        this->open[call->request.to].insert(call->connection);
        call->timer
            = this->loop.after(call->request.connectTimeout, [this, weak = std::weak_ptr(call)] {
                  const CallPtr late = weak.lock();
                  if (!late)
                      return;
                  late->progress.timedOut = true;
                  this->failCall(late, "connect timed out");
              });
    }
    call->connection->begin(call);
    if (isNew)
        call->connection->connect(this->loop);
    return call;
}

std::size_t Client::connectionsTo(const Address &to) const
{
    const auto found = this->open.find(to);
    return found == this->open.end() ? 0 : found->second.size();
}

Client::ConnectionPtr Client::takeIdle(const Address &to, Reuse reuse)
{
    const auto found = this->idle.find(to);
    if (reuse == Reuse::Never || found == this->idle.end() || found->second.empty())
        return nullptr;
    ConnectionPtr best = found->second.back();
    if (reuse == Reuse::Recent && !best->isRecent(monoNow()))
        return nullptr;
    found->second.pop_back();
    best->setIdleTimer({});
    return best;
}

void Client::keep(const ConnectionPtr &connection)
{
    if (connection->keepTime() <= Millis(0))
        return connection->close();
    this->idle[connection->address()].push_back(connection);
    connection->setIdleTimer(
        this->loop.after(connection->keepTime(), [weak = std::weak_ptr(connection)] {
            if (const auto kept = weak.lock())
                kept->close();
        }));
}

void Client::forget(const ConnectionPtr &connection)
{
    const auto found = this->idle.find(connection->address());
    if (found != this->idle.end())
        std::erase(found->second, connection);
    if (found != this->idle.end() && found->second.empty())
        this->idle.erase(found);
    const auto all = this->open.find(connection->address());
    if (all != this->open.end())
        all->second.erase(connection);
    if (all != this->open.end() && all->second.empty())
        this->open.erase(all);
    this->loop.post([connection] {}); // it may be on the call stack
}

void Client::closeIdleConnections(const Address &to)
{
    const auto found = this->idle.find(to);
    if (found == this->idle.end())
        return;
    const auto connections = found->second;
    for (const ConnectionPtr &connection : connections)
        connection->close();
}

void Client::finish(Call &call)
{
    call.finished = true;
    call.timer.cancel();
    const CallPtr held = call.shared_from_this();
    this->calls.erase(held);
    // One of its handlers may be running now, so they are destroyed later.
    const auto old = std::make_shared<CallHandlers>(std::move(call.handlers));
    call.handlers = {};
    this->loop.post([old, held] {});
}

void Client::failCall(const CallPtr &call, std::string reason)
{
    if (call->finished)
        return;
    const auto onFailed = call->handlers.onFailed;
    CallFailure failure = call->progress;
    failure.reason = std::move(reason);
    const auto used = std::move(call->connection);
    call->connection = nullptr;
    this->finish(*call);
    if (used)
        used->close();
    if (onFailed)
        onFailed(failure);
}

CallPtr startBuffered(Client &client, CallRequest request, const ResponseHandler &handler)
{
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
