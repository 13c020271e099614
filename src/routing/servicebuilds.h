#pragma once

#include "base/clock.h"
#include "store/store.h"

#include <map>
#include <optional>
#include <set>
#include <string>

/// Which builds of a service's software may have begun streams that callers may still resume.
///
/// Endpoints of a new build join one after the other while those of the old one leave, perhaps
/// back and forth. All instances may be killed at any moment of it. The set of builds is therefore
/// kept in the store. A build is entered before requests go to it, and removed once streams that it
/// began are over. While the set has one build, an instance that knows nothing else knows which
/// build began any stream.
namespace lavenderhall {

/// The set of builds as the store has it.
struct StoredBuilds
{
    std::set<std::string> builds;
    std::int64_t revision = 0; ///< store revision; 0 if the store has no such object

    bool operator==(const StoredBuilds &) const = default;
};

/// What to do with the object of the service in the store.
struct BuildsAction
{
    enum class Kind { Read, Write };

    Kind kind = Kind::Read;
    StoredBuilds builds; ///< Write: the new set, and the revision that the object must still have

    bool operator==(const BuildsAction &) const = default;
};

/// Keeps the set of builds of one service, together with the other instances.
class ServiceBuilds
{
public:
    /// Sets how long a stream may be resumed after its build has left the directory.
    void setStreamLifetime(Millis lifetime) { this->streamLifetime = lifetime; }
    /// Applies the builds of all endpoints in the directory, also of leaving ones.
    void onEndpoints(const std::set<std::string> &builds, MonoTime now);
    /// Returns the next action; nothing if none is due or one is unanswered. \a isAssigned tells
    /// whether this instance writes the object; another one does so only after a while.
    std::optional<BuildsAction> onTick(bool isAssigned, MonoTime now);
    /// Handles the answer to an action: how the call ended, and the object if the answer has it.
    void onReply(const BuildsAction &action, StoreStatus status,
                 const std::optional<StoredBuilds> &object, MonoTime now);
    /// Applies the object as a list of the store has it.
    void onListed(const std::optional<StoredBuilds> &object, MonoTime now);

    /// Whether the store's set has been read. Before, no build counts as unregistered.
    bool isKnown() const { return this->isRead; }
    /// Whether streams have to be recorded with their builds.
    bool isMixed() const;
    /// Returns the build that began each stream that is not recorded; nothing if that is not known.
    std::optional<std::string> onlyBuild() const;
    /// Returns the only build in the store; nothing if there are none or several.
    std::optional<std::string> onlyRegistered() const;
    /// Returns the builds in the directory that no request should go to before they are in the
    /// store.
    std::set<std::string> unregistered() const;

private:
    void apply(StoredBuilds object, MonoTime now);
    /// Whether the build has not been in the directory for the lifetime of its streams and
    /// \a margin.
    bool isOver(const std::string &build, Millis margin, MonoTime now) const;
    /// Whether others may register, or have registered, a build that this instance has seen.
    bool isDoubtful() const;
    /// Returns the set that the store should have.
    std::set<std::string> wanted(MonoTime now) const;

    Millis streamLifetime{60'000};
    bool isRead = false; ///< whether the store's object is known
    bool isCalling = false;
    StoredBuilds stored;
    std::set<std::string> present; ///< in the directory
    std::map<std::string, MonoTime> lastPresent; ///< of the stored builds
    std::optional<MonoTime> differsSince; ///< since when the object should have another set
    MonoTime nextCall{};
    MonoTime callStartedAt{};
    MonoTime confirmedAt{}; ///< start of the last call that was answered
    std::optional<MonoTime> lastUnregistered; ///< when the directory last had such a build
};

} // namespace lavenderhall
