#pragma once

#include "balance/backlogexchange.h"
#include "base/descriptorplan.h"
#include "base/logratelimiter.h"
#include "canary/controller.h"
#include "drain/gracefulstop.h"
#include "forward/crashmonitor.h"
#include "forward/forwarder.h"
#include "forward/loadmonitor.h"
#include "forward/originlookup.h"
#include "forward/ratelimiter.h"
#include "forward/rolloutcontroller.h"
#include "forward/storereplica.h"
#include "router/admin.h"
#include "router/processwatch.h"
#include "router/settings.h"
#include "timeline/ring.h"
#include "weights/historyexchange.h"
#include "weights/nametracker.h"

#include <memory>
#include <string>

/// One instance that serves the forward dialect, from its start to its graceful stop.
namespace lavenderhall {

/// Connects the forwarder, the replica of the store's objects, the fleet and the admin servers.
class ForwardDaemon
{
public:
    ForwardDaemon(http::Loop &loop, Settings settings, std::string settingsFile,
                  const PlatformAdapter &adapter);
    ~ForwardDaemon();
    ForwardDaemon(const ForwardDaemon &) = delete;
    ForwardDaemon &operator=(const ForwardDaemon &) = delete;

    /// Serves until a signal or an operator stops it. Returns the exit code. Throws ListenError if
    /// an address cannot be bound for good.
    int run();
    /// Starts to serve on the loop, which the caller has to run. Runs the loop while addresses are
    /// still in use; returns false if the instance was stopped meanwhile.
    bool start();
    /// Starts a graceful stop: reports itself as not ready, and serves requests until the balancer
    /// has noticed. The stop was asked for at \a askedAt or later. \a cause is for the log.
    void drain(const char *cause, MonoTime askedAt);

private:
    static constexpr double RejectionLinesPerSecond = 5;
    static constexpr double RejectionLinesBurst = 20;

    StoreReplicaHandlers storeReplicaHandlers();
    EngineBroadcast engineBroadcast();
    CrashMonitorHooks crashMonitorHooks();
    LimitMonitorHooks limitMonitorHooks();
    LimitMessageHandlers limitMessageHandlers();
    StreamOriginHooks streamOriginHooks();
    ExchangeHooks exchangeHooks();
    /// Begins to balance the load of engines, see docs/design/even-load.md.
    void balanceLoad();
    AdminHooks adminHooks();
    void updateWaitingGauges();
    /// Opens all listening sockets but that for metrics, and waits while their addresses are in
    /// use. Returns false if the instance was stopped meanwhile.
    bool openListeners();
    std::unique_ptr<http::Server> openServer(const Address &listen, RequestSource source);
    /// Opens the listening socket for metrics, or tries again later.
    void openMetrics();
    std::vector<Address> relayInstances() const;
    /// Applies the builds that no request should go to yet.
    void applyUnregisteredBuilds();
    /// Handles loads that other instances have requested, and what comes with them.
    void applyLoadNews(const proto::LoadNews &news);
    void applyEvent(ObjectKind kind, const ObjectEvent &event);
    void applyConfiguration(const StoredObject &object);
    void applyTable(const Json &content, std::int64_t revision);
    void applyEndpoint(const StoredObject &object);
    void applyDirectoryChanges();
    void applyWeights(const StoredObject &object);
    /// It has become known that weights were named, or when.
    void applyNamedWeights();
    HistoryExchangeHooks historyExchangeHooks();
    WeightsHistoryHandlers weightsHistoryHandlers();
    void applyServiceOrder(const ObjectEvent &event);
    /// Connects requests and instances with the rollouts of services, if there are any.
    void startServiceRollouts();
    LeaseTimings leaseTimings() const;
    /// Returns how long a rollout makes no progress until this instance tries to take it over.
    Millis rolloutTakeoverDelay() const;
    /// The same for rollouts of services.
    Millis serviceTakeoverDelay() const;
    /// Writes the answer to a request that a server refuses by itself.
    http::Response writeServerRefusal(int status, std::string_view reason,
                                      const http::Request &received);
    /// Counts and logs a request that the HTTP server has refused by itself.
    void recordRejection(const ForwardRefusal &refusal, const std::string &requestId);
    void recordMemoryRefusal();
    void tick(); ///< called periodically
    StopHooks stopHooks();
    void onStopSignal(int signal);
    bool isDraining() const { return this->context.drain.beganAt().has_value(); }
    void reloadSettings(const char *cause);
    void applySettings();
    Json status() const;

    http::Loop &loop;
    Settings settings;
    const DescriptorPlan descriptors;
    const std::string settingsFile;
    std::string settingsText;
    const PlatformAdapter &adapter;
    TimelineRing timeline;
    Metrics metrics;
    ObjectClient store;
    EndpointDirectory directory;
    EndpointSelector selector;
    RetryBudget budget;
    CrashMonitor crashMonitor;
    LimitMonitor limitMonitor;
    OriginLookup originLookup;
    AdmissionControl admissionControl; ///< used where the platform's features call for it
    ForwardContext context;
    NameTracker weightsNames;
    HistoryExchange historyExchange;
    Forwarder forwarder;
    RolloutController rollout;
    StoreReplica storeReplica;
    Fleet fleet;
    RateLimiter rateLimiter;
    std::unique_ptr<ServiceRolloutController> serviceRollouts; ///< nullptr without rollouts
    LoadMonitor loadMonitor;
    std::optional<BacklogExchange> backlogExchange; ///< set where the load is balanced
    ProcessWatch processWatch;
    http::MemoryBudgetPtr requestMemory; ///< of the servers
    std::uint64_t memoryRefusals = 0; ///< since the last log line about them
    MonoTime nextMemoryLine{};
    LogRateLimiter rejectionLines{RejectionLinesPerSecond, RejectionLinesBurst};
    std::unique_ptr<Admin> admin;
    std::unique_ptr<Admin> metricsServer;
    std::unique_ptr<http::Server> callers;
    std::unique_ptr<http::Server> relayServer; ///< for requests that other instances relay
    GracefulStop gracefulStop;
    std::int64_t tableRevision = 0;
    http::Timer tickTimer;
    http::Timer metricsTimer;
    http::Timer settingsTimer;
    Millis takeoverJitter{0}; ///< random part of the takeover delay of the rollout
    std::size_t fleetSize = 0; ///< upper bound on the instances among which budgets are divided
    bool isStarted = false;
    bool isMetricsMissing = false; ///< the listening socket for metrics could not be opened so far
};

} // namespace lavenderhall
