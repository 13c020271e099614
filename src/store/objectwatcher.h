#pragma once

#include "http/loop.h"
#include "store/objects.h"
#include "store/pagedlist.h"

#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

/// Watches the store's objects of one kind with the list-and-watch pattern.
namespace lavenderhall {

/// Events of an ObjectWatcher, called on its loop's thread.
struct ObjectWatchHandlers
{
    /// A complete list at \a revision. \a wasUnreachable tells whether the store may have been
    /// unreachable since the list before.
    std::function<void(const std::vector<StoredObject> &objects, std::int64_t revision,
                       bool wasUnreachable)>
        onListed;
    /// Changes that a watch returned; never empty.
    std::function<void(const std::vector<ObjectEvent> &events)> onEvents;
    /// The objects of a list that could not be read to its end. They are as they were read, but
    /// others may exist. May be empty.
    std::function<void(const std::vector<StoredObject> &objects)> onIncompleteList{};
    /// An answer had objects that could not be read. May be empty.
    std::function<void(const UnreadableObjects &unreadable)> onUnreadable{};
};

/// Reads a complete list of the objects, then watches for changes from its revision on. Lists
/// again after a failed call and when the store no longer has the history that a watch needs.
class ObjectWatcher
{
public:
    ObjectWatcher(http::Loop &loop, ObjectClient &client, std::string kind,
                  ObjectWatchHandlers handlers, std::uint64_t seed);
    ~ObjectWatcher() { *this->alive = false; }

    /// Starts with a complete list; has no effect on an active watcher. \a wasUnreachable tells
    /// whether the store may have been unreachable before.
    void start(bool wasUnreachable = false);
    /// Stops watching; answers to calls under way are ignored.
    void stop();
    bool isActive() const { return this->active; }
    /// Time since the start of the last call that brought the objects up to date.
    Millis age() const;
    /// Whether the last call to the store failed.
    bool isStoreUnreachable() const { return this->consecutiveFailures > 0; }
    /// Whether a list has been read, the last call did not fail and the current one is not overdue.
    bool isCurrent() const;
    /// Whether the last call failed or the current one is overdue.
    bool hasLostStore() const;

private:
    bool isOverdue() const;
    void startList();
    void readPage();
    void onPage(const ObjectPage &page);
    void onCompleteList();
    void onIncompleteList(StoreStatus status);
    void watch();
    void onChanges(const ObjectChanges &changes);
    void onFailure(const char *step, StoreStatus status);
    void retryLater();
    void reportUnreadable(const UnreadableObjects &unreadable) const;

    http::Loop &loop;
    ObjectClient &client;
    std::string kind;
    ObjectWatchHandlers handlers;
    pcg32 random;
    PagedList pages; ///< of the list that is being read
    std::int64_t revision = 0; ///< to watch from
    MonoTime lastConfirmedAt{}; ///< start of the last call that brought the objects up to date
    MonoTime callStartedAt{}; ///< start of the latest call
    int consecutiveFailures = 0;
    /// Whether the store may have been unreachable since the last complete list.
    bool wasUnreachable = false;
    bool active = false;
    bool hasListed = false; ///< a complete list was read since start()
    http::Timer timer;
    /// Captured by each call and replaced by stop(), so that answers to earlier calls are ignored.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
