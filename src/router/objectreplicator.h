#pragma once

#include "base/clock.h"
#include "membership/membership.h"
#include "proto/peer.pb.h"
#include "store/watchpolicy.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Replication of store objects between instances. In each region a few instances watch the store.
/// They push changes to the other instances of the region and send heartbeats with their latest
/// revisions; an instance that lags behind requests what it misses.
namespace lavenderhall {

/// The replicated objects and access to the copies that this instance holds. A kind is identified
/// by its index into \a kinds.
struct ReplicatedObjects
{
    std::vector<std::string> kinds;
    /// Store revision up to which all changes are known here.
    std::function<std::int64_t(std::size_t kind)> knownRevision;
    /// Revision of the newest change of an object that is known here.
    std::function<std::int64_t(std::size_t kind)> changeRevision;
    /// Revision of the last complete list.
    std::function<std::int64_t(std::size_t kind)> listedRevision;
    /// Returns the objects that changed after the revision \a after, or all objects.
    std::function<proto::ObjectsOffer(std::size_t kind, std::int64_t after)> offerChanges;
    /// Returns all objects of the kind.
    std::function<proto::ObjectsOffer(std::size_t kind)> offerAll;
    /// Applies the objects of an offer from another instance.
    std::function<void(std::size_t kind, const proto::ObjectsOffer &offer)> applyOffer;
    std::function<StoreContact()> storeContact; ///< by this instance's own watch
    /// Called when another instance of the region reports on its watch of the store.
    std::function<void(const StoreHeartbeat &heartbeat)> onHeartbeat;
    /// Called at every request interval; \a isAssigned tells whether this instance has to watch
    /// the store for its region.
    std::function<void(bool isAssigned)> updateWatch;
};

/// What the replicator needs from the fleet.
struct ReplicatorHooks
{
    std::function<void(const proto::ProcessId &to, const proto::Envelope &message)> send;
    std::function<std::vector<proto::ProcessId>()> othersInRegion;
    std::function<bool()> isAssigned; ///< whether this instance watches the store for its region
};

/// Synchronises the replicated objects of one instance with those of its region.
class ObjectReplicator
{
public:
    ObjectReplicator(ReplicatedObjects objects, ReplicatorHooks hooks);

    /// Sends heartbeats and requests that are due. \a announcements are the newer revisions that
    /// other members have reported along with pings since the last call.
    void onTick(const std::vector<Membership::NewerRevision> &announcements, MonoTime now);
    /// Pushes the changes of one kind that this instance has read from the store to its region, if
    /// it watches the store for the region.
    void publish(std::size_t kind);
    void onRequest(const proto::Envelope &message);
    void onOffer(const proto::Envelope &message);
    void onHeartbeat(const proto::Envelope &message, MonoTime now);
    /// Returns the revision of the newest known change of each kind.
    std::vector<std::int64_t> revisions() const;

private:
    std::optional<std::size_t> kindOf(const std::string &name) const;
    void sendToRegion(const proto::Envelope &message) const;
    void sendHeartbeat();
    void requestChanges();
    void requestAll(std::size_t kind, const proto::ProcessId &from, MonoTime now);

    ReplicatedObjects objects;
    ReplicatorHooks hooks;
    /// Revisions reported by other instances that have not been compared with the own copies.
    std::vector<Membership::NewerRevision> newerRevisions;
    std::vector<std::int64_t> publishedRevisions; ///< last revision pushed to the region, by kind
    std::vector<MonoTime> nextListRequest; ///< by kind
    MonoTime nextChangesRequest{};
    MonoTime nextHeartbeat{};
};

} // namespace lavenderhall
