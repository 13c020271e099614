#pragma once

#include "http/loop.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct lws;
struct lws_vhost;

/// HTTP/1.1 server over libwebsockets, with whole requests and streamed answers.
namespace lavenderhall::http {

/// One request and its answer. The owner keeps it while it still means to write.
class Exchange
{
public:
    const Request &request() const { return this->received; }

    /// Sends a whole answer. Ignored once an answer has begun or the caller has gone.
    void respond(Response response);
    /// Starts an answer of unknown length, sent in chunks.
    void begin(int status, Headers headers);
    /// Appends to a started answer.
    void write(std::string_view data);
    /// Ends a started answer cleanly.
    void end();
    /// Cuts the connection, so that the caller sees the answer as incomplete.
    void abort();

    /// Bytes accepted by write() that the socket has not taken yet.
    std::size_t backlog() const { return this->pending.size() - this->pendingOffset; }
    bool isClosed() const { return this->wsi == nullptr; }
    bool hasBegun() const { return this->begun; }

    /// Called when the backlog has been sent.
    void onDrained(std::function<void()> handler) { this->drained = std::move(handler); }
    /// Called once when the caller has gone before the answer ended.
    void onClosed(std::function<void()> handler) { this->closed = std::move(handler); }

private:
    friend class Server;

    Request received;
    lws *wsi = nullptr;
    std::string pending;
    std::size_t pendingOffset = 0;
    int status = 0;
    Headers answerHeaders;
    std::size_t length = 0;
    bool chunked = false;
    bool begun = false;
    bool headSent = false;
    bool ended = false;
    bool aborted = false;
    std::function<void()> drained;
    std::function<void()> closed;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ServerOptions
{
    std::string name; ///< unique among the servers of one loop
    Address listen; ///< port 0 is not allowed
    std::size_t maxBodyBytes = 8U << 20U;
    std::vector<std::string> headers; ///< headers beyond the usual ones to keep, lower case
    Millis requestTimeout = std::chrono::seconds(15); ///< for head and body to arrive
};

/// Listens on one address. Lives on its loop's thread and must outlive the loop's run.
class Server
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;

    /// Throws std::runtime_error when the address cannot be bound.
    Server(Loop &loop, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Closes the listening socket; open exchanges go on.
    void stopListening();
    /// Cuts each connection, answered or not, as a crash would.
    void cutAll();
    std::size_t connectionCount() const { return this->connections.size(); }
    std::size_t openExchanges() const { return this->exchangeCount; }

    /// Callback of libwebsockets. For the library only.
    int onEvent(lws *wsi, int reason, void *user, void *in, std::size_t length);

private:
    struct Connection;
    int onRequestHead(lws *wsi, Connection &connection);
    int onBody(Connection &connection, std::string_view data);
    int dispatch(Connection &connection);
    int onWritable(lws *wsi, Connection &connection);
    int writeHead(lws *wsi, Exchange &exchange);
    int writePending(lws *wsi, Connection &connection);
    int finish(lws *wsi, Connection &connection);
    void onGone(Connection &connection);
    int refuse(Connection &connection, int status, std::string_view text);

    Loop &loop;
    ServerOptions options;
    Handler handler;
    lws_vhost *vhost = nullptr;
    std::vector<lws *> connections;
    std::size_t exchangeCount = 0;
};

} // namespace lavenderhall::http
