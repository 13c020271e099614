#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The versions of a model's weights that the operators have named as the one to load, and when
/// each was named. Versions may be named faster than all engines can load them, so each old version
/// has its own time limit, which starts when the first newer version is named.
namespace lavenderhall {

/// Until when requests may begin on old versions of a model's weights.
class OldWeightsLimits
{
public:
    OldWeightsLimits() = default;
    /// \a byNewerVersion has the time until which versions older than the key may be begun on. It
    /// is no earlier for a higher key.
    explicit OldWeightsLimits(std::map<std::int64_t, MonoTime> byNewerVersion)
        : byNewerVersion(std::move(byNewerVersion))
    { }

    /// Returns until when a request may begin on \a version; nothing if there is no limit, as for
    /// the newest version. The version 0, one that is not known, has the limit of the oldest.
    std::optional<MonoTime> limitOf(std::int64_t version) const;
    /// Returns the oldest version that a request may begin on at \a now; 0 if every version is
    /// allowed.
    std::int64_t oldestAllowed(MonoTime now) const;

    bool operator==(const OldWeightsLimits &) const = default;

private:
    std::map<std::int64_t, MonoTime> byNewerVersion;
};

/// A version, and what is known about when it was named.
struct NamedVersion
{
    std::int64_t version = 0;
    MonoTime namedAt{};
    bool isAssumed = false; ///< the time is not known; namedAt is an early enough one
    /// The version that was named right before this one, 0 if there was none; empty if it is not
    /// known, so that names between the recorded ones may be missing.
    std::optional<std::int64_t> previous;
    /// An early enough time for the names that are missing before this one.
    MonoTime missingSince{};

    auto operator<=>(const NamedVersion &) const = default;
};

/// What one instance knows of the named versions. An instance that has just started knows the
/// newest one only, and others may have missed some: their limits are early rather than late until
/// another instance tells what they lack.
class WeightsVersionHistory
{
public:
    /// Records that \a version was named \a age before \a now, right after the newest recorded one.
    /// If \a isAssumed, neither the age nor the versions before it are known. Returns false, and
    /// records nothing, if it is not newer than all recorded versions.
    bool onNamed(std::int64_t version, MonoTime now, Millis age = Millis(0),
                 bool isAssumed = false);
    /// The same for a version that was found at \a now; others may have been named before it.
    bool onNamedAfterGap(std::int64_t version, MonoTime now);
    /// The store's events say at \a now that \a version was named right after \a previous. Returns
    /// whether that was news.
    bool onWatched(std::int64_t version, std::int64_t previous, MonoTime now);
    /// Records what another instance knows. Ignores a version that is newer than all recorded
    /// ones. Returns whether that was news.
    bool onTold(const NamedVersion &told);

    /// Returns the newest version; 0 if none was named.
    std::int64_t newest() const
    {
        return this->versions.empty() ? 0 : this->versions.back().version;
    }
    /// Returns when this instance learnt of the newest version.
    MonoTime newestLearntAt() const { return this->learntAt; }
    /// Whether times or names are missing.
    bool isIncomplete() const;
    /// Returns the oldest version that a request may begin on at \a now: a version is too old when
    /// a newer one was named more than \a allowedTime before. Returns 0 if every version is
    /// allowed.
    std::int64_t oldestAllowed(MonoTime now, Millis allowedTime) const;
    /// Returns until when requests may begin on each old version, with the same \a allowedTime.
    OldWeightsLimits limits(Millis allowedTime) const;
    /// Returns the versions that were named at a known time, oldest first.
    std::vector<NamedVersion> namedAtKnownTimes() const;

    bool operator==(const WeightsVersionHistory &) const = default;

private:
    using Position = std::vector<NamedVersion>::const_iterator;

    /// Adds \a named as the newest version.
    void append(const NamedVersion &named, MonoTime now);
    /// Adds \a named before \a next. Returns false if there is no room.
    bool insert(NamedVersion named, Position next);
    /// Takes over into \a known what \a told knows better. Returns whether that was anything.
    bool update(NamedVersion &known, const NamedVersion &told);
    /// Returns an early enough time for names that are missing right before \a next.
    MonoTime missingSince(Position next) const;

    std::vector<NamedVersion> versions; ///< oldest first
    MonoTime learntAt{}; ///< when the newest version was recorded
};

/// By model.
using WeightsHistories = std::map<std::string, WeightsVersionHistory>;

} // namespace lavenderhall
