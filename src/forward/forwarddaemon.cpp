#include "forward/forwarddaemon.h"

#include "base/digest.h"
#include "membership/membership.h"

#include <algorithm>
#include <csignal>
#include <set>

namespace lavenderhall {

namespace {

constexpr std::size_t TimelineCapacity = 5'000;
constexpr Millis TickInterval{100};
constexpr Millis SettingsInterval{1000};
constexpr Millis DrainCheckInterval{50};
// The balancer turns away from an instance after two questions, one second apart.
constexpr Millis BalancerTime{3000};
// Instances that do not hold the duty of the rollout take it up at different times.
constexpr unsigned MostPatienceMillis = 600;
// What an instance finds as it starts may have been named a while ago.
constexpr Millis FoundWeightsAge{5000};
// Few in each region look at the lease; the others do so only if no engine gets on for longer.
constexpr const char *RolloutTask = "give engines their weights";
constexpr std::size_t RolloutCandidates = 2;
constexpr Millis StandInPatience{4000};
constexpr Millis StopMargin{250}; ///< before the process is killed

// A holder's silence leaves its organisations without a decision for about one lease.
SeatTimings seatTimings(const Settings &settings)
{
    SeatTimings timings;
    timings.lease = Millis(1500);
    timings.renewInterval = Millis(300);
    timings.abandoned = Millis(20'000);
    timings.freshTime = settings.bounds.rateWindow;
    return timings;
}

LeaseTimings leaseTimingsOf(const Settings &settings)
{
    LeaseTimings timings;
    timings.lease = settings.bounds.lease;
    timings.renewInterval = settings.bounds.lease / 3;
    timings.margin = settings.bounds.lease / 10;
    return timings;
}

RolloutTimings rolloutTimingsOf(const Settings &settings)
{
    RolloutTimings timings;
    timings.bound = settings.bounds.weights;
    return timings;
}

} // namespace

ForwardDaemon::ForwardDaemon(http::Loop &loop, Settings given, std::string settingsFile,
                             const PlatformAdapter &adapter)
    : loop(loop)
    , settings(std::move(given))
    , settingsFile(std::move(settingsFile))
    , adapter(adapter)
    , timeline(this->settings.instance, TimelineCapacity)
    , store(loop, this->settings.store, adapter.objects)
    , loads({this->settings.zone, this->settings.regionOfZone}, {})
    , context{loop,
              adapter,
              this->metrics,
              this->loads,
              this->budget,
              http::Client(loop),
              {},
              nullptr,
              {},
              Millis(0),
              pcg32(randomSeed()),
              [this](const std::string &endpoint) { this->loadWatch.onReplaced(endpoint); }}
    , forwarder(this->context)
    , rollout(loop, adapter, this->store, this->loads,
              Lease(this->settings.instance, newIncarnation(wallMillis(), randomSeed()),
                    leaseTimingsOf(this->settings)),
              rolloutTimingsOf(this->settings))
    , followed(loop, this->store, adapter.kinds, this->followedHandlers(), randomSeed())
    , fleet(loop, this->settings,
            objectSeatStore(this->store, adapter.kinds.limits,
                            [this] { return this->followed.silence(); }),
            std::nullopt, this->timeline, this->metrics, seatTimings(this->settings))
    , rates(this->fleet)
    , loadWatch(
          loop, adapter, this->loads,
          [this](const std::string &task) { return this->fleet.isOnDuty(task, 1); },
          this->engineTelling())
{
    AdminHooks hooks;
    hooks.isReady = [this] { return this->context.table && !this->isDraining; };
    hooks.status = [this] { return this->status(); };
    hooks.drain = [this] { this->drain(); };
    hooks.beforeMetrics = [this] {
        this->metrics.setOpenRequests(static_cast<double>(this->forwarder.openCalls()), 0);
        this->fleet.updateMetrics();
        this->metrics.countStoreCalls(static_cast<double>(this->store.callCount()));
    };
    this->admin
        = std::make_unique<Admin>(loop, this->settings.admin, this->timeline, this->metrics, hooks);
    if (this->settings.metrics)
        this->metricsServer = std::make_unique<Admin>(loop, *this->settings.metrics, this->timeline,
                                                      this->metrics, hooks);
    this->callers = std::make_unique<http::Server>(
        loop, this->settings.listen, http::ServerLimits{},
        [this](const http::ExchangePtr &exchange) { this->forwarder.onRequest(exchange); });
    this->callers->setRefusal([this](int status, std::string_view reason) {
        return this->adapter.writeRefusal({status, std::string(reason), {}}, "");
    });
    EngineNews news;
    news.onWeights = [this](const proto::WeightsNotice &notice) {
        this->loadWatch.onNotice(notice, monoNow());
    };
    news.onLoad = [this](const proto::LoadNews &told) { this->loadWatch.onNews(told, monoNow()); };
    this->fleet.shareObjects(this->followed.sharing(), std::move(news));
    this->context.tokens = this->rates.gate();
    this->rollout.setTelling(this->engineTelling());
    this->applySettings();
}

void ForwardDaemon::applySettings()
{
    const ForwardBounds &bounds = this->settings.bounds;
    this->instances = this->fleet.sizeAtMost();
    RetryBudgetSettings budgetSettings;
    budgetSettings.ratio = bounds.retryRatio;
    budgetSettings.slack = bounds.retrySlack;
    budgetSettings.window = bounds.retryWindow;
    budgetSettings.instances = static_cast<std::int64_t>(this->instances);
    this->budget.setSettings(budgetSettings);
    this->context.oldWeightsTime = bounds.weights;
    this->loads.setInstances(this->instances);
    AllowanceSettings tolerance;
    tolerance.overage = bounds.rateOverage;
    tolerance.slack = static_cast<double>(bounds.rateSlack);
    tolerance.window = bounds.rateWindow;
    tolerance.instances = this->instances;
    this->rates.setTolerance(tolerance);
}

void ForwardDaemon::start()
{
    this->timeline.add(EventKind::ProcessStarted, "", "", {{"version", LAVENDERHALL_VERSION}});
    logEvent(LogLevel::Info, "started",
             {{"listen", this->settings.listen.toString()},
              {"admin", this->settings.admin.toString()},
              {"zone", this->settings.zone}});
    this->patience = Millis(this->context.random(MostPatienceMillis));
    // The peer address is bound before anything is decided: whoever bound it before is dead.
    this->fleet.start();
    this->followed.start();
    this->tick();
    this->reloadSettings("start");
}

int ForwardDaemon::run()
{
    this->loop.drainOnSignals([this] { this->drain(); });
    this->loop.onSignal(SIGHUP, [this] { this->reloadSettings("signal"); });
    this->start();
    this->loop.run();
    logEvent(LogLevel::Info, "stopped", {{"open_requests", this->forwarder.openCalls()}});
    return 0;
}

EngineTelling ForwardDaemon::engineTelling()
{
    EngineTelling telling;
    telling.load = [this](const proto::LoadNews &news) { this->fleet.announce(news); };
    telling.weights = [this](const proto::WeightsNotice &notice) { this->fleet.announce(notice); };
    return telling;
}

FollowedHandlers ForwardDaemon::followedHandlers()
{
    FollowedHandlers handlers;
    handlers.onEvent
        = [this](ObjectKind kind, const ObjectEvent &event) { this->apply(kind, event); };
    handlers.onListed = [this](ObjectKind kind, const std::vector<std::string> &names,
                               std::int64_t revision, bool wasAway) {
        if (kind == ObjectKind::Endpoints)
            this->directory.onListed(names, revision, wasAway, monoNow());
    };
    handlers.onStoreNews
        = [this](ObjectKind kind) { this->fleet.publishObjects(static_cast<std::size_t>(kind)); };
    handlers.onBatchEnd = [this] { this->applyDirectoryChanges(); };
    return handlers;
}

void ForwardDaemon::apply(ObjectKind kind, const ObjectEvent &event)
{
    const StoredObject &object = event.object;
    if (kind == ObjectKind::Endpoints && event.isDeleted)
        return this->directory.remove(object.name, object.revision);
    if (event.isDeleted)
        return;
    if (kind == ObjectKind::Endpoints)
        return this->putEndpoint(object);
    if (kind == ObjectKind::Weights)
        return this->putWeights(object);
    this->offerTable(object.content, object.revision);
}

// What was accepted once stays in force until a newer one: an older or malformed one is left out.
void ForwardDaemon::offerTable(const Json &content, std::int64_t revision)
{
    if (revision <= this->tableRevision)
        return;
    auto read = attempt([&] { return this->adapter.readTable(content); });
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Error, "configuration_refused",
                 {{"revision", revision}, {"detail", error->detail}});
        return;
    }
    auto table = std::make_shared<const RoutingTable>(std::get<TableContent>(std::move(read)));
    if (this->context.table && table->version() <= this->context.table->version())
        return;
    this->tableRevision = revision;
    this->context.table = table;
    this->callers->setLimits(table->content().limits);
    for (const ServiceSpec &service : table->content().services) {
        if (service.engine)
            this->loads.setEngines(service.name, *service.engine);
    }
    this->rates.onConfig(table->content(), this->settings.regionOfZone);
    this->metrics.setConfigVersion(static_cast<double>(table->version()));
    this->timeline.add(EventKind::ConfigInForce, "", "", {{"version", table->version()}});
    logEvent(LogLevel::Info, "config_in_force",
             {{"version", table->version()},
              {"revision", revision},
              {"routes", table->content().routes.size()},
              {"organisations", table->content().organisations.size()}});
}

void ForwardDaemon::putEndpoint(const StoredObject &object)
{
    const auto read = attempt([&] { return this->adapter.readEndpoint(object); });
    if (const auto *entry = std::get_if<RegisteredEndpoint>(&read))
        return this->directory.put(*entry, object.revision);
    logEvent(LogLevel::Warning, "endpoint_malformed",
             {{"endpoint", object.name}, {"detail", std::get<Error>(read).detail}});
}

void ForwardDaemon::applyDirectoryChanges()
{
    static constexpr std::array Names{"joined", "restarted", "leaving", "gone", "updated"};
    for (const EndpointChange &change : this->directory.takeChanges()) {
        this->loads.onChange(change);
        const bool isOver = change.kind == EndpointChange::Kind::Gone
            || change.kind == EndpointChange::Kind::Restarted;
        if (isOver)
            this->context.client.forgetIdle(change.entry.address);
        logEvent(LogLevel::Info, "endpoint",
                 {{"endpoint", change.entry.id},
                  {"change", Names.at(static_cast<std::size_t>(change.kind))},
                  {"service", change.entry.service},
                  {"zone", change.entry.zone},
                  {"revision", this->directory.revision()}});
    }
}

void ForwardDaemon::putWeights(const StoredObject &object)
{
    const auto read = attempt([&] { return this->adapter.readWeights(object.content); });
    const auto *weights = std::get_if<NamedWeights>(&read);
    if (!weights) {
        logEvent(LogLevel::Warning, "weights_malformed",
                 {{"name", object.name}, {"detail", std::get<Error>(read).detail}});
        return;
    }
    WeightsVersionHistory &known = this->context.namedWeights[weights->model];
    const bool isFound = !this->followed.hasList(ObjectKind::Weights);
    if (!known.onNamed(weights->version, monoNow(), isFound ? FoundWeightsAge : Millis(0)))
        return;
    logEvent(
        LogLevel::Info, "weights_named",
        {{"model", weights->model}, {"version", weights->version}, {"revision", object.revision}});
    std::map<std::string, std::int64_t> wanted;
    for (const auto &[model, named] : this->context.namedWeights)
        wanted.emplace(model, named.newest());
    this->rollout.setWanted(wanted);
}

void ForwardDaemon::tick()
{
    const MonoTime now = monoNow();
    this->directory.onTick(now);
    this->applyDirectoryChanges();
    const bool isRolloutDuty = this->fleet.isOnDuty(RolloutTask, RolloutCandidates);
    this->rollout.setPatience(this->patience + (isRolloutDuty ? Millis(0) : StandInPatience));
    this->rollout.onTick(this->directory, now);
    if (!this->isDraining)
        this->loadWatch.onTick(this->directory, now);
    if (this->fleet.sizeAtMost() != this->instances)
        this->applySettings();
    this->tickTimer = this->loop.after(TickInterval, [this] { this->tick(); });
}

// The file may also change without a signal, so it is looked at now and then.
void ForwardDaemon::reloadSettings(const char *cause)
{
    this->settingsTimer
        = this->loop.after(SettingsInterval, [this] { this->reloadSettings("file"); });
    const auto text = attempt([this] { return readFile(this->settingsFile); });
    const auto *found = std::get_if<std::string>(&text);
    if (!found || *found == this->settingsText)
        return;
    const bool isFirst = this->settingsText.empty();
    this->settingsText = *found;
    if (isFirst)
        return;
    const auto read = attempt([&] { return parseSettings(*found, this->settingsFile); });
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Error, "settings_refused", {{"detail", error->detail}});
        return;
    }
    this->settings.bounds = std::get<Settings>(read).bounds;
    this->settings.seeds = std::get<Settings>(read).seeds;
    this->applySettings();
    logEvent(LogLevel::Info, "settings_reloaded", {{"cause", cause}});
}

void ForwardDaemon::drain()
{
    if (this->isDraining)
        return;
    this->isDraining = true;
    this->drainBeganAt = monoNow();
    this->rollout.stop();
    this->fleet.leave();
    this->callers->closeAfterAnswers();
    logEvent(LogLevel::Info, "drain_began", {{"open_requests", this->forwarder.openCalls()}});
    this->checkDrained();
}

void ForwardDaemon::checkDrained()
{
    const auto elapsed = monoNow() - this->drainBeganAt;
    const bool isIdle = this->forwarder.openCalls() == 0 && this->callers->openExchanges() == 0;
    if (elapsed > BalancerTime && !this->isRefusing) {
        this->isRefusing = true;
        this->forwarder.refuseNew();
        this->callers->closeIdle();
    }
    const bool isOver = elapsed > this->settings.bounds.grace - StopMargin;
    if ((isIdle && elapsed > BalancerTime) || isOver)
        return this->loop.stop();
    this->drainTimer = this->loop.after(DrainCheckInterval, [this] { this->checkDrained(); });
}

Json ForwardDaemon::status() const
{
    Json endpoints = Json::array();
    for (const auto &[id, entry] : this->directory.entries()) {
        endpoints.push_back({{"name", id},
                             {"service", entry.service},
                             {"zone", entry.zone},
                             {"state", entry.isLeaving ? "leaving" : "ready"},
                             {"in_flight", this->loads.inFlight(id)},
                             {"weights", entry.weights}});
    }
    return {{"instance", this->settings.instance},
            {"region", this->settings.region},
            {"zone", this->settings.zone},
            {"version", LAVENDERHALL_VERSION},
            {"state",
             this->isDraining          ? "draining"
                 : this->context.table ? "ready"
                                       : "starting"},
            {"config", {{"version", this->context.table ? this->context.table->version() : 0}}},
            {"store",
             {{"watching", this->followed.isWatching()},
              {"silent_ms", this->followed.silence().count()},
              {"calls", this->store.callCount()}}},
            {"open_requests", this->forwarder.openCalls()},
            {"endpoints", std::move(endpoints)}};
}

} // namespace lavenderhall
