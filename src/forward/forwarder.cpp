#include "forward/forwarder.h"

#include "base/log.h"

#include <utility>

namespace lavenderhall {

namespace {

constexpr int UnavailableStatus = 503; ///< HTTP status

} // namespace

Forwarder::Forwarder(ForwardContext &context)
    : context(context)
{
    this->context.onCutOff = [this](const std::string &service) { this->onCutOff(service); };
}

void Forwarder::onRequest(const http::ExchangePtr &exchange, RequestSource source)
{
    auto read = toOutcome([&] { return this->context.adapter.readRequest(exchange->request()); });
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Warning, "request_malformed", {{"detail", error->detail}});
        exchange->respond(this->context.adapter.writeRefusal({400, error->detail, {}}, ""));
        return;
    }
    const MonoTime now = monoNow();
    if (this->refusesNew(source, now))
        return this->refuseStopping(exchange, std::get<ForwardRequest>(read).id, source, now);
    exchange->discardBody();
    const auto call = std::make_shared<ForwardCall>(
        this->context, exchange, std::get<ForwardRequest>(std::move(read)), source,
        [this](const ForwardCall &ended) {
            this->calls.erase(const_cast<ForwardCall &>(ended).shared_from_this());
        });
    this->calls.insert(call);
    call->start();
}

// The instance that relays a request can choose another one at once, and has heard of the stop.
bool Forwarder::refusesNew(RequestSource source, MonoTime now) const
{
    const Drain &drain = this->context.drain;
    return drain.refusesNew(now)
        || (source == RequestSource::OtherInstance && drain.beganAt().has_value());
}

void Forwarder::refuseStopping(const http::ExchangePtr &exchange, const std::string &id,
                               RequestSource source, MonoTime now)
{
    const int status = source == RequestSource::Caller ? UnavailableStatus : UnableStatus;
    const auto arrived
        = std::chrono::duration_cast<Millis>(now - this->context.drain.beganAt().value_or(now));
    logEvent(LogLevel::Info, LineClass::Refusal, "request_done",
             {{"request", id},
              {"status", status},
              {"outcome", "stopping"},
              {"ended_by_stop", toString(StopOutcome::Refused)},
              {"arrived_in_drain_ms", arrived.count()}});
    this->context.metrics.countRefusal("stopping");
    this->context.metrics.countStopped(StopOutcome::Refused);
    exchange->respond(
        this->context.adapter.writeRefusal({status, "stopping", StoppingRetryAfter}, id));
}

void Forwarder::onWeightsNamed()
{
    for (const std::shared_ptr<ForwardCall> &call : this->calls)
        call->onWeightsNamed();
}

// Requests that end leave the set, so the following go through a copy.

void Forwarder::onNewBlocks()
{
    const std::set<std::shared_ptr<ForwardCall>> open = this->calls;
    for (const std::shared_ptr<ForwardCall> &call : open)
        call->onNewBlocks();
}

void Forwarder::stopAll()
{
    const std::set<std::shared_ptr<ForwardCall>> open = this->calls;
    for (const std::shared_ptr<ForwardCall> &call : open)
        call->stop();
}

void Forwarder::onCutOff(const std::string &service)
{
    const std::set<std::shared_ptr<ForwardCall>> open = this->calls;
    for (const std::shared_ptr<ForwardCall> &call : open)
        call->onCutOff(service);
}

} // namespace lavenderhall
