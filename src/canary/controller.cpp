#include "canary/controller.h"

#include "base/log.h"
#include "canary/news.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderhall {

namespace {

constexpr const char *LeaseName = "service-rollouts";
constexpr Millis NewsInterval{300};
constexpr Millis LastNewsTime{3000}; ///< after the end, until all instances know it
constexpr Millis WriteRetryInterval{300};
// A holder that has not repeated its decision for so many intervals may be gone.
constexpr int MissedNewsUntilTakeover = 4;
constexpr double PerMille = 1000;
/// Other versions that this instance sees within this time after a completed rollout are ruled out
/// too: their endpoints may have been there before.
constexpr Millis LateDirectoryTime{5000};

} // namespace

ServiceRolloutController::ServiceRolloutController(const PlatformAdapter &adapter,
                                                   ObjectClient &store, EndpointSelector &selector,
                                                   Lease lease, ServiceRolloutSettings settings,
                                                   Broadcast broadcast)
    : adapter(adapter)
    , store(store)
    , selector(selector)
    , lease(std::move(lease))
    , settings(std::move(settings))
    , broadcast(std::move(broadcast))
{ }

RolloutHooks ServiceRolloutController::hooks()
{
    RolloutHooks hooks;
    hooks.rule = [this](const std::string &service, double draw) {
        return this->ruleFor(service, draw, monoNow());
    };
    hooks.onSent = [this](const std::string &name, const std::string &build, bool isFirst) {
        const auto service = this->services.find(name);
        if (service != this->services.end() && service->second.rollout)
            service->second.rollout->onSent(build, isFirst);
    };
    hooks.onAnswered = [this](const AttemptAnswer &answer) {
        const auto service = this->services.find(answer.service);
        if (service != this->services.end() && service->second.rollout)
            service->second.rollout->onAnswered(answer.build, answer.route, answer.isFailure,
                                                answer.time);
    };
    return hooks;
}

VersionRule ServiceRolloutController::ruleFor(const std::string &name, double draw,
                                              MonoTime now) const
{
    const auto found = this->services.find(name);
    if (found == this->services.end())
        return {};
    const Service &service = found->second;
    const bool areOrdersKnown = this->lastTick.areOrdersKnown;
    if (!service.rollout || service.rollout->isEnded())
        return service.versions.rule({}, areOrdersKnown, now);
    const ServiceRollout &rollout = *service.rollout;
    const double slack = static_cast<double>(this->settings.exposureSlack)
        / static_cast<double>(std::max<std::size_t>(1, this->lastTick.instanceCount));
    const CandidateVersion candidate{rollout.order().to, rollout.mayExpose(draw, slack, now),
                                     rollout.isShifted(now), rollout.isBad()};
    return service.versions.rule(candidate, areOrdersKnown, now);
}

void ServiceRolloutController::onOrder(const StoredObject &object, const ServiceOrder &order,
                                       MonoTime now)
{
    Service &service = this->services[order.service];
    if (object.revision < service.object.revision)
        return;
    const std::int64_t lastRevision = std::exchange(service.object, object).revision;
    if (service.rollout && service.rollout->order().to == order.to) {
        service.rollout->onStatus(order.state);
        return this->applyEnd(service, now);
    }
    // Within an era, the operators have ordered anew; in another one, an older order may be back.
    if (eraOf(lastRevision) == eraOf(object.revision))
        service.ended.erase(order.to);
    this->beginRollout(service, order, now);
}

void ServiceRolloutController::beginRollout(Service &service, const ServiceOrder &order,
                                            MonoTime now)
{
    if (service.rollout && !service.rollout->isEnded())
        service.versions.exclude(service.rollout->order().to);
    logEvent(LogLevel::Info, "service_rollout_order",
             {{"service", order.service},
              {"to", order.to},
              {"replaces", service.rollout ? service.rollout->order().to : std::string()},
              {"duration_ms", order.duration.count()},
              {"state", toString(order.state)},
              {"revision", counterOf(service.object.revision)},
              {"era", eraOf(service.object.revision)}});
    ServiceOrder resumed = order;
    const auto known = service.ended.find(order.to);
    if (known != service.ended.end())
        resumed.state = known->second;
    service.versions.allow(order.to);
    service.rollout.emplace(this->settings.self, resumed, this->settings.exposureShare, now);
    service.rollout->onStatus(order.state);
    service.endedAt.reset();
    service.logged = {};
    service.isVerdictLogged = false;
    this->applyEnd(service, now);
}

void ServiceRolloutController::applyEnd(Service &service, MonoTime now)
{
    const ServiceRollout &rollout = *service.rollout;
    if (!rollout.isEnded() || service.endedAt)
        return;
    service.endedAt = now;
    service.ended[rollout.order().to] = rollout.endState();
    if (rollout.endState() == RolloutState::Completed)
        service.versions.excludeOthers(rollout.order().to);
    else
        service.versions.exclude(rollout.order().to);
    const ExposureSum sum = rollout.exposureSum();
    logEvent(LogLevel::Info, "service_rollout_end",
             {{"service", rollout.order().service},
              {"to", rollout.order().to},
              {"state", toString(rollout.endState())},
              {"age_ms", rollout.age(now).count()},
              {"requests", sum.requests},
              {"exposed", sum.exposed}});
}

void ServiceRolloutController::onDirectory(const EndpointDirectory &directory, MonoTime now)
{
    std::map<std::string, PresentVersions> present;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.isLeaving)
            continue;
        const auto [version, isNew]
            = present[entry.service].try_emplace(entry.build, entry.startMillis);
        version->second = std::min(version->second, entry.startMillis);
    }
    for (const auto &[name, versions] : present)
        this->services.try_emplace(name);
    for (auto &[name, service] : this->services) {
        service.present = present[name];
        service.versions.onPresent(service.present, now);
        const bool isLate = service.endedAt && now - *service.endedAt < LateDirectoryTime;
        if (isLate && service.rollout->endState() == RolloutState::Completed)
            service.versions.excludeOthers(service.rollout->order().to);
    }
}

void ServiceRolloutController::onNews(const proto::ProcessId &from, const proto::RolloutNews &news,
                                      MonoTime now)
{
    const auto found = this->services.find(news.service());
    if (found == this->services.end() || !found->second.rollout
        || found->second.rollout->order().to != news.to())
        return;
    found->second.rollout->onReport(readNews(from, news, now), now);
}

// While a holder's decisions arrive, no other instance requests the lease.
bool ServiceRolloutController::isLeaseWanted(MonoTime now) const
{
    for (const auto &[name, service] : this->services) {
        if (!service.rollout || (service.rollout->isEnded() && !service.rollout->wantedStatus()))
            continue;
        const MonoTime heardAt = service.rollout->decision().confirmedAt;
        const Millis age = service.rollout->age(now);
        const Millis silence = heardAt == MonoTime{}
            ? age
            : std::min(age, std::chrono::duration_cast<Millis>(now - heardAt));
        const Millis takeoverDelay
            = std::max(this->lastTick.takeoverDelay,
                       heardAt == MonoTime{} ? Millis(0) : MissedNewsUntilTakeover * NewsInterval);
        if (this->lease.isHeld(now) || silence >= takeoverDelay)
            return true;
    }
    return false;
}

void ServiceRolloutController::callLease(const LeaseAction &action)
{
    const auto onReply = [this, isAlive = this->alive, action](const ObjectReply &reply) {
        if (*isAlive)
            this->lease.onReply(action, reply, monoNow());
    };
    const StoredObject object{LeaseName, action.revision, toJson(action.record)};
    switch (action.kind) {
    case LeaseAction::Kind::Read:
        return this->store.read(this->adapter.kinds.leases, LeaseName, onReply);
    case LeaseAction::Kind::Create:
        return this->store.create(this->adapter.kinds.leases, object, onReply);
    case LeaseAction::Kind::Replace:
        return this->store.replace(this->adapter.kinds.leases, object, onReply);
    }
}

// The first instance to take over reads the lease once at its start: a record that was seen long
// ago and has not changed is free at once.
void ServiceRolloutController::onTick(const EndpointDirectory &directory,
                                      const ServiceRolloutTick &tick, MonoTime now)
{
    this->lastTick = tick;
    const bool isFirstRead = !this->isLeaseRead && tick.takeoverDelay == Millis(0);
    this->lease.setWanted(!this->isStopped && (isFirstRead || this->isLeaseWanted(now)));
    if (const auto action = this->lease.onTick(now)) {
        this->isLeaseRead = true;
        this->callLease(*action);
    }
    const bool isHeld = this->lease.isHeld(now) && !this->isStopped;
    if (isHeld != this->wasHeld)
        logEvent(LogLevel::Info, isHeld ? "lease_gained" : "lease_ended",
                 {{"lease", LeaseName}, {"fence", this->lease.fence()}});
    this->wasHeld = isHeld;
    const bool isNewsDue = now >= this->nextNews;
    if (isNewsDue)
        this->nextNews = now + NewsInterval;
    for (auto &[name, service] : this->services) {
        if (!service.rollout)
            continue;
        this->tickService(service, directory, isHeld, now);
        const bool isOver = service.endedAt && now - *service.endedAt > LastNewsTime;
        if (isNewsDue && !isOver)
            this->broadcastNews(service, now);
    }
}

void ServiceRolloutController::tickService(Service &service, const EndpointDirectory &directory,
                                           bool isHeld, MonoTime now)
{
    const std::string &to = service.rollout->order().to;
    RolloutInput input{isHeld, this->lease.fence(), 0, service.present.contains(to)};
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.service == service.rollout->order().service && entry.build != to)
            input.oldInFlight += static_cast<std::int64_t>(this->selector.inFlight(id));
    }
    service.rollout->onTick(input, now);
    this->logProgress(service, isHeld, now);
    if (isHeld && service.rollout->wantedStatus() && !service.isWriting && now >= service.nextWrite)
        this->writeStatus(service, now);
}

void ServiceRolloutController::broadcastNews(Service &service, MonoTime now)
{
    const ServiceOrder &order = service.rollout->order();
    this->broadcast(writeNews(order, service.rollout->nextReport(now), now));
}

// The condition makes sure that of all ends that holders try to write, the first one stays.
void ServiceRolloutController::writeStatus(Service &service, MonoTime now)
{
    const RolloutState state = *service.rollout->wantedStatus();
    const ServiceOrder &order = service.rollout->order();
    service.isWriting = true;
    service.nextWrite = now + WriteRetryInterval;
    StoredObject object{service.object.name, service.object.revision, {}};
    object.status = this->adapter.writeServiceStatus(order, state);
    this->store.replaceStatus(
        this->adapter.kinds.rollouts, object,
        [this, isAlive = this->alive, name = order.service, state](const ObjectReply &reply) {
            if (*isAlive)
                this->onStatusReply(name, state, reply);
        });
}

// The answer to a write that took effect unnoticed is a conflict with the object that it wrote.
void ServiceRolloutController::onStatusReply(const std::string &name, RolloutState state,
                                             const ObjectReply &reply)
{
    Service &service = this->services.at(name);
    service.isWriting = false;
    logEvent(LogLevel::Info, "service_rollout_status",
             {{"service", name},
              {"state", toString(state)},
              {"fence", this->lease.fence()},
              {"revision", counterOf(service.object.revision)},
              {"status", toString(reply.status)}});
    if (!reply.object)
        return;
    const auto read = toOutcome([&] { return this->adapter.readServiceOrder(*reply.object); });
    if (const auto *order = std::get_if<ServiceOrder>(&read))
        this->onOrder(*reply.object, *order, monoNow());
}

void ServiceRolloutController::logProgress(Service &service, bool isHeld, MonoTime now)
{
    const ServiceRollout &rollout = *service.rollout;
    const PhaseDecision &decision = rollout.decision();
    const Verdict &verdict = rollout.verdict();
    const bool isChange = decision.phase != service.logged.phase
        || decision.fence != service.logged.fence
        || (isHeld && decision.share != service.logged.share);
    if (isChange && !rollout.isEnded()) {
        const ExposureSum sum = rollout.exposureSum();
        service.logged = decision;
        logEvent(LogLevel::Info, "service_rollout_phase",
                 {{"service", rollout.order().service},
                  {"to", rollout.order().to},
                  {"phase", toString(decision.phase)},
                  {"share_permille", std::llround(decision.share * PerMille)},
                  {"fence", decision.fence},
                  {"holder", isHeld ? 1 : 0},
                  {"age_ms", rollout.age(now).count()},
                  {"reason", rollout.reason()},
                  {"requests", sum.requests},
                  {"exposed", sum.exposed},
                  {"answers_new", verdict.candidateAnswers},
                  {"answers_old", verdict.baselineAnswers}});
    }
    if (!rollout.isBad() || std::exchange(service.isVerdictLogged, true))
        return;
    logEvent(LogLevel::Warning, "service_rollout_verdict",
             {{"service", rollout.order().service},
              {"to", rollout.order().to},
              {"judgement", toString(verdict.judgement)},
              {"heard", verdict.judgement == Judgement::Bad ? 0 : 1},
              {"cause", verdict.cause},
              {"route", verdict.route},
              {"answers_new", verdict.candidateAnswers},
              {"answers_old", verdict.baselineAnswers},
              {"failures_new", verdict.failures.bad},
              {"failures_score", std::llround(verdict.failures.score)},
              {"slow_new", verdict.slowness.bad},
              {"slow_score", std::llround(verdict.slowness.score)},
              {"age_ms", rollout.age(now).count()}});
}

} // namespace lavenderhall
