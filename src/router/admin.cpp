#include "router/admin.h"

namespace lavenderhall {

namespace {

constexpr std::size_t MaxBodyBytes = 4096;

http::Response plain(int status, std::string text)
{
    return {status, {{"content-type", "text/plain; charset=utf-8"}}, std::move(text)};
}

http::ServerLimits limitsOf(std::size_t maxConnections)
{
    http::ServerLimits limits = http::limitsWithMaxBody(MaxBodyBytes);
    limits.maxConnections = maxConnections;
    return limits;
}

} // namespace

Admin::Admin(http::Loop &loop, const Address &listen, TimelineRing &timeline, Metrics &metrics,
             AdminHooks hooks, std::size_t maxConnections)
    : timeline(timeline)
    , metrics(metrics)
    , hooks(std::move(hooks))
    , server(loop, listen, limitsOf(maxConnections),
             [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
{ }

void Admin::serve(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    if (request.path == "/healthz")
        return exchange->respond(plain(200, "alive\n"));
    if (request.path == "/readyz") {
        const bool isReady = this->hooks.isReady();
        return exchange->respond(plain(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"));
    }
    if (request.path == "/metrics") {
        this->hooks.updateGauges();
        return exchange->respond(plain(200, this->metrics.toText()));
    }
    if (request.path == "/status")
        return exchange->respond(
            {200, {{"content-type", "application/json"}}, writeJson(this->hooks.status())});
    if (request.path == "/timeline") {
        const TimelineFilter filter{http::queryValue(request.query, "request"),
                                    http::queryValue(request.query, "organisation"),
                                    http::queryValue(request.query, "kind")};
        return exchange->respond(
            {200, {{"content-type", "application/x-ndjson"}}, this->timeline.toJsonLines(filter)});
    }
    if (request.path == "/drain" && request.method == http::Method::Post) {
        this->hooks.drain();
        return exchange->respond(plain(202, "draining\n"));
    }
    exchange->respond(plain(404, "unknown path\n"));
}

} // namespace lavenderhall
