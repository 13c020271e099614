#include "http/server.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <libwebsockets.h>
#include <stdexcept>

namespace lavenderhall::http {

/// What the library keeps per connection: the exchange in progress, if any.
struct Server::Connection
{
    ExchangePtr exchange;
    bool bodyTooLarge;
    bool refused;
};

namespace {

constexpr std::size_t MaxWriteBytes = 16384;
constexpr std::size_t HeadBufferBytes = 16384;
constexpr int KeepAliveSeconds = 60;
constexpr std::size_t MaxDiscardFactor = 8;
constexpr std::size_t ConnectionBytes = 4 * sizeof(void *);

struct MethodToken
{
    lws_token_indexes token;
    Method method;
};

constexpr std::array<MethodToken, 7> MethodTokens{{
    {WSI_TOKEN_GET_URI, Method::Get},
    {WSI_TOKEN_POST_URI, Method::Post},
    {WSI_TOKEN_PUT_URI, Method::Put},
    {WSI_TOKEN_PATCH_URI, Method::Patch},
    {WSI_TOKEN_DELETE_URI, Method::Delete},
    {WSI_TOKEN_OPTIONS_URI, Method::Options},
    {WSI_TOKEN_HEAD_URI, Method::Head},
}};

struct KnownHeader
{
    lws_token_indexes token;
    const char *name;
};

constexpr std::array<KnownHeader, 10> KnownHeaders{{
    {WSI_TOKEN_HTTP_AUTHORIZATION, "authorization"},
    {WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type"},
    {WSI_TOKEN_HTTP_CONTENT_LENGTH, "content-length"},
    {WSI_TOKEN_HTTP_TRANSFER_ENCODING, "transfer-encoding"},
    {WSI_TOKEN_HTTP_ACCEPT, "accept"},
    {WSI_TOKEN_HTTP_ACCEPT_LANGUAGE, "accept-language"},
    {WSI_TOKEN_HTTP_IF_MATCH, "if-match"},
    {WSI_TOKEN_HTTP_IF_NONE_MATCH, "if-none-match"},
    {WSI_TOKEN_HTTP_RANGE, "range"},
    {WSI_TOKEN_HTTP_EXPECT, "expect"},
}};

std::string copyToken(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(copied < 0 ? 0 : static_cast<std::size_t>(copied));
    return value;
}

std::string copyCustom(lws *wsi, const std::string &name)
{
    const std::string key = name + ":";
    const int length = lws_hdr_custom_length(wsi, key.c_str(), static_cast<int>(key.size()));
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, key.c_str(),
                                           static_cast<int>(key.size()));
    value.resize(copied < 0 ? 0 : static_cast<std::size_t>(copied));
    return value;
}

// The library splits the query into fragments at "&"; they are joined again here.
std::string copyQuery(lws *wsi)
{
    std::string query;
    std::array<char, 4096> fragment{};
    for (int index = 0;; ++index) {
        const int length = lws_hdr_copy_fragment(wsi, fragment.data(), fragment.size(),
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length < 0)
            return query;
        if (!query.empty())
            query += '&';
        query.append(fragment.data(), static_cast<std::size_t>(length));
    }
}

int onServerEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length)
{
    lws_vhost *vhost = lws_get_vhost(wsi);
    auto *server = vhost ? static_cast<Server *>(lws_get_vhost_user(vhost)) : nullptr;
    const auto *loop = static_cast<Loop *>(lws_context_user(lws_get_context(wsi)));
    if (!server || !loop->hasOwner(server))
        return 0;
    return server->onEvent(wsi, reason, user, in, length);
}

// The library keeps pointers into this table for as long as the context lives.
const std::array<lws_protocols, 2> Protocols{{
    {"http", onServerEvent, ConnectionBytes, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

} // namespace

void Exchange::respond(Response response)
{
    if (this->begun || !this->wsi)
        return;
    this->begun = true;
    this->ended = true;
    this->status = response.status;
    this->answerHeaders = std::move(response.headers);
    this->pending = std::move(response.body);
    this->length = this->pending.size();
    lws_callback_on_writable(this->wsi);
}

void Exchange::begin(int answerStatus, Headers headers)
{
    if (this->begun || !this->wsi)
        return;
    this->begun = true;
    this->chunked = true;
    this->status = answerStatus;
    this->answerHeaders = std::move(headers);
    lws_callback_on_writable(this->wsi);
}

void Exchange::write(std::string_view data)
{
    if (!this->wsi || this->ended || data.empty())
        return;
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    this->pending.append(size.data()).append(data).append("\r\n");
    lws_callback_on_writable(this->wsi);
}

void Exchange::end()
{
    if (!this->wsi || this->ended)
        return;
    this->ended = true;
    this->pending.append("0\r\n\r\n");
    lws_callback_on_writable(this->wsi);
}

void Exchange::abort()
{
    if (!this->wsi)
        return;
    this->aborted = true;
    lws_callback_on_writable(this->wsi);
}

Server::Server(Loop &loop, ServerOptions options, Handler handler)
    : loop(loop)
    , options(std::move(options))
    , handler(std::move(handler))
{
    static_assert(sizeof(Connection) <= ConnectionBytes);
    loop.addOwner(this);
    lws_context_creation_info info{};
    info.port = this->options.listen.port;
    info.iface = this->options.listen.host.c_str();
    info.protocols = Protocols.data();
    info.vhost_name = this->options.name.c_str();
    info.user = this;
    info.keepalive_timeout = KeepAliveSeconds;
    info.timeout_secs = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::seconds>(this->options.requestTimeout).count());
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    this->vhost = lws_create_vhost(this->loop.context(), &info);
    if (!this->vhost)
        throw std::runtime_error("http listen: cannot bind " + this->options.listen.toString());
}

Server::~Server()
{
    // The library calls back once more for each open connection when the context goes.
    for (lws *wsi : this->connections) {
        auto *connection = static_cast<Connection *>(lws_wsi_user(wsi));
        if (connection && connection->exchange)
            connection->exchange->wsi = nullptr;
        if (connection)
            connection->exchange.reset();
    }
    this->loop.removeOwner(this);
    lws_vhost_destroy(this->vhost);
}

void Server::stopListening()
{
    lws_vhost_destroy(this->vhost);
}

void Server::cutAll()
{
    for (lws *wsi : this->connections)
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

int Server::onEvent(lws *wsi, int reason, void *user, void *in, std::size_t length)
{
    auto *connection = static_cast<Connection *>(user);
    switch (reason) {
    case LWS_CALLBACK_HTTP_BIND_PROTOCOL:
        this->connections.push_back(wsi);
        return 0;
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        std::erase(this->connections, wsi);
        if (connection)
            this->onGone(*connection);
        return 0;
    case LWS_CALLBACK_HTTP:
        return this->onRequestHead(wsi, *connection);
    case LWS_CALLBACK_HTTP_BODY:
        return this->onBody(*connection, {static_cast<const char *>(in), length});
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return this->dispatch(*connection);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return this->onWritable(wsi, *connection);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (connection)
            this->onGone(*connection);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, static_cast<lws_callback_reasons>(reason), user, in,
                                       length);
    }
}

int Server::onRequestHead(lws *wsi, Connection &connection)
{
    this->onGone(connection);
    connection.exchange = std::make_shared<Exchange>();
    connection.bodyTooLarge = false;
    connection.refused = false;
    ++this->exchangeCount;
    Exchange &exchange = *connection.exchange;
    exchange.wsi = wsi;
    exchange.received.method = Method::Other;
    for (const MethodToken &entry : MethodTokens) {
        if (lws_hdr_total_length(wsi, entry.token) <= 0)
            continue;
        exchange.received.method = entry.method;
        exchange.received.path = copyToken(wsi, entry.token);
        break;
    }
    exchange.received.query = copyQuery(wsi);
    for (const KnownHeader &known : KnownHeaders) {
        std::string value = copyToken(wsi, known.token);
        if (!value.empty())
            exchange.received.headers.push_back({known.name, std::move(value)});
    }
    for (const std::string &name : this->options.headers) {
        std::string value = copyCustom(wsi, name);
        if (!value.empty())
            exchange.received.headers.push_back({name, std::move(value)});
    }

    // The library does not decode chunked request bodies, so such a request is refused.
    if (!findHeader(exchange.received.headers, "transfer-encoding").empty())
        return this->refuse(connection, 411, "a request body needs a content-length");
    const std::string declared(findHeader(exchange.received.headers, "content-length"));
    if (declared.empty() || declared == "0")
        return this->dispatch(connection);
    const std::size_t size = std::strtoull(declared.c_str(), nullptr, 10);
    connection.bodyTooLarge = size > this->options.maxBodyBytes;
    if (size > MaxDiscardFactor * this->options.maxBodyBytes)
        return this->refuse(connection, 413, "the request body is too large");
    return 0;
}

int Server::refuse(Connection &connection, int status, std::string_view text)
{
    connection.refused = true;
    const std::string body = R"({"error":{"type":"invalid_request_error","code":"http_)"
        + std::to_string(status) + R"(","message":")" + std::string(text) + "\"}}\n";
    connection.exchange->respond({status,
                                  {{"content-type", "application/json"},
                                   {"x-lavenderhall-outcome", "not-run"},
                                   {"connection", "close"}},
                                  body});
    return 0;
}

int Server::onBody(Connection &connection, std::string_view data)
{
    // A body over the bound is read and thrown away: an answer that overtakes it would be lost
    // with the connection.
    if (!connection.exchange || connection.bodyTooLarge || connection.refused)
        return 0;
    connection.exchange->received.body.append(data);
    return 0;
}

int Server::dispatch(Connection &connection)
{
    if (!connection.exchange || connection.refused || !this->handler)
        return 0;
    if (connection.bodyTooLarge)
        return this->refuse(connection, 413, "the request body is too large");
    const ExchangePtr exchange = connection.exchange;
    lws_set_timeout(exchange->wsi, NO_PENDING_TIMEOUT, 0);
    this->handler(exchange);
    return 0;
}

int Server::onWritable(lws *wsi, Connection &connection)
{
    if (!connection.exchange)
        return 0;
    Exchange &exchange = *connection.exchange;
    if (exchange.aborted)
        return -1;
    if (!exchange.begun)
        return 0;
    if (!exchange.headSent)
        return this->writeHead(wsi, exchange);
    return this->writePending(wsi, connection);
}

int Server::writeHead(lws *wsi, Exchange &exchange)
{
    std::array<unsigned char, LWS_PRE + HeadBufferBytes> buffer{};
    unsigned char *start = buffer.data() + LWS_PRE;
    unsigned char *cursor = start;
    unsigned char *limit = buffer.data() + buffer.size() - 1;
    if (lws_add_http_header_status(wsi, static_cast<unsigned>(exchange.status), &cursor, limit))
        return -1;
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string key = name + ":";
        return lws_add_http_header_by_name(wsi,
                                           reinterpret_cast<const unsigned char *>(key.c_str()),
                                           reinterpret_cast<const unsigned char *>(value.data()),
                                           static_cast<int>(value.size()), &cursor, limit);
    };
    for (const Header &header : exchange.answerHeaders) {
        if (add(header.name, header.value))
            return -1;
    }
    if (exchange.chunked && add("transfer-encoding", "chunked"))
        return -1;
    if (!exchange.chunked && add("content-length", std::to_string(exchange.length)))
        return -1;
    if (lws_finalize_http_header(wsi, &cursor, limit))
        return -1;
    const auto size = static_cast<std::size_t>(cursor - start);
    if (lws_write(wsi, start, size, LWS_WRITE_HTTP_HEADERS) < 0)
        return -1;
    exchange.headSent = true;
    if (exchange.received.method == Method::Head)
        exchange.pending.clear();
    if (!exchange.pending.empty() || exchange.ended)
        lws_callback_on_writable(wsi);
    return 0;
}

int Server::writePending(lws *wsi, Connection &connection)
{
    const ExchangePtr exchange = connection.exchange;
    const std::size_t size = std::min(exchange->backlog(), MaxWriteBytes);
    if (size > 0) {
        std::array<unsigned char, LWS_PRE + MaxWriteBytes> buffer;
        const auto *from = exchange->pending.data() + exchange->pendingOffset;
        std::copy(from, from + size, buffer.data() + LWS_PRE);
        if (lws_write(wsi, buffer.data() + LWS_PRE, size, LWS_WRITE_HTTP) < 0)
            return -1;
        exchange->pendingOffset += size;
    }
    if (exchange->backlog() > 0) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    exchange->pending.clear();
    exchange->pendingOffset = 0;
    if (exchange->ended)
        return this->finish(wsi, connection);
    if (exchange->drained)
        exchange->drained();
    return 0;
}

int Server::finish(lws *wsi, Connection &connection)
{
    const ExchangePtr exchange = std::move(connection.exchange);
    connection.exchange = nullptr;
    exchange->wsi = nullptr;
    --this->exchangeCount;
    const bool close = findHeader(exchange->answerHeaders, "connection") == "close";
    if (close || lws_http_transaction_completed(wsi))
        return -1;
    return 0;
}

void Server::onGone(Connection &connection)
{
    const ExchangePtr exchange = std::move(connection.exchange);
    connection.exchange = nullptr;
    if (!exchange)
        return;
    exchange->wsi = nullptr;
    --this->exchangeCount;
    if (exchange->closed)
        exchange->closed();
}

} // namespace lavenderhall::http
