#include "forward/forwarddaemon.h"

#include "base/digest.h"
#include "membership/members.h"

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
constexpr Millis TokensPatience{200}; ///< for a rate to allow a request
constexpr Millis UnknownRateRetryAfter{300};
// Shares of what the whole fleet may do are cut for at least so many instances.
constexpr std::size_t LeastInstances = 8;
constexpr Millis StopMargin{250}; ///< before the process is killed

TokenLimits limitsOf(const OrganisationSpec &organisation)
{
    return {static_cast<double>(organisation.tokensPerSecond),
            static_cast<double>(organisation.burstTokens)};
}

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
              pcg32(randomSeed())}
    , forwarder(this->context)
    , rollout(loop, adapter, this->store, this->loads,
              Lease(this->settings.instance, newIncarnation(wallMillis(), randomSeed()),
                    leaseTimingsOf(this->settings)),
              rolloutTimingsOf(this->settings))
    , fleet(loop, this->settings, this->seatStore(), std::nullopt, this->timeline, this->metrics,
            seatTimings(this->settings))
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
    for (std::size_t kind = 0; kind < FollowedCount; ++kind)
        this->feeds.push_back(std::make_unique<KindFeed>(loop, this->store, this->kindName(kind),
                                                         this->feedHandlers(kind), randomSeed()));
    this->fleet.shareObjects(this->objectSharing());
    this->context.tokens = this->tokensGate();
    this->rollout.setNotify(
        [this](const proto::WeightsNotice &notice) { this->fleet.announce(notice); });
    this->applySettings();
}

void ForwardDaemon::applySettings()
{
    const ForwardBounds &bounds = this->settings.bounds;
    RetryBudgetSettings budgetSettings;
    budgetSettings.ratio = bounds.retryRatio;
    budgetSettings.slack = bounds.retrySlack;
    budgetSettings.window = bounds.retryWindow;
    budgetSettings.instances = LeastInstances;
    this->budget.setSettings(budgetSettings);
    this->context.oldWeightsTime = bounds.weights;
    this->tolerance.overage = bounds.rateOverage;
    this->tolerance.slack = static_cast<double>(bounds.rateSlack);
    this->tolerance.window = bounds.rateWindow;
    this->tolerance.instances = LeastInstances;
    this->allowance.setSettings(this->tolerance);
}

void ForwardDaemon::start()
{
    this->startedAt = monoNow();
    this->timeline.add(EventKind::ProcessStarted, "", "", {{"version", LAVENDERHALL_VERSION}});
    logEvent(LogLevel::Info, "started",
             {{"listen", this->settings.listen.toString()},
              {"admin", this->settings.admin.toString()},
              {"zone", this->settings.zone}});
    this->rollout.setPatience(Millis(this->context.random(MostPatienceMillis)));
    // The peer address is bound before anything is decided: whoever bound it before is dead.
    this->fleet.start();
    for (const auto &feed : this->feeds)
        feed->start();
    this->tick();
    this->reloadSettings("start");
}

int ForwardDaemon::run()
{
    int signals = 0;
    const auto onStop = [this, &signals] {
        if (++signals > 1)
            return this->loop.stop();
        this->drain();
    };
    this->loop.onSignal(SIGTERM, onStop);
    this->loop.onSignal(SIGINT, onStop);
    this->loop.onSignal(SIGHUP, [this] { this->reloadSettings("signal"); });
    this->start();
    this->loop.run();
    logEvent(LogLevel::Info, "stopped", {{"open_requests", this->forwarder.openCalls()}});
    return 0;
}

const std::string &ForwardDaemon::kindName(std::size_t kind) const
{
    const ObjectKinds &kinds = this->adapter.kinds;
    const std::array<const std::string *, FollowedCount> names{&kinds.configuration,
                                                               &kinds.endpoints, &kinds.weights};
    return *names.at(kind);
}

FeedHandlers ForwardDaemon::feedHandlers(std::size_t kind)
{
    FeedHandlers handlers;
    handlers.onListed
        = [this, kind](const std::vector<StoredObject> &objects, std::int64_t revision,
                       bool wasAway) { this->onListed(kind, objects, revision, wasAway); };
    handlers.onEvents
        = [this, kind](const std::vector<ObjectEvent> &events) { this->onEvents(kind, events); };
    return handlers;
}

void ForwardDaemon::onListed(std::size_t kind, const std::vector<StoredObject> &objects,
                             std::int64_t revision, bool wasAway)
{
    this->mirrors.at(kind).takeList(objects);
    std::vector<std::string> names;
    for (const StoredObject &object : objects) {
        names.push_back(object.name);
        this->apply(kind, {object, false});
    }
    if (kind == Endpoints)
        this->roster.onListed(names, revision, wasAway, monoNow());
    this->applyRosterChanges();
}

void ForwardDaemon::onEvents(std::size_t kind, const std::vector<ObjectEvent> &events)
{
    for (const ObjectEvent &event : this->mirrors.at(kind).take(events))
        this->apply(kind, event);
    this->applyRosterChanges();
}

void ForwardDaemon::apply(std::size_t kind, const ObjectEvent &event)
{
    const StoredObject &object = event.object;
    if (kind == Endpoints && event.isDeleted)
        return this->roster.remove(object.name, object.revision);
    if (event.isDeleted)
        return;
    if (kind == Endpoints)
        return this->putEndpoint(object);
    if (kind == Weights)
        return this->putWeights(object);
    this->offerTable(object.content, object.revision);
}

ObjectSharing ForwardDaemon::objectSharing()
{
    ObjectSharing sharing;
    for (std::size_t kind = 0; kind < FollowedCount; ++kind)
        sharing.kinds.push_back(this->kindName(kind));
    sharing.revision = [this](std::size_t kind) { return this->mirrors.at(kind).revision(); };
    sharing.answer = [this](std::size_t kind, std::int64_t after) {
        proto::ObjectsOffer offer;
        offer.set_kind(this->kindName(kind));
        for (const ObjectEvent &event : this->mirrors.at(kind).after(after)) {
            proto::SharedObject &object = *offer.add_objects();
            object.set_name(event.object.name);
            object.set_revision(event.object.revision);
            object.set_is_deleted(event.isDeleted);
            object.set_content(event.object.content.dump());
        }
        return offer;
    };
    sharing.take = [this](std::size_t kind, const proto::ObjectsOffer &offer) {
        std::vector<ObjectEvent> events;
        for (const proto::SharedObject &object : offer.objects()) {
            Json content = Json::parse(object.content(), nullptr, false);
            events.push_back(
                {{object.name(), object.revision(), std::move(content)}, object.is_deleted()});
        }
        logEvent(LogLevel::Info, "objects_from_peer",
                 {{"kind", this->kindName(kind)},
                  {"objects", events.size()},
                  {"known", this->mirrors.at(kind).revision()}});
        this->onEvents(kind, events);
    };
    sharing.onNotice = [this](const proto::WeightsNotice &notice) { this->onNotice(notice); };
    return sharing;
}

void ForwardDaemon::onNotice(const proto::WeightsNotice &notice)
{
    const RosterEntry *entry = this->loads.entryOf(notice.endpoint());
    if (!entry || entry->bornMillis != notice.born_ms())
        return;
    if (notice.version() > 0)
        return this->loads.onWeightsLoaded(notice.endpoint(), notice.model(), notice.version());
    this->loads.onWeightsChange(notice.endpoint(), monoNow() + Millis(notice.avoid_ms()));
}

// A record is one object, named after its region and seat.
SeatStore ForwardDaemon::seatStore()
{
    const auto nameOf = [](const std::string &object) {
        std::string name = object.substr(object.find('/') + 1);
        std::replace(name.begin(), name.end(), '/', '.');
        return name;
    };
    const auto toReply = [](const ObjectReply &reply) {
        StoreReply made;
        made.status = reply.status;
        if (reply.object) {
            made.version = reply.object->revision;
            made.body = textIn(reply.object->content, "record");
        }
        return made;
    };
    SeatStore seats;
    seats.silence = [this] {
        const KindFeed &feed = *this->feeds.at(Configuration);
        return feed.isAway() ? feed.age() : Millis(0);
    };
    seats.read = [this, nameOf, toReply](const std::string &object, const StoreHandler &handler) {
        this->store.read(this->adapter.kinds.limits, nameOf(object),
                         [handler, toReply](const ObjectReply &reply) { handler(toReply(reply)); });
    };
    seats.write = [this, nameOf, toReply](const std::string &object, std::string text,
                                          std::int64_t expected, const StoreHandler &handler) {
        const StoredObject stored{nameOf(object), expected, Json{{"record", std::move(text)}}};
        const auto onReply
            = [handler, toReply](const ObjectReply &reply) { handler(toReply(reply)); };
        if (expected == CreateVersion)
            return this->store.create(this->adapter.kinds.limits, stored, onReply);
        this->store.replace(this->adapter.kinds.limits, stored, onReply);
    };
    return seats;
}

TokensGate ForwardDaemon::tokensGate()
{
    TokensGate gate;
    gate.ask = [this](const OrganisationSpec &organisation, double tokens,
                      const TokensGate::Handler &handler) {
        const auto onResult = [this, name = organisation.name, limits = limitsOf(organisation),
                               tokens, handler](const BorrowResult &result) {
            if (result.granted)
                return handler({true, true, {}});
            const bool isAllowed = this->allowance.take(name, limits, tokens, monoNow());
            handler({isAllowed, result.isAnswered,
                     result.isAnswered ? result.retryAfter : UnknownRateRetryAfter});
        };
        return this->fleet.requestTokens(organisation.name, tokens, TokensPatience, onResult);
    };
    gate.giveBack = [this](std::uint64_t number, bool isGranted, double unused) {
        if (isGranted)
            this->fleet.returnTokens(number, unused);
        else
            this->fleet.cancelTokens(number);
    };
    return gate;
}

void ForwardDaemon::shareLimits(const TableContent &content)
{
    std::set<std::string> names;
    for (const auto &[zone, region] : this->settings.regionOfZone)
        names.insert(region);
    std::vector<Region> regions;
    for (const std::string &name : names)
        regions.push_back({name, 1});
    std::vector<Organisation> organisations;
    RestartTokens restart;
    for (const OrganisationSpec &spec : content.organisations) {
        restart.emplace(spec.name, restartTokens(limitsOf(spec), this->tolerance));
        const TokenLimits limits = accountLimits(limitsOf(spec), this->tolerance);
        organisations.push_back({spec.name,
                                 static_cast<std::int64_t>(limits.perSecond),
                                 static_cast<std::int64_t>(limits.burst),
                                 {}});
    }
    this->fleet.onConfig(content.version, regions, organisations, restart);
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
    this->shareLimits(table->content());
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
    if (const auto *entry = std::get_if<RosterEntry>(&read))
        return this->roster.put(*entry, object.revision);
    logEvent(LogLevel::Warning, "endpoint_malformed",
             {{"endpoint", object.name}, {"detail", std::get<Error>(read).detail}});
}

void ForwardDaemon::applyRosterChanges()
{
    static constexpr std::array Names{"joined", "restarted", "leaving", "gone", "updated"};
    for (const RosterChange &change : this->roster.takeChanges()) {
        this->loads.onChange(change);
        const bool isOver = change.kind == RosterChange::Kind::Gone
            || change.kind == RosterChange::Kind::Restarted;
        if (isOver)
            this->context.client.forgetIdle(change.entry.address);
        logEvent(LogLevel::Info, "endpoint",
                 {{"endpoint", change.entry.id},
                  {"change", Names.at(static_cast<std::size_t>(change.kind))},
                  {"service", change.entry.service},
                  {"zone", change.entry.zone},
                  {"revision", this->roster.revision()}});
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
    ForwardContext::Named &known = this->context.namedWeights[weights->model];
    if (weights->version <= known.version)
        return;
    // What this instance finds at its start may have been named a while ago.
    const bool isFirst = known.version == 0;
    known.version = weights->version;
    known.since = monoNow() - (isFirst ? this->settings.bounds.weights / 2 : Millis(0));
    logEvent(
        LogLevel::Info, "weights_named",
        {{"model", weights->model}, {"version", weights->version}, {"revision", object.revision}});
    std::map<std::string, std::int64_t> wanted;
    for (const auto &[model, named] : this->context.namedWeights)
        wanted.emplace(model, named.version);
    this->rollout.setWanted(wanted);
}

void ForwardDaemon::tick()
{
    const MonoTime now = monoNow();
    this->roster.onTick(now);
    this->applyRosterChanges();
    this->rollout.onTick(this->roster, now);
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
    for (const auto &[id, entry] : this->roster.entries()) {
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
             {{"silent_ms", this->feeds.at(Configuration)->age().count()},
              {"calls", this->store.callCount()}}},
            {"open_requests", this->forwarder.openCalls()},
            {"endpoints", std::move(endpoints)}};
}

} // namespace lavenderhall
