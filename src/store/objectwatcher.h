#pragma once

#include "http/loop.h"
#include "store/objects.h"

#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

/// Follows all objects of one kind: a whole list first, then what changes, and a whole list
/// again after any doubt.
namespace lavenderhall {

struct ObjectWatchHandlers
{
    /// All objects at \a revision; \a wasAway tells whether the store was out of reach before.
    std::function<void(const std::vector<StoredObject> &objects, std::int64_t revision,
                       bool wasAway)>
        onListed;
    std::function<void(const std::vector<ObjectEvent> &events)> onEvents;
};

class ObjectWatcher
{
public:
    ObjectWatcher(http::Loop &loop, ObjectClient &client, std::string kind, ObjectWatchHandlers handlers,
             std::uint64_t seed);
    ~ObjectWatcher() { *this->alive = false; }

    /// Begins to follow, with a whole list; no effect on one that does already. \a wasAway tells
    /// whether the store may have been out of reach before.
    void start(bool wasAway = false);
    /// Follows no longer; what is still under way is left out.
    void stop();
    bool isActive() const { return this->active; }
    /// How long ago the store's state was last known for sure.
    Millis age() const;
    bool isStoreUnreachable() const { return this->failures > 0; }
    /// Whether all is known, and the call that tells of the next change is not overdue.
    bool isCurrent() const;

private:
    void list(const std::string &after);
    void onPage(const ObjectPage &page);
    void watch();
    void onChanges(const ObjectChanges &changes);
    void onFailure(const char *step, StoreStatus status);

    http::Loop &loop;
    ObjectClient &client;
    std::string kind;
    ObjectWatchHandlers handlers;
    pcg32 random;
    std::vector<StoredObject> pending; ///< of a list in several pages
    std::int64_t pendingRevision = 0;
    std::int64_t revision = 0;
    MonoTime lastKnown{};
    MonoTime askedAt{};
    int failures = 0;
    bool wasAway = false;
    bool active = false;
    bool hasList = false; ///< since start()
    http::Timer timer;
    /// Replaced at each stop, so that answers to older calls are known.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
