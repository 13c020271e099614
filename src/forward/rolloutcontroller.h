#pragma once

#include "forward/enginecalls.h"
#include "rollout/candidacy.h"
#include "rollout/lease.h"
#include "rollout/planner.h"
#include "routing/endpointreach.h"

#include <functional>
#include <memory>

/// Rolls out the weights that the operators have named to the engines: executes the actions of the
/// lease and of the planner.
namespace lavenderhall {

class RolloutController
{
public:
    RolloutController(http::Loop &loop, const PlatformAdapter &adapter, ObjectClient &store,
                      EndpointSelector &selector, const EndpointReach &reach, Lease lease,
                      RolloutTimings timings);
    ~RolloutController() { *this->alive = false; }

    /// Sets the target version of each model: the one that the engines are to load.
    void setNamedWeights(const WeightsHistories &histories)
    {
        this->planner.setNamedWeights(histories);
    }
    /// Sets how the other instances are told that an engine is about to change its weights, or has
    /// changed them.
    void setBroadcast(EngineBroadcast broadcast) { this->broadcast = std::move(broadcast); }
    /// Sets how long this instance waits for others to make progress with outdated engines before
    /// it requests the lease itself.
    void setTakeoverDelay(Millis delay) { this->candidacy.setTakeoverDelay(delay); }
    /// Renews the lease if needed and executes the next steps; to be called periodically.
    void onTick(const EndpointDirectory &directory, MonoTime now);
    /// Sends no more orders, and no longer requests the lease.
    void stop() { this->isStopped = true; }

private:
    CandidacyInput candidacyInput(const EndpointDirectory &directory, MonoTime now) const;
    /// Records whether a call reached the engine.
    void recordReach(const RegisteredEndpoint &engine, bool isReached);
    void callStore(const LeaseAction &action);
    void carryOut(const RolloutAction &action);
    void requestReport(const RegisteredEndpoint &engine);
    void onReport(const RegisteredEndpoint &engine, const EngineReport &report);
    void sendOrder(const RegisteredEndpoint &engine, WeightsOrder order);

    const PlatformAdapter &adapter;
    ObjectClient &store;
    EndpointSelector &selector;
    const EndpointReach &reach; ///< by callers' requests and reports of loads
    EndpointReach orderReach; ///< by orders and by the reports that they need
    http::Client client;
    Lease lease;
    LeaseCandidacy candidacy;
    RolloutPlanner planner;
    EngineBroadcast broadcast;
    bool wasHeld = false;
    bool isStopped = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
