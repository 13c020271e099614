#pragma once

#include "forward/adapter.h"
#include "router/fleet.h"
#include "store/mirror.h"
#include "store/objectwatcher.h"
#include "store/watchpolicy.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Keeps a copy of the objects that each instance needs from the platform's store, and exchanges
/// them with the other instances, so that an instance without access to the store still learns of
/// changes.
namespace lavenderhall {

enum class ObjectKind : std::size_t { Configuration, Endpoints, Weights };
inline constexpr std::size_t ObjectKindCount = 3;

/// Callbacks for changes. An object that is not newer than the known one is not reported.
struct StoreReplicaHandlers
{
    std::function<void(ObjectKind kind, const ObjectEvent &event)> onEvent;
    /// All objects of a kind have been reported; \a names has their names, and \a wasUnreachable
    /// tells whether the store was out of reach before.
    std::function<void(ObjectKind kind, const std::vector<std::string> &names,
                       std::int64_t revision, bool wasUnreachable)>
        onListed;
    /// All events of one answer have been reported.
    std::function<void()> onBatchEnd;
    /// Changes have been received from the store itself, not from another instance.
    std::function<void(ObjectKind kind)> onStoreChange;
};

class StoreReplica
{
public:
    StoreReplica(http::Loop &loop, ObjectClient &store, const ObjectKinds &kinds,
                 StoreReplicaHandlers handlers, std::uint64_t seed);

    /// Starts to watch the store.
    void start();
    /// Returns the functions through which objects are exchanged with other instances.
    ReplicatedObjects replicatedObjects();
    /// Whether this instance watches the store itself, rather than relying on other instances.
    bool isWatching() const { return this->watchers.front()->isActive(); }
    /// Whether a complete list of the kind has been received. Once it has, an event is a change
    /// that has just happened; before, the object may have been written long ago.
    bool hasList(ObjectKind kind) const;
    /// Returns for how long the store has not answered; 0 while it does.
    Millis storeOutageDuration() const;

private:
    ObjectWatchHandlers watchHandlers(ObjectKind kind);
    void onListed(ObjectKind kind, const std::vector<StoredObject> &objects, std::int64_t revision,
                  bool wasUnreachable);
    void onEvents(ObjectKind kind, const std::vector<ObjectEvent> &events);
    /// Returns the objects that changed after the revision \a after.
    proto::ObjectsOffer makeOffer(ObjectKind kind, std::int64_t after) const;
    /// Returns all objects of the kind.
    proto::ObjectsOffer makeFullOffer(ObjectKind kind) const;
    void applyOffer(ObjectKind kind, const proto::ObjectsOffer &offer);
    /// Starts or stops to watch the store. \a isAssigned tells whether this instance is to watch it
    /// for its region.
    void updateWatch(bool isAssigned);
    /// Whether this instance watches the store and has all changes.
    bool isCurrent() const;
    const std::string &nameOf(ObjectKind kind) const;
    const ObjectMirror &mirror(ObjectKind kind) const;
    ObjectMirror &mirror(ObjectKind kind);

    const std::array<std::string, ObjectKindCount> names; ///< of the kinds in the store
    StoreReplicaHandlers handlers;
    std::array<ObjectMirror, ObjectKindCount> mirrors;
    /// The last complete list of a kind, from the store or from another instance.
    struct ListState
    {
        std::int64_t revision = 0;
        bool wasUnreachable = false;
    };
    std::array<ListState, ObjectKindCount> lastLists;
    std::vector<std::unique_ptr<ObjectWatcher>> watchers; ///< one for each kind
    WatchPolicy watchPolicy{monoNow()};
};

} // namespace lavenderhall
