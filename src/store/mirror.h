#pragma once

#include "store/objects.h"

#include <map>
#include <string>
#include <vector>

/// The newest known objects of one kind, whoever told of them: the own watch or another
/// instance. An object never goes back to an older revision.
namespace lavenderhall {

class ObjectMirror
{
public:
    /// Takes in what has changed and returns the part that is news.
    std::vector<ObjectEvent> applyEvents(const std::vector<ObjectEvent> &events);
    /// Takes in a whole list; what it does not name is forgotten.
    void applyList(const std::vector<StoredObject> &objects);
    /// What has changed after \a revision.
    std::vector<ObjectEvent> eventsAfter(std::int64_t revision) const;
    /// Highest revision of an object or removal.
    std::int64_t revision() const { return this->newest; }

private:
    std::map<std::string, ObjectEvent> byName; ///< removed ones stay, to be told to others
    std::int64_t newest = 0;
};

} // namespace lavenderhall
