#pragma once

#include "forward/followed.h"
#include "forward/forwarder.h"
#include "forward/loadwatch.h"
#include "forward/rates.h"
#include "forward/rollout.h"
#include "router/admin.h"
#include "router/settings.h"
#include "timeline/ring.h"

#include <memory>
#include <string>

/// One instance in the forward dialect: its tasks, from start to graceful stop.
namespace lavenderhall {

class ForwardDaemon
{
public:
    /// Throws std::runtime_error when an address cannot be bound.
    ForwardDaemon(http::Loop &loop, Settings settings, std::string settingsFile,
                  const PlatformAdapter &adapter);

    /// Serves until a signal or an operator stops it; returns the exit code.
    int run();
    /// Begins to serve on the loop, which the caller runs.
    void start();
    /// Starts a graceful stop: readiness off, requests go on until the balancer has noticed.
    void drain();

private:
    FollowedHandlers followedHandlers();
    EngineTelling engineTelling();
    void apply(ObjectKind kind, const ObjectEvent &event);
    void offerTable(const Json &content, std::int64_t revision);
    void putEndpoint(const StoredObject &object);
    void applyDirectoryChanges();
    void putWeights(const StoredObject &object);
    void tick();
    void checkDrained();
    void reloadSettings(const char *cause);
    void applySettings();
    Json status() const;

    http::Loop &loop;
    Settings settings;
    const std::string settingsFile;
    std::string settingsText;
    const PlatformAdapter &adapter;
    TimelineRing timeline;
    Metrics metrics;
    ObjectClient store;
    EndpointDirectory directory;
    LoadBook loads;
    RetryBudget budget;
    ForwardContext context;
    Forwarder forwarder;
    Rollout rollout;
    FollowedObjects followed;
    Fleet fleet;
    Rates rates;
    LoadWatch loadWatch;
    std::unique_ptr<Admin> admin;
    std::unique_ptr<Admin> metricsServer;
    std::unique_ptr<http::Server> callers;
    std::int64_t tableRevision = 0;
    http::Timer tickTimer;
    http::Timer settingsTimer;
    http::Timer drainTimer;
    Millis patience{0}; ///< before this instance takes up the rollout
    std::size_t instances = 0; ///< among which the fleet's shares are divided
    MonoTime drainBeganAt{};
    bool isDraining = false;
    bool isRefusing = false; ///< the balancer has turned away, what still comes is refused
};

} // namespace lavenderhall
