#pragma once

#include "canary/rollout.h"
#include "canary/versions.h"
#include "forward/adapter.h"
#include "forward/endpointselector.h"
#include "proto/peer.pb.h"
#include "rollout/lease.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// Carries out the operators' orders to move services to other versions, together with the other
/// instances.
namespace lavenderhall {

/// What stays the same for all rollouts of an instance.
struct ServiceRolloutSettings
{
    CountSender self;
    double exposureShare = 0;
    std::int64_t exposureSlack = 0; ///< of all instances together
};

/// What changes from tick to tick.
struct ServiceRolloutTick
{
    Millis takeoverDelay{0}; ///< without a holder, until this instance requests the lease
    std::size_t instanceCount = 1; ///< among which the slack is divided
    bool areOrdersKnown = false; ///< whether a complete list of the orders has been received
};

/// Reads and writes the orders' objects, exchanges news with the other instances, and answers where
/// requests may go.
class ServiceRolloutController
{
public:
    using Broadcast = std::function<void(const proto::RolloutNews &news)>;

    ServiceRolloutController(const PlatformAdapter &adapter, ObjectClient &store,
                             EndpointSelector &selector, Lease lease,
                             ServiceRolloutSettings settings, Broadcast broadcast);
    ~ServiceRolloutController() { *this->alive = false; }
    ServiceRolloutController(const ServiceRolloutController &) = delete;
    ServiceRolloutController &operator=(const ServiceRolloutController &) = delete;

    /// Returns the functions for requests. They refer to this object.
    RolloutHooks hooks();
    /// Applies an order, with its object in the store.
    void onOrder(const StoredObject &object, const ServiceOrder &order, MonoTime now);
    void onDirectory(const EndpointDirectory &directory, MonoTime now);
    void onNews(const proto::ProcessId &from, const proto::RolloutNews &news, MonoTime now);
    void onTick(const EndpointDirectory &directory, const ServiceRolloutTick &tick, MonoTime now);
    /// Sends no more writes, and no longer requests the lease.
    void stop() { this->isStopped = true; }

private:
    struct Service
    {
        ServiceVersions versions;
        std::optional<ServiceRollout> rollout;
        StoredObject object; ///< of the order
        std::map<std::string, RolloutState> ended; ///< ends of rollouts, by version
        std::optional<MonoTime> endedAt;
        PresentVersions present;
        PhaseDecision logged; ///< last decision that was logged
        bool isVerdictLogged = false;
        bool isWriting = false;
        MonoTime nextWrite{};
    };

    VersionRule ruleFor(const std::string &name, double draw, MonoTime now) const;
    void beginRollout(Service &service, const ServiceOrder &order, MonoTime now);
    void applyEnd(Service &service, MonoTime now);
    bool isLeaseWanted(MonoTime now) const;
    void callLease(const LeaseAction &action);
    void tickService(Service &service, const EndpointDirectory &directory, bool isHeld,
                     MonoTime now);
    void writeStatus(Service &service, MonoTime now);
    void onStatusReply(const std::string &name, RolloutState state, const ObjectReply &reply);
    void broadcastNews(Service &service, MonoTime now);
    void logProgress(Service &service, bool isHeld, MonoTime now);

    const PlatformAdapter &adapter;
    ObjectClient &store;
    EndpointSelector &selector;
    Lease lease;
    const ServiceRolloutSettings settings;
    const Broadcast broadcast;
    std::map<std::string, Service> services;
    ServiceRolloutTick lastTick;
    MonoTime nextNews{};
    bool isLeaseRead = false;
    bool wasHeld = false;
    bool isStopped = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
