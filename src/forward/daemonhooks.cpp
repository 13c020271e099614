#include "forward/forwarddaemon.h"

/// The part of ForwardDaemon that connects its components: the functions by which they reach the
/// fleet and one another.
namespace lavenderhall {

namespace {

// Two instances of each region tell the others which parts of prompts and requests are blocked, as
// one may have just started. One instance of the fleet sends the requests that find out whether a
// part or request still crashes endpoints; another one takes its turn, as it may get none.
constexpr const char *CrashBlocksTask = "tell which parts are blocked";
constexpr std::size_t CrashBlockTellers = 2;
const std::string CrashTrialTask = "try part ";
constexpr Millis CrashTrialTurn = std::chrono::seconds(10);
// One instance of the fleet issues the permits for requests to an endpoint that has named a limit.
const std::string PermitTask = "issue permits for ";

} // namespace

EngineBroadcast ForwardDaemon::engineBroadcast()
{
    EngineBroadcast broadcast;
    broadcast.load = [this](const proto::LoadNews &news) { this->fleet.broadcast(news); };
    broadcast.weights
        = [this](const proto::WeightsNotice &notice) { this->fleet.broadcast(notice); };
    return broadcast;
}

CrashMonitorHooks ForwardDaemon::crashMonitorHooks()
{
    CrashMonitorHooks hooks;
    hooks.broadcast = [this](const proto::CrashNews &news) { this->fleet.broadcast(news); };
    hooks.isTeller = [this] { return this->fleet.isAssigned(CrashBlocksTask, CrashBlockTellers); };
    hooks.isTrialInstance = [this](const std::string &subject) {
        const auto turn = wallMillis() / CrashTrialTurn.count();
        const std::string task = CrashTrialTask + subject + "/" + std::to_string(turn);
        return this->fleet.isAssigned(task, 1, TaskScope::Fleet);
    };
    hooks.onNewBlocks = [this] { this->forwarder.onNewBlocks(); };
    return hooks;
}

LimitMonitorHooks ForwardDaemon::limitMonitorHooks()
{
    LimitMonitorHooks hooks;
    hooks.broadcast = [this](const proto::LimitNews &news) { this->fleet.broadcast(news); };
    hooks.ask = [this](const Incarnation &endpoint, const proto::PermitRequest &request) {
        this->fleet.sendToAssigned(PermitTask + endpoint.endpointId, request);
    };
    hooks.answer = [this](const proto::ProcessId &to, const proto::PermitAnswer &answer) {
        this->fleet.send(to, answer);
    };
    return hooks;
}

LimitMessageHandlers ForwardDaemon::limitMessageHandlers()
{
    LimitMessageHandlers handlers;
    handlers.onNews
        = [this](const proto::LimitNews &news) { this->limitMonitor.onNews(news, monoNow()); };
    handlers.onPermitRequest
        = [this](const proto::ProcessId &from, const proto::PermitRequest &request) {
              this->limitMonitor.onPermitRequest(from, request, monoNow());
          };
    handlers.onPermitAnswer = [this](const proto::PermitAnswer &answer) {
        this->limitMonitor.onPermitAnswer(answer, monoNow());
    };
    return handlers;
}

HistoryExchangeHooks ForwardDaemon::historyExchangeHooks()
{
    HistoryExchangeHooks hooks;
    hooks.othersInRegion = [this] { return this->fleet.others(TaskScope::Region); };
    hooks.othersInFleet = [this] { return this->fleet.others(TaskScope::Fleet); };
    hooks.ask = [this](const proto::ProcessId &to, const proto::WeightsHistoryRequest &request) {
        this->fleet.send(to, request);
    };
    hooks.onChange = [this] { this->applyNamedWeights(); };
    return hooks;
}

WeightsHistoryHandlers ForwardDaemon::weightsHistoryHandlers()
{
    WeightsHistoryHandlers handlers;
    handlers.onRequest
        = [this](const proto::ProcessId &from, const proto::WeightsHistoryRequest &request) {
              this->fleet.send(from,
                               this->historyExchange.answer(
                                   request, this->settings.bounds.oldWeightsTimeout, monoNow()));
          };
    handlers.onAnswer = [this](const proto::ProcessId &from, const proto::WeightsHistory &answer) {
        this->historyExchange.onAnswer(from, answer, monoNow());
    };
    return handlers;
}

StreamOriginHooks ForwardDaemon::streamOriginHooks()
{
    StreamOriginHooks hooks;
    hooks.isReady = [this](const std::string &service) {
        return this->originLookup.isReady(service, monoNow());
    };
    hooks.onSent
        = [this](const std::string &stream, const std::string &service, const std::string &build) {
              this->originLookup.onSent(stream, service, build, monoNow());
          };
    hooks.onNotBegun = [this](const std::string &stream) { this->originLookup.onNotBegun(stream); };
    hooks.find = [this](const std::string &stream, const std::string &service,
                        const StreamOriginHooks::Handler &handler) {
        this->originLookup.find(stream, service, handler, monoNow());
    };
    return hooks;
}

ExchangeHooks ForwardDaemon::exchangeHooks()
{
    ExchangeHooks hooks;
    hooks.taskOf = [this](const std::string &endpointId) {
        return ExchangeHooks::Task{this->selector.regionOf(endpointId), loadTask(endpointId)};
    };
    hooks.isOwnTask = [this](const std::string &endpointId) {
        return this->selector.regionOf(endpointId) == this->settings.region
            && this->fleet.isAssigned(loadTask(endpointId), 1);
    };
    hooks.send = [this](const ExchangeHooks::Task &task, const proto::WorkNews &news) {
        this->fleet.sendToAssigned(task.name, task.region, news);
    };
    hooks.serviceOf = [this](const Incarnation &engine) {
        const RegisteredEndpoint *entry = this->selector.findEntry(engine.endpointId);
        return entry && entry->startMillis == engine.startMillis ? &entry->service : nullptr;
    };
    return hooks;
}

void ForwardDaemon::balanceLoad()
{
    this->selector.balanceLoad();
    this->backlogExchange.emplace(*this->selector.loadEstimate(), this->exchangeHooks());
    this->loadMonitor.setNewsSource([this](proto::LoadNews &news, MonoTime now) {
        this->backlogExchange->addBacklogs(news, now);
    });
}

StoreReplicaHandlers ForwardDaemon::storeReplicaHandlers()
{
    StoreReplicaHandlers handlers;
    handlers.onEvent
        = [this](ObjectKind kind, const ObjectEvent &event) { this->applyEvent(kind, event); };
    handlers.onListed = [this](ObjectKind kind, const std::vector<std::string> &names,
                               std::int64_t revision, bool wasUnreachable) {
        if (kind == ObjectKind::Endpoints)
            this->directory.onListed(names, revision, wasUnreachable, monoNow());
    };
    handlers.onStoreChange
        = [this](ObjectKind kind) { this->fleet.publishObjects(static_cast<std::size_t>(kind)); };
    handlers.onOwnList = [this](ObjectKind kind, const std::vector<StoredObject> &objects) {
        if (kind == ObjectKind::Weights)
            this->weightsNames.onOwnList(objects);
    };
    handlers.onOwnEvents = [this](ObjectKind kind, const std::vector<ObjectEvent> &events) {
        if (kind == ObjectKind::Weights && this->weightsNames.onOwnEvents(events, monoNow()))
            this->applyNamedWeights();
    };
    handlers.onUnreadable = [this](const std::string &kind, std::size_t count) {
        this->metrics.countUnreadableObjects(kind, count);
    };
    handlers.onBatchEnd = [this] { this->applyDirectoryChanges(); };
    return handlers;
}

} // namespace lavenderhall
