#pragma once

#include "base/clock.h"
#include "proto/peer.pb.h"
#include "store/mirror.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

/// The copies of the store's objects that one instance holds, and their exchange with the copies of
/// other instances.
///
/// In each region a few instances watch the store and push what changes. They are killed, start
/// again with a list in place of the changes that they have missed, and push on, while the others
/// hold what was pushed before.
namespace lavenderhall {

enum class ObjectKind : std::size_t { Configuration, Endpoints, Weights, Rollouts };
inline constexpr std::size_t ObjectKindCount = 4;

/// Callbacks for changes. An object that is not newer than the known one is not reported.
struct ObjectReplicaHandlers
{
    std::function<void(ObjectKind kind, const ObjectEvent &event)> onEvent;
    /// All objects of a list at \a revision have been reported; \a names has their names. Others
    /// that are not newer are gone. \a wasUnreachable tells whether the store was out of reach
    /// before.
    std::function<void(ObjectKind kind, const std::vector<std::string> &names,
                       std::int64_t revision, bool wasUnreachable)>
        onListed;
    /// All events of one answer have been reported.
    std::function<void()> onBatchEnd;
};

/// Keeps the copies. It makes offers to other instances, which contain what they lack, and applies
/// theirs.
class ObjectReplica
{
public:
    using KindNames = std::array<std::string, ObjectKindCount>;

    /// \a names are those of the kinds in the store.
    ObjectReplica(KindNames names, ObjectReplicaHandlers handlers)
        : names(std::move(names))
        , handlers(std::move(handlers))
    { }

    /// Applies a complete list that was read from the store at \a revision.
    void applyList(ObjectKind kind, const std::vector<StoredObject> &objects, std::int64_t revision,
                   bool wasUnreachable, MonoTime now);
    /// Reports the objects of a list that was not read to its end, as far as they are news. They
    /// are not offered to other instances, which would take them for all that has changed.
    void applyIncompleteList(ObjectKind kind, const std::vector<StoredObject> &objects);
    /// Applies changes that follow those known.
    void applyEvents(ObjectKind kind, const std::vector<ObjectEvent> &events);
    /// Applies an offer of another instance.
    void applyOffer(ObjectKind kind, const proto::ObjectsOffer &offer, MonoTime now);
    /// Returns the changes after the revision \a after; all objects if the changes are not known
    /// one by one.
    proto::ObjectsOffer offerChanges(ObjectKind kind, std::int64_t after, MonoTime now) const;
    /// Returns all objects.
    proto::ObjectsOffer offerAll(ObjectKind kind, MonoTime now) const;

    const ObjectMirror &mirror(ObjectKind kind) const { return this->copyOf(kind).mirror; }
    /// Whether a complete list of the kind has been reported.
    bool hasList(ObjectKind kind) const { return this->copyOf(kind).hasList; }
    const KindNames &kindNames() const { return this->names; }

private:
    struct Copy
    {
        ObjectMirror mirror;
        bool hasList = false;
        MonoTime outageListAt{MonoTime::min()}; ///< when a list followed an outage of the store
    };

    const Copy &copyOf(ObjectKind kind) const
    {
        return this->copies.at(static_cast<std::size_t>(kind));
    }
    Copy &copyOf(ObjectKind kind) { return this->copies.at(static_cast<std::size_t>(kind)); }
    const std::string &nameOf(ObjectKind kind) const
    {
        return this->names.at(static_cast<std::size_t>(kind));
    }

    const KindNames names;
    ObjectReplicaHandlers handlers;
    std::array<Copy, ObjectKindCount> copies;
};

} // namespace lavenderhall
