#pragma once

#include "forward/adapter.h"
#include "router/fleet.h"
#include "store/kindfeed.h"
#include "store/mirror.h"
#include "store/watchduty.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// The kinds of objects that each instance follows in the platform's store and shares with the
/// others, so that one which the store does not answer still learns of changes.
namespace lavenderhall {

enum class ObjectKind : std::size_t { Configuration, Endpoints, Weights };
inline constexpr std::size_t ObjectKindCount = 3;

/// Called with news only: an object older than the one known is left out before.
struct FollowedHandlers
{
    std::function<void(ObjectKind kind, const ObjectEvent &event)> onEvent;
    /// A whole list has been passed on; \a wasAway tells whether the store was out of reach before.
    std::function<void(ObjectKind kind, const std::vector<std::string> &names,
                       std::int64_t revision, bool wasAway)>
        onListed;
    /// All events of one answer have been passed on.
    std::function<void()> onBatchEnd;
    /// The store itself has told of changes.
    std::function<void(ObjectKind kind)> onStoreNews;
};

class FollowedObjects
{
public:
    FollowedObjects(http::Loop &loop, ObjectClient &store, const ObjectKinds &kinds,
                    FollowedHandlers handlers, std::uint64_t seed);

    void start();
    /// Serves and takes what instances tell each other.
    ReplicatedObjects sharing();
    /// Whether the store is followed here, as against through other instances.
    bool isWatching() const { return this->feeds.front()->isActive(); }
    /// Whether all objects of the kind were known before: an event is a change seen as it happens,
    /// not one that is found and may be older.
    bool hasList(ObjectKind kind) const;
    /// How long the store has not answered; 0 while it does.
    Millis silence() const;

private:
    FeedHandlers feedHandlers(ObjectKind kind);
    void onListed(ObjectKind kind, const std::vector<StoredObject> &objects, std::int64_t revision,
                  bool wasAway);
    void onEvents(ObjectKind kind, const std::vector<ObjectEvent> &events);
    proto::ObjectsOffer offerAfter(ObjectKind kind, std::int64_t revision) const;
    proto::ObjectsOffer wholeOffer(ObjectKind kind) const;
    void takeOffer(ObjectKind kind, const proto::ObjectsOffer &offer);
    void setOnDuty(bool isOnDuty);
    bool isCurrent() const;
    const std::string &nameOf(ObjectKind kind) const;
    const ObjectMirror &mirror(ObjectKind kind) const;
    ObjectMirror &mirror(ObjectKind kind);

    const std::array<std::string, ObjectKindCount> names; ///< in the store
    FollowedHandlers handlers;
    std::array<ObjectMirror, ObjectKindCount> mirrors;
    /// The last whole list of a kind, from the store or from another instance.
    struct Listing
    {
        std::int64_t revision = 0;
        bool wasAway = false;
    };
    std::array<Listing, ObjectKindCount> listings;
    std::vector<std::unique_ptr<KindFeed>> feeds; ///< one for each kind
    WatchDuty duty{monoNow()};
};

} // namespace lavenderhall
