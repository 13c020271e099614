#pragma once

#include "base/clock.h"
#include "forward/adapter.h"
#include "weights/versionhistory.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Records the versions of weights that the store's objects name.
namespace lavenderhall {

/// Where an object comes from that names a version.
enum class NameSource {
    FirstList, ///< the first list after the start: it may have been written any time before
    Change, ///< it has been written lately, perhaps more than once
};

/// Fills the histories from the store's objects. Only the events of this instance's own watch tell
/// each name; lists and other instances tell the newest one.
class NameTracker
{
public:
    NameTracker(const PlatformAdapter &adapter, WeightsHistories &histories)
        : adapter(adapter)
        , histories(histories)
    { }

    /// An object is news to this instance. Requests may begin on old weights for \a allowedTime.
    /// Returns whether the history of its model has changed.
    bool onObject(const StoredObject &object, NameSource source, Millis allowedTime, MonoTime now);
    /// This instance has read the complete list \a objects, from which its watch goes on.
    void onOwnList(const std::vector<StoredObject> &objects);
    /// The watch has returned \a events, whether they are news or not. Returns whether a history
    /// has changed.
    bool onOwnEvents(const std::vector<ObjectEvent> &events, MonoTime now);

private:
    bool onOwnEvent(const ObjectEvent &event, MonoTime now);

    const PlatformAdapter &adapter;
    WeightsHistories &histories;
    std::map<std::string, std::int64_t> watched; ///< newest version of each model in the own watch
};

} // namespace lavenderhall
