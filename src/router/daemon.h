#pragma once

#include "router/admin.h"
#include "router/configfeed.h"
#include "router/gateway.h"

#include <memory>
#include <set>

/// One instance of the router: its tasks, from start to graceful stop.
namespace lavenderhall {

class Daemon
{
public:
    /// Throws std::runtime_error when an address cannot be bound.
    Daemon(http::Loop &loop, Settings settings);

    /// Begins to serve on the loop, which the caller runs.
    void start();
    /// Serves until a signal or an operator stops it; returns the exit code.
    int run();
    /// Starts a graceful stop: readiness off, no new requests, those in progress finish. The
    /// loop is stopped at the end of it.
    void drain();
    std::int64_t configVersion() const { return this->feed.tracker().activeVersion(); }
    const TimelineRing &events() const { return this->timeline; }
    std::size_t peerCount() const { return this->fleet.peerCount(); }
    std::size_t backlogBytes() const { return this->gateway.backlogBytes(); }
    std::string metricsText() const { return this->metrics.toText(); }

private:
    void onConfig(const ActiveConfigPtr &config);
    void watchInstances();
    void onInstanceList(const StoreReply &reply);
    void pollLoads();
    void pollLoad(const EndpointView &view);
    void checkDrained();
    Json status() const;

    http::Loop &loop;
    Settings settings;
    TimelineRing timeline;
    Metrics metrics;
    http::Client endpoints;
    StoreClient store;
    ConfigFeed feed;
    Fleet fleet;
    RouterContext context;
    Gateway gateway;
    std::unique_ptr<Admin> admin;
    std::unique_ptr<http::Server> callers;
    std::set<std::string> polling;
    std::int64_t instanceListVersion = 0;
    pcg32 random;
    http::Timer instanceTimer;
    http::Timer loadTimer;
    http::Timer drainTimer;
    http::Timer drainDeadline;
    std::string configRefusal;
    MonoTime startedAt{};
    MonoTime drainBeganAt{};
};

} // namespace lavenderhall
