#pragma once

#include "forward/forwarder.h"
#include "forward/rollout.h"
#include "limits/allowance.h"
#include "router/admin.h"
#include "router/fleet.h"
#include "router/settings.h"
#include "store/kindfeed.h"
#include "store/mirror.h"
#include "timeline/ring.h"

#include <array>
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
    /// The kinds of objects that this instance follows and shares with the others.
    enum Followed : std::size_t { Configuration, Endpoints, Weights, FollowedCount };

    const std::string &kindName(std::size_t kind) const;
    FeedHandlers feedHandlers(std::size_t kind);
    void onListed(std::size_t kind, const std::vector<StoredObject> &objects, std::int64_t revision,
                  bool wasAway);
    void onEvents(std::size_t kind, const std::vector<ObjectEvent> &events);
    void apply(std::size_t kind, const ObjectEvent &event);
    ObjectSharing objectSharing();
    SeatStore seatStore();
    TokensGate tokensGate();
    void onNotice(const proto::WeightsNotice &notice);
    void offerTable(const Json &content, std::int64_t revision);
    void shareLimits(const TableContent &content);
    void putEndpoint(const StoredObject &object);
    void applyRosterChanges();
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
    Roster roster;
    LoadBook loads;
    RetryBudget budget;
    ForwardContext context;
    Forwarder forwarder;
    Rollout rollout;
    Fleet fleet;
    AllowanceSettings tolerance;
    Allowance allowance{monoNow()};
    std::array<ObjectMirror, FollowedCount> mirrors;
    std::vector<std::unique_ptr<KindFeed>> feeds; ///< one for each followed kind
    std::unique_ptr<Admin> admin;
    std::unique_ptr<Admin> metricsServer;
    std::unique_ptr<http::Server> callers;
    std::int64_t tableRevision = 0;
    http::Timer tickTimer;
    http::Timer settingsTimer;
    http::Timer drainTimer;
    MonoTime startedAt{};
    MonoTime drainBeganAt{};
    bool isDraining = false;
    bool isRefusing = false; ///< the balancer has turned away, what still comes is refused
};

} // namespace lavenderhall
