#pragma once

#include "forward/enginecalls.h"
#include "rollout/lease.h"
#include "rollout/planner.h"

#include <functional>
#include <memory>

/// Brings engines to the weights that the operators have named: carries out what the lease and
/// the planner decide.
namespace lavenderhall {

class RolloutController
{
public:
    RolloutController(http::Loop &loop, const PlatformAdapter &adapter, ObjectClient &store,
                      EndpointSelector &selector, Lease lease, RolloutTimings timings);
    ~RolloutController() { *this->alive = false; }

    void setWanted(const std::map<std::string, std::int64_t> &versions)
    {
        this->planner.setWanted(versions);
    }
    /// How the other instances hear that an engine is about to change its weights, or has.
    void setBroadcast(EngineBroadcast how) { this->broadcast = std::move(how); }
    /// How long this instance leaves the duty to those before it, once there is work.
    void setTakeoverDelay(Millis takeoverDelay) { this->takeoverDelay = takeoverDelay; }
    void onTick(const Roster &roster, MonoTime now);
    /// Gives no more orders.
    void stop() { this->isStopped = true; }

private:
    void callStore(const LeaseAction &action);
    void carryOut(const RolloutAction &action);
    void requestReport(const RosterEntry &engine);
    void onReport(const RosterEntry &engine, const EngineReport &report);
    void sendOrder(const RosterEntry &engine, WeightsOrder order);

    const PlatformAdapter &adapter;
    ObjectClient &store;
    EndpointSelector &selector;
    http::Client client;
    Lease lease;
    RolloutPlanner planner;
    EngineBroadcast broadcast;
    Millis takeoverDelay{0};
    MonoTime outdatedSince{};
    std::size_t outdatedCount = 0;
    bool wasHeld = false;
    bool isStopped = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
