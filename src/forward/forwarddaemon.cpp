#include "forward/forwarddaemon.h"

#include "base/digest.h"
#include "base/listenerror.h"
#include "membership/membership.h"
#include "router/listenerstart.h"
#include "router/requestmemory.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace lavenderhall {

namespace {

constexpr std::size_t TimelineCapacity = 5'000;
constexpr Millis TickInterval{100};
constexpr Millis SettingsInterval{1000}; ///< between checks of the settings file
constexpr Millis MetricsRetryInterval{1000}; ///< between attempts to open the socket for metrics
// Each instance adds a random delay up to this, so that not all take over the rollout at once.
constexpr unsigned MaxTakeoverJitterMillis = 600;
// One instance of the fleet keeps the builds of the services in the store.
constexpr const char *BuildsTask = "keep the builds of services";
// Two instances of the fleet try to acquire the lease of the rollout, each of which reads it
// several times a second. Two others in each region do so only if there is no progress for a while,
// and all others only after a longer while.
constexpr const char *RolloutTask = "give engines their weights";
constexpr std::size_t RolloutCandidates = 2;
constexpr Millis RegionTakeoverDelay{2000};
constexpr Millis StandbyTakeoverDelay{4000};
constexpr int ServiceUnavailable = 503; ///< HTTP status
constexpr Millis NoMemoryRetryAfter{200}; ///< the next try usually reaches another instance
constexpr Millis MemoryLineInterval{1000}; ///< between two log lines on refusals
// When the holder of a seat fails, its organisations have no decision for about one lease.
constexpr Millis SeatLease{1500};
constexpr Millis SeatRenewInterval{300};
constexpr Millis SeatAbandonTimeout{30'000};
// Parts of the rollout's lease.
constexpr int RenewalsPerLease = 3;
constexpr int LeaseMarginDivisor = 10;

SeatTimings seatTimingsOf(const Settings &settings)
{
    SeatTimings timings;
    timings.lease = SeatLease;
    timings.renewInterval = SeatRenewInterval;
    timings.abandonTimeout = SeatAbandonTimeout;
    timings.restartGrantInterval = settings.bounds.rateWindow;
    return timings;
}

LeaseTimings leaseTimingsOf(const Settings &settings)
{
    LeaseTimings timings;
    timings.lease = settings.bounds.lease;
    timings.renewInterval = settings.bounds.lease / RenewalsPerLease;
    timings.margin = settings.bounds.lease / LeaseMarginDivisor;
    return timings;
}

RolloutTimings rolloutTimingsOf(const Settings &settings)
{
    RolloutTimings timings;
    timings.bound = settings.bounds.oldWeightsTimeout;
    return timings;
}

} // namespace

ForwardDaemon::ForwardDaemon(http::Loop &loop, Settings initialSettings, std::string settingsFile,
                             const PlatformAdapter &adapter)
    : loop(loop)
    , settings(std::move(initialSettings))
    , descriptors(prepareDescriptors(this->settings.maxDescriptors))
    , settingsFile(std::move(settingsFile))
    , adapter(adapter)
    , timeline(this->settings.instance, TimelineCapacity)
    , store(loop, this->settings.store, adapter.objects)
    , selector({this->settings.zone, this->settings.regionOfZone, this->settings.instance}, {})
    , crashMonitor(this->crashMonitorHooks(), monoNow())
    , limitMonitor(this->selector.limits(), this->limitMonitorHooks())
    , originLookup(this->store, adapter.kinds.streams, this->settings.instance)
    , context{
          loop,
          adapter,
          this->metrics,
          this->selector,
          this->budget,
          this->crashMonitor,
          this->limitMonitor,
          http::Client(loop),
          {},
          this->streamOriginHooks(),
          nullptr,
          {},
          Millis(0),
          pcg32(randomSeed()),
          [this](const std::string &endpoint) { this->loadMonitor.onEndpointReplaced(endpoint); },
          [this](const std::string &endpoint) { this->loadMonitor.onEndpointLeaving(endpoint); },
          [this] { return this->relayInstances(); }}
    , weightsNames(adapter, this->context.namedWeights)
    , historyExchange(this->context.namedWeights, this->historyExchangeHooks(), randomSeed())
    , forwarder(this->context)
    , rollout(loop, adapter, this->store, this->selector, this->context.reach,
              Lease(this->settings.instance, newIncarnation(wallMillis(), randomSeed()),
                    leaseTimingsOf(this->settings)),
              rolloutTimingsOf(this->settings))
    , storeReplica(loop, this->store, adapter.kinds, this->settings.rollouts.has_value(),
                   this->storeReplicaHandlers(), randomSeed())
    , fleet(loop, this->settings,
            objectSeatStore(loop, this->store, adapter.kinds.limits,
                            [this] { return this->storeReplica.storeOutageDuration(); }),
            std::nullopt, this->timeline, this->metrics, seatTimingsOf(this->settings))
    , rateLimiter(this->fleet)
    , loadMonitor(
          loop, adapter, this->selector, this->context.reach,
          [this](const std::string &task) { return this->fleet.isAssigned(task, 1); },
          this->engineBroadcast(),
          [this](const Incarnation &engine) {
              this->crashMonitor.onEndpointAlive(engine, monoNow());
          })
    , processWatch(loop, this->metrics,
                   [this] {
                       return ServedLoad{this->forwarder.openCalls(),
                                         this->callers ? this->callers->connectionCount() : 0};
                   })
    , gracefulStop(loop, this->context.drain, this->stopHooks())
{
    this->context.client.setMaxConnections(this->descriptors.endpoints);
    this->fleet.setMaxPeerConnections(this->descriptors.peers);
    EngineUpdateHandlers engineUpdates;
    engineUpdates.onWeightsNotice = [this](const proto::WeightsNotice &notice) {
        this->loadMonitor.onWeightsNotice(notice, monoNow());
    };
    engineUpdates.onLoadNews = [this](const proto::LoadNews &news) { this->applyLoadNews(news); };
    engineUpdates.onCrashNews
        = [this](const proto::CrashNews &news) { this->crashMonitor.onNews(news, monoNow()); };
    engineUpdates.onWorkNews = [this](const proto::ProcessId &from, const proto::WorkNews &news) {
        if (this->backlogExchange)
            this->backlogExchange->onWorkNews(from, news, monoNow());
    };
    this->fleet.replicateObjects(this->storeReplica.replicatedObjects(), std::move(engineUpdates));
    this->fleet.handleLimits(this->limitMessageHandlers());
    this->fleet.handleWeightsHistories(this->weightsHistoryHandlers());
    this->context.admission = this->rateLimiter.admission();
    const std::vector<std::string> &features = this->settings.features;
    if (std::find(features.begin(), features.end(), adapter.features.overload) != features.end())
        this->context.admissionControl = &this->admissionControl;
    this->rollout.setBroadcast(this->engineBroadcast());
    if (this->settings.balancesLoad)
        this->balanceLoad();
    if (this->settings.rollouts)
        this->startServiceRollouts();
    this->applySettings();
}

// Requests in progress refer to the members.
ForwardDaemon::~ForwardDaemon()
{
    this->forwarder.stopAll();
}

AdminHooks ForwardDaemon::adminHooks()
{
    AdminHooks hooks;
    hooks.isReady = [this] { return this->context.table && !this->isDraining(); };
    hooks.status = [this] { return this->status(); };
    hooks.drain = [this] { this->drain("operator", monoNow()); };
    hooks.updateGauges = [this] {
        this->metrics.setOpenRequests(static_cast<double>(this->forwarder.openCalls()), 0);
        this->updateWaitingGauges();
        this->fleet.updateMetrics();
        this->metrics.setDrainPhase(this->context.drain.phase());
        this->metrics.setStoreCalls(static_cast<double>(this->store.callCount()));
        if (this->callers)
            this->metrics.setRefusedConnections("callers", this->callers->refusedConnections());
        if (this->requestMemory)
            this->metrics.setMemory(*this->requestMemory);
        if (this->relayServer)
            this->metrics.setRefusedConnections("relays", this->relayServer->refusedConnections());
        this->processWatch.updateMetrics();
        for (const LineClass lineClass : LineClasses)
            this->metrics.setLostLogLines(lineClass, static_cast<double>(lostLogLines(lineClass)));
    };
    return hooks;
}

void ForwardDaemon::updateWaitingGauges()
{
    for (const std::string &service : this->admissionControl.serviceNames()) {
        for (const auto &[rank, count] : this->admissionControl.queue(service).sizeByRank())
            this->metrics.setWaiting(service, rank, static_cast<double>(count));
    }
}

std::unique_ptr<http::Server> ForwardDaemon::openServer(const Address &listen, RequestSource source)
{
    http::ServerLimits limits;
    limits.maxConnections
        = source == RequestSource::Caller ? this->descriptors.callers : this->descriptors.relays;
    auto server = std::make_unique<http::Server>(this->loop, listen, limits,
                                                 [this, source](const http::ExchangePtr &exchange) {
                                                     this->forwarder.onRequest(exchange, source);
                                                 });
    server->setRefusal([this](int status, std::string_view reason, const http::Request &received) {
        return this->writeServerRefusal(status, reason, received);
    });
    server->setMemoryBudget(this->requestMemory);
    return server;
}

// The peer address is bound last and before any decision is made. A successful bind shows that the
// process that used the address before is dead.
bool ForwardDaemon::openListeners()
{
    returnLargeBlocks();
    this->requestMemory = makeMemoryBudget(
        requestMemoryLimit(this->settings.memoryMegabytes, readProcessState().maxAddressBytes));
    const auto openOne = [this](std::string_view listener, const std::function<void()> &open) {
        return openWhenFree(this->loop, listener, open, [this] { return this->isDraining(); });
    };
    const auto openAdmin = [this] {
        this->admin
            = std::make_unique<Admin>(this->loop, this->settings.admin, this->timeline,
                                      this->metrics, this->adminHooks(), this->descriptors.admin);
    };
    const auto openRelay = [this] {
        if (this->settings.relay)
            this->relayServer
                = this->openServer(*this->settings.relay, RequestSource::OtherInstance);
    };
    const auto openCallers = [this] {
        this->callers = this->openServer(this->settings.listen, RequestSource::Caller);
    };
    return openOne("admin", openAdmin) && openOne("relay", openRelay)
        && openOne("callers", openCallers) && openOne("peer", [this] { this->fleet.start(); });
}

// The service does not depend on metrics, so neither does its start. The address of metrics may be
// one of the instance's other addresses.
void ForwardDaemon::openMetrics()
{
    try {
        this->metricsServer
            = std::make_unique<Admin>(this->loop, *this->settings.metrics, this->timeline,
                                      this->metrics, this->adminHooks(), this->descriptors.admin);
    } catch (const ListenError &error) {
        if (!std::exchange(this->isMetricsMissing, true))
            logEvent(LogLevel::Warning, "metrics_unavailable", {{"detail", error.what()}});
        this->metricsTimer
            = this->loop.after(MetricsRetryInterval, [this] { this->openMetrics(); });
        return;
    }
    if (this->isMetricsMissing)
        logEvent(LogLevel::Info, "metrics_listening",
                 {{"address", this->settings.metrics->toString()}});
}

http::Response ForwardDaemon::writeServerRefusal(int status, std::string_view reason,
                                                 const http::Request &received)
{
    ForwardRefusal refusal{status, std::string(reason), {}};
    const std::string requestId = this->adapter.readRequestId(received);
    if (status != ServiceUnavailable) {
        this->recordRejection(refusal, requestId);
        return this->adapter.writeRefusal(refusal, requestId);
    }
    this->recordMemoryRefusal();
    refusal.retryAfter = NoMemoryRetryAfter;
    return this->adapter.writeRefusal(refusal, requestId);
}

void ForwardDaemon::recordRejection(const ForwardRefusal &refusal, const std::string &requestId)
{
    this->metrics.countRefusal("http_" + std::to_string(refusal.status));
    if (!this->rejectionLines.tryAcquire(monoNow()))
        return;
    logEvent(LogLevel::Info, LineClass::Refusal, "request_rejected",
             {{"request", requestId},
              {"status", refusal.status},
              {"reason", refusal.reason},
              {"lines_left_out", this->rejectionLines.takeDroppedCount()}});
}

void ForwardDaemon::recordMemoryRefusal()
{
    ++this->memoryRefusals;
    this->metrics.countRefusal("no_memory");
    const MonoTime now = monoNow();
    if (now < this->nextMemoryLine)
        return;
    this->nextMemoryLine = now + MemoryLineInterval;
    logEvent(LogLevel::Warning, "requests_refused_for_memory",
             {{"refused", std::exchange(this->memoryRefusals, 0)},
              {"used_bytes", this->requestMemory->usedBytes()},
              {"limit_bytes", this->requestMemory->limitBytes()},
              {"head_bytes", this->requestMemory->usedBytes(http::MemoryKind::Heads)},
              {"all_bytes", this->requestMemory->totalUsedBytes()}});
}

std::vector<Address> ForwardDaemon::relayInstances() const
{
    std::vector<Address> addresses;
    if (!this->settings.relay)
        return addresses;
    for (const std::string &host : this->fleet.otherHosts())
        addresses.push_back({host, this->settings.relay->port});
    return addresses;
}

void ForwardDaemon::applySettings()
{
    const ForwardBounds &bounds = this->settings.bounds;
    this->fleetSize = this->fleet.maxInstanceCount();
    RetryBudgetSettings budgetSettings;
    budgetSettings.ratio = bounds.retryRatio;
    budgetSettings.slack = bounds.retrySlack;
    budgetSettings.window = bounds.retryWindow;
    budgetSettings.instances = static_cast<std::int64_t>(this->fleetSize);
    this->budget.setSettings(budgetSettings);
    this->context.oldWeightsTimeout = bounds.oldWeightsTimeout;
    this->selector.setInstanceCount(this->fleetSize);
    if (this->backlogExchange)
        this->backlogExchange->setInstanceCount(this->fleetSize);
    AllowanceSettings tolerance;
    tolerance.overage = bounds.rateOverage;
    tolerance.slack = static_cast<double>(bounds.rateSlack);
    tolerance.window = bounds.rateWindow;
    tolerance.instances = this->fleetSize;
    this->rateLimiter.setTolerance(tolerance);
}

bool ForwardDaemon::start()
{
    if (!this->openListeners())
        return false;
    this->isStarted = true;
    if (this->settings.metrics)
        this->openMetrics();
    this->timeline.add(EventKind::ProcessStarted, "", "", {{"version", LAVENDERHALL_VERSION}});
    logEvent(LogLevel::Info, "started",
             {{"listen", this->settings.listen.toString()},
              {"admin", this->settings.admin.toString()},
              {"zone", this->settings.zone}});
    this->processWatch.start();
    this->takeoverJitter = Millis(this->context.random(MaxTakeoverJitterMillis));
    this->storeReplica.start();
    this->tick();
    this->reloadSettings("start");
    return true;
}

int ForwardDaemon::run()
{
    this->loop.onStopSignals([this](int signal) { this->onStopSignal(signal); });
    this->loop.onSignal(SIGHUP, [this] { this->reloadSettings("signal"); });
    if (!this->start()) {
        answerAndClose(this->loop, this->callers.get());
        return 0;
    }
    this->loop.run();
    this->gracefulStop.logEnd();
    return 0;
}

LeaseTimings ForwardDaemon::leaseTimings() const
{
    return leaseTimingsOf(this->settings);
}

Millis ForwardDaemon::rolloutTakeoverDelay() const
{
    if (this->fleet.isAssigned(RolloutTask, RolloutCandidates, TaskScope::Fleet))
        return Millis(0);
    return this->fleet.isAssigned(RolloutTask, RolloutCandidates) ? RegionTakeoverDelay
                                                                  : StandbyTakeoverDelay;
}

// A service's rollout is short, so the first candidates do not wait.
Millis ForwardDaemon::serviceTakeoverDelay() const
{
    const Millis delay = this->rolloutTakeoverDelay();
    return delay == Millis(0) ? delay : delay + this->takeoverJitter;
}

void ForwardDaemon::tick()
{
    const MonoTime now = monoNow();
    this->historyExchange.onTick(this->settings.bounds.oldWeightsTimeout, now);
    this->crashMonitor.onTick(now);
    this->limitMonitor.onTick(now);
    this->directory.onTick(now);
    this->applyDirectoryChanges();
    this->originLookup.onTick(this->fleet.isAssigned(BuildsTask, 1, TaskScope::Fleet), now);
    this->applyUnregisteredBuilds();
    this->rollout.setTakeoverDelay(this->takeoverJitter + this->rolloutTakeoverDelay());
    this->rollout.onTick(this->directory, now);
    if (this->backlogExchange)
        this->backlogExchange->onTick(now);
    if (this->serviceRollouts)
        this->serviceRollouts->onTick(this->directory,
                                      {this->serviceTakeoverDelay(), this->fleet.maxInstanceCount(),
                                       this->storeReplica.hasList(ObjectKind::Rollouts)},
                                      now);
    if (!this->isDraining())
        this->loadMonitor.onTick(this->directory, now);
    if (this->fleet.maxInstanceCount() != this->fleetSize)
        this->applySettings();
    this->tickTimer = this->loop.after(TickInterval, [this] { this->tick(); });
}

// The file may also change without a signal, so it is checked periodically.
void ForwardDaemon::reloadSettings(const char *cause)
{
    this->settingsTimer
        = this->loop.after(SettingsInterval, [this] { this->reloadSettings("file"); });
    const auto text = toOutcome([this] { return readFile(this->settingsFile); });
    const auto *newText = std::get_if<std::string>(&text);
    if (!newText || *newText == this->settingsText)
        return;
    this->settingsText = *newText;
    const auto read = toOutcome([&] { return parseSettings(*newText, this->settingsFile); });
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Error, "settings_refused", {{"detail", error->detail}});
        return;
    }
    const auto &changed = std::get<Settings>(read);
    if (changed.bounds == this->settings.bounds && changed.seeds == this->settings.seeds)
        return;
    this->settings.bounds = changed.bounds;
    this->settings.seeds = changed.seeds;
    this->applySettings();
    logEvent(LogLevel::Info, "settings_reloaded", {{"cause", cause}});
}

StopHooks ForwardDaemon::stopHooks()
{
    StopHooks hooks;
    hooks.openRequests = [this] { return this->forwarder.openCalls(); };
    hooks.hasHandedOver = [] { return true; };
    hooks.loopLag = [this] { return this->processWatch.maxLoopLag(); };
    hooks.endRequests = [this] { this->forwarder.stopAll(); };
    return hooks;
}

// Another signal or an operator may have asked for the stop before.
void ForwardDaemon::onStopSignal(int signal)
{
    if (this->isDraining())
        return this->gracefulStop.onSignalRepeated(signal);
    this->drain(http::stopSignalName(signal), this->loop.signalSentSince());
}

void ForwardDaemon::drain(const char *cause, MonoTime askedAt)
{
    if (this->isDraining())
        return;
    const DrainTimings timings = drainTimingsOf(this->settings.bounds.grace);
    if (!this->isStarted) {
        this->context.drain.begin(timings, askedAt);
        return this->loop.stop();
    }
    this->rollout.stop();
    if (this->serviceRollouts)
        this->serviceRollouts->stop();
    this->fleet.leave();
    this->gracefulStop.addServer(*this->callers);
    if (this->relayServer)
        this->gracefulStop.addServer(*this->relayServer);
    this->gracefulStop.begin(timings, cause, askedAt);
}

Json ForwardDaemon::status() const
{
    Json endpoints = Json::array();
    for (const auto &[id, entry] : this->directory.entries()) {
        endpoints.push_back({{"name", id},
                             {"service", entry.service},
                             {"zone", entry.zone},
                             {"state", entry.isLeaving ? "leaving" : "ready"},
                             {"in_flight", this->selector.inFlight(id)},
                             {"weights", entry.weights}});
    }
    return {{"instance", this->settings.instance},
            {"region", this->settings.region},
            {"zone", this->settings.zone},
            {"version", LAVENDERHALL_VERSION},
            {"state",
             this->isDraining()        ? "draining"
                 : this->context.table ? "ready"
                                       : "starting"},
            {"config", {{"version", this->context.table ? this->context.table->version() : 0}}},
            {"store",
             {{"watching", this->storeReplica.isWatching()},
              {"silent_ms", this->storeReplica.storeOutageDuration().count()},
              {"calls", this->store.callCount()}}},
            {"open_requests", this->forwarder.openCalls()},
            {"endpoints", std::move(endpoints)}};
}

} // namespace lavenderhall
