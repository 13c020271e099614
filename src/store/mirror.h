#pragma once

#include "store/objects.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

/// Local copy of the store's objects of one kind.
namespace lavenderhall {

/// Keeps the newest known revision of each object of a kind, whether it was learnt from this
/// instance's own watch or from another instance. Events and lists may arrive in any order: an
/// object never returns to an older revision, and a removed one not to any revision before its
/// removal.
class ObjectMirror
{
public:
    /// Applies \a events and returns those that were news.
    std::vector<ObjectEvent> applyEvents(const std::vector<ObjectEvent> &events);
    /// Applies a complete list at \a revision: objects that it lacks are gone, unless they are
    /// known to be newer. Returns the objects that were news, as events.
    std::vector<ObjectEvent> applyList(const std::vector<StoredObject> &objects,
                                       std::int64_t revision);
    /// Whether \a object is newer than what is known of it.
    bool isNews(const StoredObject &object) const;
    /// Returns the objects and removals with a revision greater than \a revision.
    std::vector<ObjectEvent> eventsAfter(std::int64_t revision) const;
    /// Whether eventsAfter(\a revision) has all that has changed since. A list does not tell when
    /// the objects that it lacks were removed.
    bool hasAllEventsAfter(std::int64_t revision) const { return revision >= this->firstKnown(); }
    /// Returns the store revision up to which all changes are known; 0 if there was none.
    std::int64_t revision() const { return this->knownRevision; }
    /// Returns the revision of the newest change of an object, which is lower while the store only
    /// changes objects of other kinds; 0 if there was none.
    std::int64_t changeRevision() const { return this->newestChange; }
    /// Returns the highest revision of a list; 0 if there was none.
    std::int64_t listRevision() const { return this->newestList; }

private:
    /// Returns the revision after which all changes are known one by one.
    std::int64_t firstKnown() const { return std::max(this->newestList, this->newestDropped); }
    void dropOldTombstones();

    std::map<std::string, ObjectEvent> byName; ///< includes removals, to be passed on to others
    std::int64_t knownRevision = 0;
    std::int64_t newestChange = 0;
    std::int64_t newestList = 0;
    std::int64_t newestDropped = 0; ///< of the removals that are no longer kept
};

} // namespace lavenderhall
