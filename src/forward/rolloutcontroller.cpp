#include "forward/rolloutcontroller.h"

#include "base/log.h"

#include <set>

namespace lavenderhall {

namespace {

constexpr const char *LeaseName = "weights";
constexpr Millis AnnounceTime{1800}; ///< how long an engine is avoided once its order is announced

bool wasReached(ReportFailure failure)
{
    return failure != ReportFailure::NotReached && failure != ReportFailure::NoAnswer;
}

} // namespace

RolloutController::RolloutController(http::Loop &loop, const PlatformAdapter &adapter,
                                     ObjectClient &store, EndpointSelector &selector,
                                     const EndpointReach &reach, Lease lease,
                                     RolloutTimings timings)
    : adapter(adapter)
    , store(store)
    , selector(selector)
    , reach(reach)
    , client(loop)
    , lease(std::move(lease))
    , planner(timings)
{ }

CandidacyInput RolloutController::candidacyInput(const EndpointDirectory &directory,
                                                 MonoTime now) const
{
    const auto outdated = this->planner.outdated(directory);
    CandidacyInput input;
    input.outdated = outdated.size();
    input.isHolder = this->lease.isHeld(now);
    input.wasLastHolder = this->lease.wasLastHolder();
    std::set<std::string> services;
    for (const RegisteredEndpoint *engine : outdated)
        services.insert(engine->service);
    for (const std::string &service : services) {
        const std::size_t endpoints = this->selector.endpointCount(service);
        input.isCutOff = input.isCutOff || this->reach.isCutOff(service, endpoints, now)
            || this->orderReach.isCutOff(service, endpoints, now);
    }
    return input;
}

// Connections that were open before a cut may live on while new ones are refused, so callers'
// requests do not tell whether orders reach the engines.
void RolloutController::recordReach(const RegisteredEndpoint &engine, bool isReached)
{
    if (isReached)
        this->orderReach.onHeard(engine.service, engine.id, monoNow());
    else
        this->orderReach.onUnreachable(engine.service, engine.id, monoNow());
}

void RolloutController::onTick(const EndpointDirectory &directory, MonoTime now)
{
    const CandidacyInput input = this->candidacyInput(directory, now);
    this->lease.setWanted(this->candidacy.isWanted(input, now) && !this->isStopped);
    if (const auto action = this->lease.onTick(now))
        this->callStore(*action);
    const bool isHeld = this->lease.isHeld(now) && !this->isStopped;
    if (isHeld != this->wasHeld)
        logEvent(LogLevel::Info, isHeld ? "lease_gained" : "lease_ended",
                 {{"lease", LeaseName},
                  {"fence", this->lease.fence()},
                  {"outdated", input.outdated},
                  {"cut_off", input.isCutOff ? 1 : 0}});
    this->wasHeld = isHeld;
    for (const RolloutAction &action : this->planner.onTick(directory, isHeld, now))
        this->carryOut(action);
}

void RolloutController::callStore(const LeaseAction &action)
{
    const auto onReply = [this, alive = this->alive, action](const ObjectReply &reply) {
        if (*alive)
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

void RolloutController::carryOut(const RolloutAction &action)
{
    switch (action.kind) {
    case RolloutAction::Kind::Announce:
        this->selector.onWeightsChange(action.engine.id, monoNow() + AnnounceTime);
        if (this->broadcast.weights) {
            auto notice = engineMessage<proto::WeightsNotice>(action.engine);
            notice.set_avoid_ms(AnnounceTime.count());
            this->broadcast.weights(notice);
        }
        return;
    case RolloutAction::Kind::RequestReport:
        return this->requestReport(action.engine);
    case RolloutAction::Kind::SendOrder:
        return this->sendOrder(action.engine, action.order);
    }
}

void RolloutController::requestReport(const RegisteredEndpoint &engine)
{
    const auto onAnswer = [this, alive = this->alive, engine](const auto &answer) {
        if (!*alive)
            return;
        const auto *reportFailure = std::get_if<ReportFailure>(&answer);
        this->recordReach(engine, !reportFailure || wasReached(*reportFailure));
        if (reportFailure)
            return this->planner.onReportFailed(engine.id, *reportFailure, monoNow());
        this->onReport(engine, std::get<EngineReport>(answer));
    };
    lavenderhall::requestReport(this->client, this->adapter, engine, EngineCallTimeouts{},
                                onAnswer);
}

void RolloutController::onReport(const RegisteredEndpoint &engine, const EngineReport &report)
{
    this->planner.onReport(engine.id, report, monoNow());
    applyReportedWeights(this->selector, engine, report, this->broadcast);
}

// Checks the lease again right before the order is sent, since it may have expired meanwhile.
void RolloutController::sendOrder(const RegisteredEndpoint &engine, WeightsOrder order)
{
    if (!this->lease.isHeld(monoNow()))
        return this->planner.onReportFailed(engine.id, ReportFailure::NoAnswer, monoNow());
    order.holder = this->lease.holderName();
    order.fence = this->lease.fence();
    const auto onAnswer
        = [this, alive = this->alive, engine, order](OrderAnswer answer, bool isReached) {
              if (!*alive)
                  return;
              const MonoTime now = monoNow();
              this->recordReach(engine, isReached);
              logEvent(LogLevel::Info, "order",
                       {{"endpoint", engine.id},
                        {"model", order.model},
                        {"version", order.version},
                        {"fence", order.fence},
                        {"condition", order.expectedAcceptedOrders},
                        {"answer", toString(answer)}});
              if (answer == OrderAnswer::Fenced)
                  this->lease.onFenced(now);
              this->planner.onOrderAnswer(engine.id, answer, now);
          };
    lavenderhall::sendOrder(this->client, this->adapter, engine, order, EngineCallTimeouts{},
                            onAnswer);
}

} // namespace lavenderhall
