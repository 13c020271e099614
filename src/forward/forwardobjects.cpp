#include "forward/forwarddaemon.h"

#include <algorithm>
#include <array>

/// The part of ForwardDaemon that applies the store's objects, and what other instances tell of
/// engines.
namespace lavenderhall {

void ForwardDaemon::applyEvent(ObjectKind kind, const ObjectEvent &event)
{
    const StoredObject &object = event.object;
    if (kind == ObjectKind::Endpoints && event.isDeleted)
        return this->directory.remove(object.name, object.revision);
    if (kind == ObjectKind::Rollouts)
        return this->applyServiceOrder(event);
    if (event.isDeleted)
        return;
    if (kind == ObjectKind::Endpoints)
        return this->applyEndpoint(object);
    if (kind == ObjectKind::Weights)
        return this->applyWeights(object);
    this->applyConfiguration(object);
}

// Another writer may leave a configuration of its own under another name.
void ForwardDaemon::applyConfiguration(const StoredObject &object)
{
    if (object.name == this->adapter.kinds.configurationName)
        return this->applyTable(object.content, object.revision);
    logEvent(LogLevel::Warning, "configuration_ignored",
             {{"name", object.name}, {"revision", counterOf(object.revision)}});
}

// A table in force stays so until a newer valid one arrives; older and malformed ones are ignored.
void ForwardDaemon::applyTable(const Json &content, std::int64_t revision)
{
    if (revision <= this->tableRevision)
        return;
    auto read = toOutcome([&] { return this->adapter.readTable(content); });
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Error, "configuration_refused",
                 {{"revision", counterOf(revision)}, {"detail", error->detail}});
        return;
    }
    auto reading = std::get<TableReading>(std::move(read));
    auto table = std::make_shared<const RoutingTable>(std::move(reading.content));
    if (this->context.table && table->version() <= this->context.table->version())
        return;
    for (const std::string &issue : reading.issues)
        logEvent(LogLevel::Error, "configuration_issue",
                 {{"version", table->version()}, {"detail", issue}});
    this->tableRevision = revision;
    this->context.table = table;
    http::ServerLimits limits = table->content().limits;
    limits.maxConnections = this->descriptors.callers;
    this->callers->setLimits(limits);
    limits.maxConnections = this->descriptors.relays;
    if (this->relayServer)
        this->relayServer->setLimits(limits);
    std::vector<CacheStoreSpec> cacheStores;
    for (const ServiceSpec &service : table->content().services) {
        if (service.engine)
            this->selector.setEngines(service.name, *service.engine);
        if (service.cacheStore)
            cacheStores.push_back(*service.cacheStore);
    }
    this->selector.setCacheStores(std::move(cacheStores));
    this->originLookup.onTable(*table);
    this->originLookup.onDirectory(this->directory, monoNow());
    this->rateLimiter.onConfig(table->content(), this->settings.regionOfZone);
    this->metrics.setConfigVersion(static_cast<double>(table->version()));
    this->metrics.setConfigIssues(static_cast<double>(reading.issues.size()));
    this->timeline.add(EventKind::ConfigInForce, "", "", {{"version", table->version()}});
    logEvent(LogLevel::Info, "config_in_force",
             {{"version", table->version()},
              {"revision", counterOf(revision)},
              {"era", eraOf(revision)},
              {"routes", table->content().routes.size()},
              {"issues", reading.issues.size()},
              {"organisations", table->content().organisations.size()}});
}

void ForwardDaemon::applyEndpoint(const StoredObject &object)
{
    const auto read = toOutcome([&] { return this->adapter.readEndpoint(object); });
    if (const auto *entry = std::get_if<RegisteredEndpoint>(&read))
        return this->directory.put(*entry, object.revision);
    logEvent(LogLevel::Warning, "endpoint_malformed",
             {{"endpoint", object.name}, {"detail", std::get<Error>(read).detail}});
}

void ForwardDaemon::applyDirectoryChanges()
{
    static constexpr std::array ChangeNames{"joined", "restarted", "leaving", "gone", "updated"};
    const std::vector<EndpointChange> changes = this->directory.takeChanges();
    if (changes.empty())
        return;
    this->originLookup.onDirectory(this->directory, monoNow());
    this->applyUnregisteredBuilds();
    if (this->serviceRollouts)
        this->serviceRollouts->onDirectory(this->directory, monoNow());
    for (const EndpointChange &change : changes) {
        this->selector.onChange(change);
        const bool isIncarnationOver = change.kind == EndpointChange::Kind::Gone
            || change.kind == EndpointChange::Kind::Restarted;
        if (isIncarnationOver)
            this->context.client.closeIdleConnections(change.entry.address);
        logEvent(LogLevel::Info, "endpoint",
                 {{"endpoint", change.entry.id},
                  {"change", ChangeNames.at(static_cast<std::size_t>(change.kind))},
                  {"service", change.entry.service},
                  {"build", change.entry.build},
                  {"zone", change.entry.zone},
                  {"revision", counterOf(this->directory.revision())},
                  {"era", eraOf(this->directory.revision())}});
    }
}

void ForwardDaemon::applyUnregisteredBuilds()
{
    for (const std::string &service : this->originLookup.services())
        this->selector.setUnregisteredBuilds(service, this->originLookup.unregistered(service));
}

void ForwardDaemon::applyServiceOrder(const ObjectEvent &event)
{
    if (!this->serviceRollouts || event.isDeleted)
        return;
    const auto read = toOutcome([&] { return this->adapter.readServiceOrder(event.object); });
    if (const auto *order = std::get_if<ServiceOrder>(&read))
        return this->serviceRollouts->onOrder(event.object, *order, monoNow());
    logEvent(LogLevel::Warning, "service_order_malformed",
             {{"name", event.object.name}, {"detail", std::get<Error>(read).detail}});
}

void ForwardDaemon::startServiceRollouts()
{
    const proto::ProcessId &self = this->fleet.ownProcess();
    ServiceRolloutSettings rolloutSettings{{self.name(), self.incarnation()},
                                           this->settings.rollouts->exposureShare,
                                           this->settings.rollouts->exposureSlack};
    this->serviceRollouts = std::make_unique<ServiceRolloutController>(
        this->adapter, this->store, this->selector,
        Lease(self.name(), self.incarnation(), this->leaseTimings()), std::move(rolloutSettings),
        [this](const proto::RolloutNews &news) { this->fleet.broadcast(news); });
    this->fleet.handleRollouts(
        [this](const proto::ProcessId &from, const proto::RolloutNews &news) {
            this->serviceRollouts->onNews(from, news, monoNow());
        });
    this->context.rollouts = this->serviceRollouts->hooks();
}

void ForwardDaemon::applyWeights(const StoredObject &object)
{
    const NameSource source = this->storeReplica.hasList(ObjectKind::Weights)
        ? NameSource::Change
        : NameSource::FirstList;
    if (this->weightsNames.onObject(object, source, this->settings.bounds.oldWeightsTimeout,
                                    monoNow()))
        this->applyNamedWeights();
}

void ForwardDaemon::applyNamedWeights()
{
    this->rollout.setNamedWeights(this->context.namedWeights);
    this->forwarder.onWeightsNamed();
}

void ForwardDaemon::applyLoadNews(const proto::LoadNews &news)
{
    const MonoTime now = monoNow();
    this->loadMonitor.onLoadNews(news, now);
    if (this->backlogExchange)
        this->backlogExchange->onLoadNews(news, now);
    for (const proto::EngineLoad &load : news.loads()) {
        if (load.avoid_ms() == 0)
            this->crashMonitor.onEndpointAlive({load.endpoint(), load.born_ms()}, now);
    }
}

} // namespace lavenderhall
