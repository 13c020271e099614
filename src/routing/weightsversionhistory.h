#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The versions of a model's weights that the operators have named as the one to load, and when
/// this instance learnt of each. Versions may be named faster than all engines can load them, so
/// each old version has its own time limit, which starts when the first newer version is named. An
/// instance that has just started does not know when that was, until another instance tells.
namespace lavenderhall {

/// Until when requests may begin on old versions of a model's weights.
class OldWeightsLimits
{
public:
    OldWeightsLimits() = default;
    /// \a byNewerVersion has the time until which versions older than the key may be begun on.
    explicit OldWeightsLimits(std::map<std::int64_t, MonoTime> byNewerVersion)
        : byNewerVersion(std::move(byNewerVersion))
    { }

    /// Returns until when a request may begin on \a version; nothing if there is no limit, as for
    /// the newest version. The version 0, one that is not known, has the limit of the oldest.
    std::optional<MonoTime> limitOf(std::int64_t version) const;

    bool operator==(const OldWeightsLimits &) const = default;

private:
    std::map<std::int64_t, MonoTime> byNewerVersion;
};

class WeightsVersionHistory
{
public:
    /// A version, and when it was named as far as is known.
    struct NamedVersion
    {
        std::int64_t version = 0;
        MonoTime namedAt{};
        bool isAssumed = false; ///< the time is not known; namedAt is an early enough one

        auto operator<=>(const NamedVersion &) const = default;
    };

    /// Records that \a version was named \a age before \a now, or that this age is assumed. Returns
    /// false, and records nothing, if it is not newer than all recorded versions.
    bool onNamed(std::int64_t version, MonoTime now, Millis age = Millis(0),
                 bool isAssumed = false);
    /// Another instance knows that \a version was named at \a namedAt. Replaces an assumed or a
    /// later time. Ignores a version that is newer than all recorded ones. Returns whether that
    /// was news.
    bool onTimeKnown(std::int64_t version, MonoTime namedAt);
    /// Returns the newest version; 0 if none was named.
    std::int64_t newest() const
    {
        return this->versions.empty() ? 0 : this->versions.back().version;
    }
    /// Returns the oldest version that a request may start on at \a now: a version is too old when
    /// a newer one was named more than \a allowedTime before. Returns 0 if every version is
    /// allowed.
    std::int64_t oldestAllowed(MonoTime now, Millis allowedTime) const;
    /// Returns until when requests may begin on each old version, with the same \a allowedTime.
    OldWeightsLimits limits(Millis allowedTime) const;
    /// Returns the versions that were named at a known time.
    std::vector<NamedVersion> namedAtKnownTimes() const;

    bool operator==(const WeightsVersionHistory &) const = default;

private:
    std::vector<NamedVersion> versions; ///< oldest first
};

/// By model.
using WeightsHistories = std::map<std::string, WeightsVersionHistory>;

} // namespace lavenderhall
