#include "forward/limitmonitor.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderhall {

namespace {

// A request waits this long for the answer to its request for a permit. Then it goes elsewhere.
constexpr Millis PermitTimeout{250};
// After that, this instance asks for no permits of the endpoint for a while.
constexpr Millis WaitAfterTimeout{500};
constexpr Millis MaxWait{5000};
constexpr Millis MaxAge = std::chrono::minutes(10);

std::int64_t ageMillis(MonoTime time, MonoTime now)
{
    return std::chrono::duration_cast<Millis>(now - time).count();
}

/// Returns the time of \a age milliseconds before \a now; ages that cannot be are limited.
MonoTime timeOf(std::int64_t age, MonoTime now)
{
    return now - Millis(std::clamp<std::int64_t>(age, 0, MaxAge.count()));
}

Incarnation endpointOf(const proto::EndpointLimit &told)
{
    return {told.endpoint(), told.born_ms()};
}

NamedLimit limitOf(const proto::EndpointLimit &told, MonoTime now)
{
    NamedLimit limit;
    const double requestsPerSecond = told.requests_per_s();
    limit.requestsPerSecond = std::isfinite(requestsPerSecond) ? requestsPerSecond : 0;
    limit.namedAt = timeOf(told.named_age_ms(), now);
    if (told.lifted_age_ms() > 0)
        limit.liftedAt = timeOf(told.lifted_age_ms(), now);
    return limit;
}

proto::EndpointLimit messageOf(const Incarnation &endpoint, const NamedLimit &limit, MonoTime now)
{
    proto::EndpointLimit message;
    message.set_endpoint(endpoint.endpointId);
    message.set_born_ms(endpoint.startMillis);
    message.set_requests_per_s(limit.requestsPerSecond);
    message.set_named_age_ms(ageMillis(limit.namedAt, now));
    if (limit.liftedAt > MonoTime{})
        message.set_lifted_age_ms(std::max<std::int64_t>(1, ageMillis(limit.liftedAt, now)));
    return message;
}

/// What a change of a limit is logged with.
struct LimitView
{
    bool isInForce = false;
    double requestsPerSecond = 0;

    bool operator==(const LimitView &) const = default;
};

LimitView viewOf(const NamedLimit *limit)
{
    if (!limit || !limit->isInForce())
        return {};
    return {true, limit->requestsPerSecond};
}

void logChange(const Incarnation &endpoint, const LimitView &former, const NamedLimit *limit,
               const char *source, MonoTime now)
{
    const LimitView view = viewOf(limit);
    if (view == former)
        return;
    logEvent(LogLevel::Info, view.isInForce ? "endpoint_limit" : "endpoint_limit_over",
             {{"endpoint", endpoint.endpointId},
              {"limit_per_s", limit->requestsPerSecond},
              {"named_age_ms", ageMillis(limit->namedAt, now)},
              {"source", source}});
}

} // namespace

void LimitMonitor::onNamed(const Incarnation &endpoint, const LimitStatement &limit, MonoTime now)
{
    if (limit.kind == LimitStatement::Kind::Malformed)
        return logEvent(LogLevel::Warning, "endpoint_limit_malformed",
                        {{"endpoint", endpoint.endpointId}, {"limit", limit.text}});
    const LimitView former = viewOf(this->limits.find(endpoint));
    this->limits.onNamed(endpoint, limit.requestsPerSecond, now);
    logChange(endpoint, former, this->limits.find(endpoint), "answer", now);
    this->tell(endpoint, now);
}

void LimitMonitor::onNoneNamed(const Incarnation &endpoint, MonoTime sentAt, MonoTime now)
{
    const LimitView former = viewOf(this->limits.find(endpoint));
    this->limits.onNoneNamed(endpoint, sentAt);
    logChange(endpoint, former, this->limits.find(endpoint), "answer", now);
    this->tell(endpoint, now);
}

void LimitMonitor::onNews(const proto::LimitNews &news, MonoTime now)
{
    for (const proto::EndpointLimit &told : news.limits())
        this->onTold(told, now);
}

void LimitMonitor::onTold(const proto::EndpointLimit &told, MonoTime now)
{
    const Incarnation endpoint = endpointOf(told);
    const LimitView former = viewOf(this->limits.find(endpoint));
    this->limits.onTold(endpoint, limitOf(told, now), now);
    logChange(endpoint, former, this->limits.find(endpoint), "instance", now);
    this->tell(endpoint, now);
}

void LimitMonitor::tell(const Incarnation &endpoint, MonoTime now)
{
    const auto limit = this->limits.takeNews(endpoint);
    if (!limit)
        return;
    proto::LimitNews news;
    *news.add_limits() = messageOf(endpoint, *limit, now);
    this->hooks.broadcast(news);
}

void LimitMonitor::requestPermit(const Incarnation &endpoint, PermitHandler handler, MonoTime now)
{
    const NamedLimit *limit = this->limits.find(endpoint);
    if (!limit || !limit->isInForce())
        return handler(true);
    proto::PermitRequest request;
    request.set_number(this->nextNumber++);
    *request.mutable_limit() = messageOf(endpoint, *limit, now);
    this->pending.emplace(request.number(), PendingPermit{endpoint, std::move(handler), now});
    this->hooks.ask(endpoint, request);
}

// The instance that asks may know of a limit before this one does, or not know yet that it is over.
void LimitMonitor::onPermitRequest(const proto::ProcessId &from,
                                   const proto::PermitRequest &request, MonoTime now)
{
    const Incarnation endpoint = endpointOf(request.limit());
    this->onTold(request.limit(), now);
    const NamedLimit &limit = *this->limits.find(endpoint);
    const PermitDecision decision = limit.isInForce()
        ? this->issuer.decide(endpoint, limit.requestsPerSecond, now)
        : PermitDecision{true, Millis(0)};
    proto::PermitAnswer answer;
    answer.set_number(request.number());
    answer.set_granted(decision.isGranted);
    answer.set_wait_ms(decision.wait.count());
    *answer.mutable_limit() = messageOf(endpoint, limit, now);
    this->hooks.answer(from, answer);
}

// Each process counts its requests from 1, so a late answer to an earlier process of this instance
// may bear the number of another request.
void LimitMonitor::onPermitAnswer(const proto::PermitAnswer &answer, MonoTime now)
{
    this->onTold(answer.limit(), now);
    const auto found = this->pending.find(answer.number());
    if (found == this->pending.end() || found->second.endpoint != endpointOf(answer.limit()))
        return;
    const Millis wait(std::clamp<std::int64_t>(answer.wait_ms(), 0, MaxWait.count()));
    this->settle(answer.number(), answer.granted(), wait, now);
}

void LimitMonitor::settle(std::uint64_t number, bool isGranted, Millis wait, MonoTime now)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end())
        return;
    const PendingPermit settled = std::move(found->second);
    this->pending.erase(found);
    if (!isGranted)
        this->limits.onUsedUp(settled.endpoint, now + wait);
    const NamedLimit *limit = this->limits.find(settled.endpoint);
    logEvent(LogLevel::Info, "permit",
             {{"endpoint", settled.endpoint.endpointId},
              {"granted", isGranted ? 1 : 0},
              {"wait_ms", wait.count()},
              {"answer_ms", ageMillis(settled.askedAt, now)},
              {"limit_per_s", limit ? limit->requestsPerSecond : 0}});
    settled.handler(isGranted);
}

void LimitMonitor::onTick(MonoTime now)
{
    std::vector<std::uint64_t> overdue;
    for (const auto &[number, permit] : this->pending) {
        if (now - permit.askedAt >= PermitTimeout)
            overdue.push_back(number);
    }
    for (const std::uint64_t number : overdue)
        this->settle(number, false, WaitAfterTimeout, now);
}

} // namespace lavenderhall
