#pragma once

#include "base/descriptorplan.h"
#include "drain/gracefulstop.h"
#include "router/admin.h"
#include "router/configloader.h"
#include "router/gateway.h"
#include "router/processwatch.h"

#include <memory>
#include <set>

/// One instance of the router in the OpenAI dialect, from start to graceful stop.
namespace lavenderhall {

/// Owns all parts of the instance and connects them.
class Daemon
{
public:
    Daemon(http::Loop &loop, Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts to serve on the loop, which the caller runs. Runs the loop while addresses are still
    /// in use; returns false if the instance was stopped meanwhile. Throws ListenError if an
    /// address cannot be bound for good.
    bool start();
    /// Serves until a signal or an operator stops the instance. Returns the exit code: 0 if all
    /// calls have ended, otherwise 1.
    int run();
    /// Starts a graceful stop: the instance is no longer ready, new requests are refused, and those
    /// in progress finish. Then the loop is stopped. The stop was asked for at \a askedAt or later.
    /// \a cause is for the log.
    void drain(const char *cause = "operator", MonoTime askedAt = monoNow());
    std::int64_t configVersion() const { return this->configLoader.tracker().activeVersion(); }
    const TimelineRing &events() const { return this->timeline; }
    std::size_t peerCount() const { return this->fleet.peerCount(); }
    /// Bytes of answers that callers have not read yet.
    std::size_t backlogBytes() const { return this->gateway.backlogBytes(); }
    std::string metricsText() const { return this->metrics.toText(); }

private:
    AdminHooks adminHooks();
    /// Opens all listening sockets, and waits while their addresses are in use. Returns false if
    /// the instance was stopped meanwhile.
    bool openListeners();
    void openCallerServer();
    void onConfig(const ActiveConfigPtr &config);
    void watchInstances();
    void onInstanceList(const StoreReply &reply);
    void pollLoads();
    void pollLoad(const EndpointView &view);
    bool isDraining() const { return this->context.drain.beganAt().has_value(); }
    StopHooks stopHooks();
    void onStopSignal(int signal);
    Json status() const;

    http::Loop &loop;
    Settings settings;
    const DescriptorPlan descriptors;
    TimelineRing timeline;
    Metrics metrics;
    http::Client endpointClient;
    StoreClient store;
    ConfigLoader configLoader;
    Fleet fleet;
    RouterContext context;
    Gateway gateway;
    ProcessWatch processWatch;
    std::unique_ptr<Admin> admin;
    std::unique_ptr<http::Server> callerServer;
    std::set<std::string> pendingLoadPolls; ///< endpoints whose load has been requested
    std::int64_t instanceListVersion = 0;
    pcg32 random;
    http::Timer instanceTimer;
    http::Timer loadTimer;
    std::string configRefusal; ///< why the latest configuration was refused, "" if it was not
    bool isStarted = false;
    MonoTime startedAt{};
    GracefulStop gracefulStop;
};

} // namespace lavenderhall
