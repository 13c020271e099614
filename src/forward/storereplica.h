#pragma once

#include "forward/adapter.h"
#include "forward/objectreplica.h"
#include "router/fleet.h"
#include "store/objectwatcher.h"
#include "store/watchpolicy.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Keeps a copy of the objects that each instance needs from the platform's store, and exchanges
/// them with the other instances, so that an instance without access to the store still learns of
/// changes.
namespace lavenderhall {

/// Callbacks for changes, and where they come from.
struct StoreReplicaHandlers : ObjectReplicaHandlers
{
    /// Changes have been received from the store itself, not from another instance.
    std::function<void(ObjectKind kind)> onStoreChange;
    /// This instance's own watch goes on from the complete list \a objects. Called before the
    /// objects that are news are reported.
    std::function<void(ObjectKind kind, const std::vector<StoredObject> &objects)> onOwnList;
    /// The own watch has returned \a events, each change one by one, whether they are news or not.
    /// Called before those that are news are reported.
    std::function<void(ObjectKind kind, const std::vector<ObjectEvent> &events)> onOwnEvents;
    /// An answer of the store had objects of the kind \a name that could not be read.
    std::function<void(const std::string &name, std::size_t count)> onUnreadable;
};

/// Connects the copies of the objects with the watch of the store and with the fleet.
class StoreReplica
{
public:
    /// \a hasRollouts tells whether orders for services are among the objects.
    StoreReplica(http::Loop &loop, ObjectClient &store, const ObjectKinds &kinds, bool hasRollouts,
                 StoreReplicaHandlers handlers, std::uint64_t seed);

    /// Starts to watch the store.
    void start();
    /// Returns the functions through which objects are exchanged with other instances.
    ReplicatedObjects replicatedObjects();
    /// Whether this instance watches the store itself, rather than relying on other instances.
    bool isWatching() const { return this->watchers.front()->isActive(); }
    /// Whether a complete list of the kind has been received. Once it has, an event is a change
    /// that has just happened; before, the object may have been written long ago.
    bool hasList(ObjectKind kind) const { return this->replica.hasList(kind); }
    /// Returns for how long the store has not answered; 0 while it does.
    Millis storeOutageDuration() const;

private:
    ObjectWatchHandlers watchHandlers(ObjectKind kind);
    /// Starts or stops to watch the store. \a isAssigned tells whether this instance is to watch it
    /// for its region.
    void updateWatch(bool isAssigned);
    StoreContact storeContact() const;

    const StoreReplicaHandlers handlers;
    const std::size_t kindCount; ///< of the kinds that are replicated, the first ones
    ObjectReplica replica;
    std::vector<std::unique_ptr<ObjectWatcher>> watchers; ///< one for each kind
    WatchPolicy watchPolicy{monoNow()};
};

} // namespace lavenderhall
