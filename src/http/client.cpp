#include "http/client.h"

#include <algorithm>
#include <array>
#include <libwebsockets.h>
#include <stdexcept>

namespace lavenderhall::http {

namespace {

constexpr std::size_t MaxWriteBytes = 16384;
constexpr std::size_t ReadBufferBytes = 16384;
constexpr std::uint16_t KeepWarmSeconds = 20;
constexpr Millis SettleTime{1}; ///< from an answer's end until its connection is kept
constexpr Millis CloseTime{1000}; ///< from a failure until its connection is surely gone

struct KnownHeader
{
    lws_token_indexes token;
    const char *name;
};

constexpr std::array<KnownHeader, 4> KnownHeaders{{
    {WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type"},
    {WSI_TOKEN_HTTP_ETAG, "etag"},
    {WSI_TOKEN_HTTP_RETRY_AFTER, "retry-after"},
    {WSI_TOKEN_HTTP_LOCATION, "location"},
}};

Call *callOf(lws *wsi)
{
    return static_cast<Call *>(lws_get_opaque_user_data(wsi));
}

int onClientEvent(lws *wsi, lws_callback_reasons reason, void *, void *in, size_t length)
{
    lws_vhost *vhost = lws_get_vhost(wsi);
    auto *client = vhost ? static_cast<Client *>(lws_get_vhost_user(vhost)) : nullptr;
    const auto *loop = static_cast<Loop *>(lws_context_user(lws_get_context(wsi)));
    if (!client || !loop->hasOwner(client))
        return 0;
    return client->onEvent(wsi, reason, in, length);
}

// The library keeps pointers into this table for as long as the context lives.
const std::array<lws_protocols, 2> Protocols{{
    {"http", onClientEvent, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

} // namespace

void Call::cancel()
{
    if (this->finished)
        return;
    this->handlers = {};
    lws *const socket = this->wsi;
    const std::shared_ptr<Call> held = this->self;
    this->client->finish(*this, CloseTime);
    if (!socket)
        return;
    lws_set_opaque_user_data(socket, nullptr);
    lws_set_timeout(socket, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void Call::setReading(bool on)
{
    if (this->wsi && !this->finished)
        lws_rx_flow_control(this->wsi, on ? 1 : 0);
}

Client::Client(Loop &loop, std::string name, std::vector<std::string> headers)
    : loop(loop)
    , name(std::move(name))
    , headers(std::move(headers))
{
    loop.addOwner(this);
}

Client::~Client()
{
    *this->alive = false;
    while (!this->starting.empty())
        this->starting.back()->cancel();
    this->loop.removeOwner(this);
    for (Lane &lane : this->lanes)
        lws_vhost_destroy(lane.vhost);
}

CallPtr Client::start(CallRequest request, CallHandlers handlers)
{
    auto call = std::make_shared<Call>();
    call->self = call;
    call->client = this;
    call->request = std::move(request);
    call->handlers = std::move(handlers);
    call->lane = this->takeLane(call->request.to);
    ++this->inFlight;
    this->starting.push_back(call);
    call->timer = this->loop.after(call->request.connectTimeout, [this, raw = call.get()] {
        raw->progress.timedOut = true;
        this->failCall(*raw, "connect timed out");
    });
    this->connect(call);
    return call;
}

std::size_t Client::takeLane(const Address &to)
{
    this->carryOutReleases();
    Occupancy &occupied = this->busy[to];
    const auto free = std::find(occupied.begin(), occupied.end(), false);
    const auto index = static_cast<std::size_t>(free - occupied.begin());
    if (free == occupied.end())
        occupied.push_back(true);
    else
        *free = true;
    while (this->lanes.size() <= index) {
        Lane lane;
        lane.name = this->name + "-" + std::to_string(this->lanes.size());
        lws_context_creation_info info{};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = Protocols.data();
        info.vhost_name = lane.name.c_str();
        info.user = this;
        lane.vhost = lws_create_vhost(this->loop.context(), &info);
        if (!lane.vhost)
            throw std::runtime_error("http client: no vhost for " + lane.name);
        this->lanes.push_back(std::move(lane));
    }
    return index;
}

// The library may still see the old connection for a moment; a call on the same lane would be
// queued behind it, and fail with it if it is being closed.
void Client::releaseLane(const Call &call, Millis delay)
{
    this->releases.push_back({monoNow() + delay, call.request.to, call.lane});
}

void Client::carryOutReleases()
{
    const MonoTime now = monoNow();
    std::erase_if(this->releases, [&](const Release &release) {
        if (release.due > now)
            return false;
        this->busy[release.to][release.lane] = false;
        return true;
    });
}

void Client::connect(const CallPtr &call)
{
    lws_client_connect_info info{};
    info.context = this->loop.context();
    info.vhost = this->lanes[call->lane].vhost;
    info.address = call->request.to.host.c_str();
    info.port = call->request.to.port;
    info.path = call->request.path.c_str();
    // The library finds a kept connection by comparing this name with the address.
    info.host = call->request.to.host.c_str();
    info.method = toString(call->request.method);
    info.protocol = "http";
    info.opaque_user_data = call.get();
    info.pwsi = &call->wsi;
    info.keep_warm_secs = KeepWarmSeconds;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (call->request.reuse == Reuse::Allowed)
        info.ssl_connection |= LCCSCF_PIPELINE;
    if (lws_client_connect_via_info(&info))
        return;
    if (call->finished)
        return;
    call->wsi = nullptr;
    this->loop.post([this, call, alive = this->alive] {
        if (*alive && !call->finished)
            this->failCall(*call, "cannot start the connection");
    });
}

int Client::onEvent(lws *wsi, int reason, void *in, std::size_t length)
{
    Call *call = callOf(wsi);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        if (!call)
            return -1;
        return this->appendHeaders(wsi, *call, static_cast<unsigned char **>(in),
                                   *static_cast<unsigned char **>(in) + length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call ? this->writeBody(wsi, *call) : 0;
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        if (!call)
            return -1;
        this->onHead(wsi, *call);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return call ? this->readBody(wsi) : -1;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (call && call->handlers.onData)
            call->handlers.onData({static_cast<const char *>(in), length});
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP: {
        if (!call)
            return 0;
        const std::function<void()> onEnd = std::move(call->handlers.onEnd);
        lws_set_opaque_user_data(wsi, nullptr);
        this->finish(*call, SettleTime);
        if (onEnd)
            onEnd();
        return 0;
    }
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        if (call)
            this->failCall(*call,
                           in ? std::string(static_cast<const char *>(in), length)
                              : "connection error");
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        if (call)
            this->failCall(*call, "connection closed");
        return 0;
    default:
        return 0;
    }
}

int Client::appendHeaders(lws *wsi, Call &call, unsigned char **cursor, unsigned char *limit)
{
    call.progress.maybeSent = true;
    call.timer = this->loop.after(call.request.headTimeout, [this, raw = &call] {
        raw->progress.timedOut = true;
        this->failCall(*raw, "no answer in time");
    });
    const auto add = [&](const std::string &key, const std::string &value) {
        const std::string label = key + ":";
        return lws_add_http_header_by_name(wsi,
                                           reinterpret_cast<const unsigned char *>(label.c_str()),
                                           reinterpret_cast<const unsigned char *>(value.data()),
                                           static_cast<int>(value.size()), cursor, limit);
    };
    for (const Header &header : call.request.headers) {
        if (add(header.name, header.value))
            return -1;
    }
    if (call.request.body.empty()) {
        const bool wantsLength
            = call.request.method != Method::Get && call.request.method != Method::Head;
        return wantsLength && add("content-length", "0") ? -1 : 0;
    }
    if (add("content-length", std::to_string(call.request.body.size())))
        return -1;
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
}

int Client::writeBody(lws *wsi, Call &call)
{
    const std::string &body = call.request.body;
    if (call.bodyOffset >= body.size())
        return 0;
    const std::size_t size = std::min(body.size() - call.bodyOffset, MaxWriteBytes);
    std::array<unsigned char, LWS_PRE + MaxWriteBytes> buffer;
    const auto *from = body.data() + call.bodyOffset;
    std::copy(from, from + size, buffer.data() + LWS_PRE);
    call.bodyOffset += size;
    const bool last = call.bodyOffset == body.size();
    if (lws_write(wsi, buffer.data() + LWS_PRE, size, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
        < 0)
        return -1;
    if (last)
        lws_client_http_body_pending(wsi, 0);
    else
        lws_callback_on_writable(wsi);
    return 0;
}

void Client::onHead(lws *wsi, Call &call)
{
    call.wsi = wsi;
    call.progress.headSeen = true;
    call.timer.cancel();
    Headers found;
    const auto copy = [&](const char *label, int length, auto &&read) {
        if (length <= 0)
            return;
        std::string value(static_cast<std::size_t>(length) + 1, '\0');
        const int copied = read(value.data(), length + 1);
        value.resize(copied < 0 ? 0 : static_cast<std::size_t>(copied));
        found.push_back({label, std::move(value)});
    };
    for (const KnownHeader &known : KnownHeaders) {
        copy(known.name, lws_hdr_total_length(wsi, known.token),
             [&](char *to, int size) { return lws_hdr_copy(wsi, to, size, known.token); });
    }
    for (const std::string &header : this->headers) {
        const std::string key = header + ":";
        const int keyLength = static_cast<int>(key.size());
        copy(header.c_str(), lws_hdr_custom_length(wsi, key.c_str(), keyLength),
             [&](char *to, int size) {
                 return lws_hdr_custom_copy(wsi, to, size, key.c_str(), keyLength);
             });
    }
    const auto status = static_cast<int>(lws_http_client_http_response(wsi));
    if (call.handlers.onHead)
        call.handlers.onHead(status, found);
}

int Client::readBody(lws *wsi)
{
    std::array<char, LWS_PRE + ReadBufferBytes> buffer;
    char *data = buffer.data() + LWS_PRE;
    int size = ReadBufferBytes;
    return lws_http_client_read(wsi, &data, &size) < 0 ? -1 : 0;
}

void Client::finish(Call &call, Millis laneDelay)
{
    call.finished = true;
    call.timer.cancel();
    call.wsi = nullptr;
    this->releaseLane(call, laneDelay);
    --this->inFlight;
    std::erase_if(this->starting, [&call](const CallPtr &other) { return other.get() == &call; });
    const CallPtr held = std::move(call.self);
    call.self = nullptr;
    // The owner may hold the last reference inside one of its own handlers.
    this->loop.post([held] {});
}

void Client::failCall(Call &call, std::string reason)
{
    if (call.finished)
        return;
    lws *const wsi = call.wsi;
    const CallHandlers handlers = std::move(call.handlers);
    CallFailure failure = call.progress;
    failure.reason = std::move(reason);
    if (wsi) {
        lws_set_opaque_user_data(wsi, nullptr);
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    this->finish(call, CloseTime);
    if (handlers.onFailed)
        handlers.onFailed(failure);
}

SyncResult callAndWait(CallRequest request, std::vector<std::string> headers)
{
    SyncResult result;
    Loop loop(64);
    Client client(loop, "sync", std::move(headers));
    CallHandlers handlers;
    handlers.onHead = [&result](int status, const Headers &found) {
        result.response.status = status;
        result.response.headers = found;
    };
    handlers.onData = [&result](std::string_view data) { result.response.body.append(data); };
    handlers.onEnd = [&result, &loop] {
        result.ok = true;
        loop.stop();
    };
    handlers.onFailed = [&result, &loop](const CallFailure &failure) {
        result.failure = failure;
        loop.stop();
    };
    const CallPtr call = client.start(std::move(request), std::move(handlers));
    loop.run();
    return result;
}

} // namespace lavenderhall::http
