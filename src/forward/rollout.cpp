#include "forward/rollout.h"

#include "base/log.h"

namespace lavenderhall {

namespace {

constexpr const char *LeaseName = "weights";
constexpr Millis AnnounceTime{1800}; ///< an engine is avoided for so long from its order on

} // namespace

Rollout::Rollout(http::Loop &loop, const PlatformAdapter &adapter, ObjectClient &store,
                 LoadBook &loads, Lease lease, RolloutTimings timings)
    : adapter(adapter)
    , store(store)
    , loads(loads)
    , client(loop)
    , lease(std::move(lease))
    , planner(timings)
{ }

void Rollout::onTick(const EndpointDirectory &directory, MonoTime now)
{
    const std::size_t outdated = this->planner.outdated(directory).size();
    // Progress of another instance starts the wait anew.
    if (outdated == 0 || outdated != this->outdatedCount)
        this->workSince = now;
    this->outdatedCount = outdated;
    const bool isDue = this->lease.wasLastHolder() || now - this->workSince >= this->patience;
    this->lease.setWanted(outdated > 0 && !this->isStopped && (isDue || this->lease.isHeld(now)));
    if (const auto action = this->lease.onTick(now))
        this->callStore(*action);
    const bool isHeld = this->lease.isHeld(now) && !this->isStopped;
    if (isHeld != this->wasHeld)
        logEvent(LogLevel::Info, isHeld ? "lease_gained" : "lease_ended",
                 {{"lease", LeaseName}, {"fence", this->lease.fence()}, {"outdated", outdated}});
    this->wasHeld = isHeld;
    for (const RolloutAction &action : this->planner.onTick(directory, isHeld, now))
        this->carryOut(action);
}

void Rollout::callStore(const LeaseAction &action)
{
    const auto onReply = [this, held = this->alive, action](const ObjectReply &reply) {
        if (*held)
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

void Rollout::carryOut(const RolloutAction &action)
{
    switch (action.kind) {
    case RolloutAction::Kind::Announce:
        this->loads.onWeightsChange(action.engine.id, monoNow() + AnnounceTime);
        if (this->telling.weights) {
            auto notice = messageAbout<proto::WeightsNotice>(action.engine);
            notice.set_avoid_ms(AnnounceTime.count());
            this->telling.weights(notice);
        }
        return;
    case RolloutAction::Kind::AskReport:
        return this->askReport(action.engine);
    case RolloutAction::Kind::GiveOrder:
        return this->giveOrder(action.engine, action.order);
    }
}

void Rollout::askReport(const RegisteredEndpoint &engine)
{
    const auto onAnswer = [this, held = this->alive, engine](const auto &answer) {
        if (!*held)
            return;
        if (const auto *why = std::get_if<ReportFailure>(&answer))
            return this->planner.onReportFailed(engine.id, *why, monoNow());
        this->onReport(engine, std::get<EngineReport>(answer));
    };
    lavenderhall::askReport(this->client, this->adapter, engine, EngineCallTimes{}, onAnswer);
}

void Rollout::onReport(const RegisteredEndpoint &engine, const EngineReport &report)
{
    this->planner.onReport(engine.id, report, monoNow());
    learnWeights(this->loads, engine, report, this->telling);
}

// The lease is looked at once more right before the order leaves.
void Rollout::giveOrder(const RegisteredEndpoint &engine, WeightsOrder order)
{
    if (!this->lease.isHeld(monoNow()))
        return this->planner.onReportFailed(engine.id, ReportFailure::NoAnswer, monoNow());
    order.holder = this->lease.holderName();
    order.fence = this->lease.fence();
    const auto onAnswer = [this, held = this->alive, engine, order](
                              const http::Response *response, const http::CallFailure &failure) {
        if (!*held)
            return;
        const MonoTime now = monoNow();
        const OrderAnswer failed = failure.maybeSent ? OrderAnswer::Unknown : OrderAnswer::Conflict;
        const OrderAnswer answer = response ? this->adapter.readOrderAnswer(*response) : failed;
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
    callEngine(this->client, this->adapter.writeOrder(engine, order), engine, EngineCallTimes{},
               onAnswer);
}

} // namespace lavenderhall
