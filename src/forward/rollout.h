#pragma once

#include "forward/enginecalls.h"
#include "rollout/lease.h"
#include "rollout/planner.h"

#include <functional>
#include <memory>

/// Brings engines to the weights that the operators have named: carries out what the lease and
/// the planner decide.
namespace lavenderhall {

class Rollout
{
public:
    Rollout(http::Loop &loop, const PlatformAdapter &adapter, ObjectClient &store, LoadBook &loads,
            Lease lease, RolloutTimings timings);
    ~Rollout() { *this->alive = false; }

    void setWanted(const std::map<std::string, std::int64_t> &versions)
    {
        this->planner.setWanted(versions);
    }
    /// How the other instances hear that an engine is about to change its weights, or has.
    void setTelling(EngineTelling how) { this->telling = std::move(how); }
    /// How long this instance leaves the duty to those before it, once there is work.
    void setPatience(Millis patience) { this->patience = patience; }
    void onTick(const EndpointDirectory &directory, MonoTime now);
    /// Gives no more orders.
    void stop() { this->isStopped = true; }

private:
    void callStore(const LeaseAction &action);
    void carryOut(const RolloutAction &action);
    void askReport(const RegisteredEndpoint &engine);
    void onReport(const RegisteredEndpoint &engine, const EngineReport &report);
    void giveOrder(const RegisteredEndpoint &engine, WeightsOrder order);

    const PlatformAdapter &adapter;
    ObjectClient &store;
    LoadBook &loads;
    http::Client client;
    Lease lease;
    RolloutPlanner planner;
    EngineTelling telling;
    Millis patience{0};
    MonoTime workSince{};
    std::size_t outdatedCount = 0;
    bool wasHeld = false;
    bool isStopped = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
