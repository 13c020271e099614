#include "router/daemon.h"

#include "base/digest.h"
#include "router/listenerstart.h"
#include "router/requestmemory.h"

#include <algorithm>
#include <csignal>

namespace lavenderhall {

namespace {

// Without the slack of 20 retries, an instance with little traffic could not repeat any request.
constexpr RetryBudgetSettings RouterRetryBudget{0.2, 20, Millis(10'000), 1};
constexpr std::size_t TimelineCapacity = 20'000; ///< events
constexpr const char *InstanceListObject = "platform/instances";
constexpr Millis InstanceListWait = std::chrono::seconds(30); ///< of one watch of the list
constexpr Millis RetryDelay{1000}; ///< before the store is asked again for the instance list
constexpr std::uint32_t RetryJitterMillis = 1000;
constexpr Millis LoadInterval{1000}; ///< between polls of the engines' loads
constexpr Millis LoadTimeout{1000};
constexpr std::size_t MaxHistoryBlocks = 50'000;
constexpr Millis HistoryRetention{30'000}; ///< assumed time for which engines cache a prefix
constexpr Millis HandoverTimeout{3000}; ///< for the handover of seats during a drain
// For callers that read their last answers slowly. Longer than a connection that is closed is kept
// for that, see http/socket.cpp.
constexpr Millis FlushTime{16'000};

DrainTimings drainTimings(const Settings &settings)
{
    DrainTimings timings;
    timings.beginTime = settings.drainTimeout;
    timings.answerTime = settings.drainTimeout;
    timings.stopTime = settings.drainTimeout + FlushTime;
    return timings;
}

/// Returns whether \a response, which is no answer to a request of a caller, is a load report.
bool isLoadReport(const http::Response &response)
{
    return response.status == 200 && readJson(response.body).contains("incarnation");
}

LoadReport readLoadReport(const Json &json)
{
    LoadReport report;
    report.incarnation = findInteger(json, "incarnation");
    report.running = findInteger(json, "running");
    report.waiting = findInteger(json, "waiting");
    report.cachedBlocks = findInteger(json, "cached_blocks");
    const auto loaded = json.find("loaded");
    for (const Json &entry : loaded != json.end() ? *loaded : Json::array()) {
        if (entry.is_string())
            report.loaded.insert(entry.get<std::string>());
    }
    return report;
}

} // namespace

Daemon::Daemon(http::Loop &loop, Settings initialSettings)
    : loop(loop)
    , settings(std::move(initialSettings))
    , descriptors(prepareDescriptors(this->settings.maxDescriptors))
    , timeline(this->settings.instance, TimelineCapacity)
    , endpointClient(this->loop)
    , store(this->loop, this->settings.store)
    , configLoader(
          this->loop, this->store,
          [this](const ActiveConfigPtr &config) { this->onConfig(config); },
          [this](const std::string &reason) {
              this->configRefusal = reason;
              logEvent(LogLevel::Error, "config_refused", {{"reason", reason}});
              this->timeline.add(EventKind::ConfigRefused, "", "", {{"reason", reason}});
          },
          randomSeed())
    , fleet(this->loop, this->settings,
            {[this] { return this->configLoader.storeOutageDuration(); },
             [this](const std::string &object, const StoreHandler &handler) {
                 this->store.read(object, handler);
             },
             [this](const std::string &object, std::string text, std::int64_t expected,
                    const StoreHandler &handler) {
                 this->store.write(object, std::move(text), expected, handler);
             }},
            this->configLoader.replicatedConfig(), this->timeline, this->metrics)
    , context{this->loop,
              this->endpointClient,
              this->settings,
              this->timeline,
              this->metrics,
              this->fleet,
              this->store,
              {},
              PrefixHistory(MaxHistoryBlocks, HistoryRetention),
              RetryBudget(RouterRetryBudget),
              {},
              {},
              {}}
    , gateway(this->context)
    , processWatch(this->loop, this->metrics,
                   [this] {
                       return ServedLoad{this->gateway.openCalls(),
                                         this->callerServer ? this->callerServer->connectionCount()
                                                            : 0};
                   })
    , random(randomSeed())
    , gracefulStop(this->loop, this->context.drain, this->stopHooks())
{ }

// Requests in progress refer to the members.
Daemon::~Daemon()
{
    this->gateway.stopAll();
}

AdminHooks Daemon::adminHooks()
{
    AdminHooks hooks;
    hooks.isReady
        = [this] { return this->context.config && !this->isDraining() && !this->fleet.isCutOff(); };
    hooks.status = [this] { return this->status(); };
    hooks.drain = [this] { this->drain("operator", monoNow()); };
    hooks.updateGauges = [this] {
        this->metrics.setOpenRequests(static_cast<double>(this->gateway.openCalls()),
                                      static_cast<double>(this->gateway.backlogBytes()));
        if (this->callerServer)
            this->metrics.setRefusedConnections("callers",
                                                this->callerServer->refusedConnections());
        this->metrics.setStoreCalls(static_cast<double>(this->store.callCount()));
        this->fleet.updateMetrics();
        this->processWatch.updateMetrics();
    };
    return hooks;
}

void Daemon::openCallerServer()
{
    http::ServerLimits limits
        = http::limitsWithMaxBody(static_cast<std::size_t>(this->settings.maxBodyBytes));
    limits.maxConnections = std::min(static_cast<std::size_t>(this->settings.maxConnections),
                                     this->descriptors.callers);
    this->endpointClient.setMaxConnections(this->descriptors.endpoints);
    this->fleet.setMaxPeerConnections(this->descriptors.peers);
    this->callerServer = std::make_unique<http::Server>(
        this->loop, this->settings.listen, limits,
        [this](const http::ExchangePtr &exchange) { this->gateway.onRequest(exchange); });
    returnLargeBlocks();
    this->callerServer->setMemoryBudget(makeMemoryBudget(
        requestMemoryLimit(this->settings.memoryMegabytes, readProcessState().maxAddressBytes)));
}

// The peer address is bound last and before any decision is made. Then an earlier process with the
// same address is no longer running.
bool Daemon::openListeners()
{
    const auto openOne = [this](std::string_view listener, const std::function<void()> &open) {
        return openWhenFree(this->loop, listener, open, [this] { return this->isDraining(); });
    };
    const auto openAdmin = [this] {
        this->admin
            = std::make_unique<Admin>(this->loop, this->settings.admin, this->timeline,
                                      this->metrics, this->adminHooks(), this->descriptors.admin);
    };
    return openOne("admin", openAdmin) && openOne("callers", [this] { this->openCallerServer(); })
        && openOne("peer", [this] { this->fleet.start(); });
}

bool Daemon::start()
{
    this->startedAt = monoNow();
    if (!this->openListeners())
        return false;
    this->isStarted = true;
    this->timeline.add(EventKind::ProcessStarted, "", "", {{"version", LAVENDERHALL_VERSION}});
    logEvent(LogLevel::Info, "started",
             {{"listen", this->settings.listen.toString()},
              {"admin", this->settings.admin.toString()},
              {"region", this->settings.region}});
    this->processWatch.start();
    this->configLoader.start();
    this->watchInstances();
    this->pollLoads();
    return true;
}

int Daemon::run()
{
    this->loop.onStopSignals([this](int signal) { this->onStopSignal(signal); });
    this->loop.onSignal(SIGHUP, [] { logEvent(LogLevel::Warning, "settings_not_reloaded"); });
    if (!this->start()) {
        answerAndClose(this->loop, this->callerServer.get());
        return 0;
    }
    this->loop.run();
    this->timeline.add(EventKind::ProcessStopped, "", "");
    this->gracefulStop.logEnd();
    return this->gateway.openCalls() == 0 ? 0 : 1;
}

StopHooks Daemon::stopHooks()
{
    StopHooks hooks;
    hooks.openRequests = [this] { return this->gateway.openCalls(); };
    hooks.hasHandedOver = [this] {
        const MonoTime drainBeganAt = this->context.drain.beganAt().value_or(monoNow());
        return this->fleet.hasLeft() || monoNow() - drainBeganAt > HandoverTimeout;
    };
    hooks.loopLag = [this] { return this->processWatch.maxLoopLag(); };
    hooks.endRequests = [this] { this->gateway.stopAll(); };
    return hooks;
}

// Another signal or an operator may have asked for the stop before.
void Daemon::onStopSignal(int signal)
{
    if (this->isDraining())
        return this->gracefulStop.onSignalRepeated(signal);
    this->drain(http::stopSignalName(signal), this->loop.signalSentSince());
}

void Daemon::drain(const char *cause, MonoTime askedAt)
{
    if (this->isDraining())
        return;
    const DrainTimings timings = drainTimings(this->settings);
    if (!this->isStarted) {
        this->context.drain.begin(timings, askedAt);
        return this->loop.stop();
    }
    this->fleet.leave();
    this->timeline.add(EventKind::DrainBegan, "", "", {{"open_calls", this->gateway.openCalls()}});
    this->gracefulStop.addServer(*this->callerServer);
    this->gracefulStop.begin(timings, cause, askedAt);
}

void Daemon::onConfig(const ActiveConfigPtr &config)
{
    this->configRefusal.clear();
    this->metrics.setConfigVersion(static_cast<double>(config->root.version));
    this->timeline.add(EventKind::ConfigInForce, "", "",
                       {{"version", config->root.version}, {"change", config->root.changeId}});
    logEvent(LogLevel::Info, "config_in_force",
             {{"version", config->root.version},
              {"change", config->root.changeId},
              {"author", config->root.author}});
    this->gateway.onConfig(config);
    this->fleet.onConfig(config->root.version, config->document.regions,
                         config->document.organisations);
}

void Daemon::watchInstances()
{
    this->store.watch(InstanceListObject, this->instanceListVersion, InstanceListWait,
                      [this](const StoreReply &reply) { this->onInstanceList(reply); });
}

void Daemon::onInstanceList(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Unchanged)
        return this->watchInstances();
    if (reply.status != StoreStatus::Ok) {
        this->instanceTimer = this->loop.after(RetryDelay + Millis(this->random(RetryJitterMillis)),
                                               [this] { this->watchInstances(); });
        return;
    }
    this->instanceListVersion = reply.version;
    const Json json = readJson(reply.body);
    std::set<std::string> leaving;
    std::vector<Address> peers;
    for (const Json &entry : json.is_array() ? json : Json::array()) {
        const bool isLeaving = findText(entry, "state") == "leaving";
        const std::string host = findText(entry, "peer_host");
        const std::int64_t port = findInteger(entry, "peer_port");
        if (isLeaving)
            leaving.insert(findText(entry, "name"));
        else if (isIpAddress(host) && port > 0 && port <= UINT16_MAX)
            peers.push_back({host, static_cast<std::uint16_t>(port)});
    }
    this->fleet.addSeeds(peers);
    this->context.endpointTable.setLeaving(leaving);
    for (const std::string &name : leaving)
        this->timeline.add(EventKind::EndpointLeaving, "", "", {{"endpoint", name}});
    this->watchInstances();
}

void Daemon::pollLoads()
{
    this->gateway.checkCutOff();
    for (const auto &[name, view] : this->context.endpointTable.all()) {
        if (view.endpoint.kind == EndpointKind::Engine && !this->pendingLoadPolls.contains(name))
            this->pollLoad(view);
    }
    this->loadTimer = this->loop.after(LoadInterval, [this] { this->pollLoads(); });
}

void Daemon::pollLoad(const EndpointView &view)
{
    const std::string name = view.endpoint.name;
    this->pendingLoadPolls.insert(name);
    http::CallRequest request;
    request.to = view.endpoint.address;
    request.path = "/v1/load";
    request.headTimeout = LoadTimeout;
    request.headers = {{"authorization", "Bearer " + this->settings.engineCredential}};
    const auto onAnswer = [this, name, address = view.endpoint.address](
                              const http::Response *response, const http::CallFailure &) {
        this->pendingLoadPolls.erase(name);
        if (!response)
            return;
        // The copy of an answer to a request; the answers on its connection belong to other calls.
        if (!http::findHeader(response->headers, RequestIdHeader).empty())
            return this->endpointClient.closeIdleConnections(address);
        if (!isLoadReport(*response))
            return;
        const LoadReport report = readLoadReport(readJson(response->body));
        if (this->context.endpointTable.onLoadReport(name, report, monoNow()))
            this->context.history.onCacheLost(name);
    };
    http::startBuffered(this->endpointClient, std::move(request), onAnswer);
}

Json Daemon::status() const
{
    const MonoTime now = monoNow();
    Json endpointList = Json::array();
    for (const auto &[name, view] : this->context.endpointTable.all()) {
        Json entry{{"name", name},
                   {"kind", toString(view.endpoint.kind)},
                   {"region", view.endpoint.region},
                   {"state", toString(view.state(now))},
                   {"in_flight", view.inFlight}};
        if (view.load) {
            entry["running"] = view.load->running;
            entry["waiting"] = view.load->waiting;
            entry["cached_blocks"] = view.load->cachedBlocks;
            entry["loaded"] = view.load->loaded;
        }
        endpointList.push_back(std::move(entry));
    }
    const ActiveConfigPtr &config = this->context.config;
    return {{"instance", this->settings.instance},
            {"region", this->settings.region},
            {"zone", this->settings.zone},
            {"version", LAVENDERHALL_VERSION},
            {"state",
             this->isDraining() ? "draining"
                 : config       ? "ready"
                                : "starting"},
            {"uptime_ms", std::chrono::duration_cast<Millis>(now - this->startedAt).count()},
            {"config",
             {{"version", config ? config->root.version : 0},
              {"change", config ? config->root.changeId : ""},
              {"refused", this->configRefusal}}},
            {"store",
             {{"silent_ms", this->configLoader.storeOutageDuration().count()},
              {"calls", this->store.callCount()}}},
            {"open_requests", this->gateway.openCalls()},
            {"endpoints", std::move(endpointList)}};
}

} // namespace lavenderhall
