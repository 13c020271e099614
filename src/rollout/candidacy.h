#pragma once

#include "base/clock.h"

#include <cstddef>
#include <optional>

/// Which instance should hold the lease of the rollout.
///
/// New versions of weights come in quick succession, and all instances see the same outdated
/// engines. A few of them compete for the lease, the others only while nobody makes progress. Its
/// holder may be cut off from the engines while it still reaches the store.
namespace lavenderhall {

/// What an instance knows about the rollout and its own part in it.
struct CandidacyInput
{
    std::size_t outdated = 0; ///< engines that have not loaded the named weights
    bool isHolder = false;
    bool wasLastHolder = false; ///< also in an earlier process
    bool isCutOff = false; ///< from the engines

    bool operator==(const CandidacyInput &) const = default;
};

/// Decides when one instance acquires and renews the lease.
class LeaseCandidacy
{
public:
    /// Sets how long this instance waits for others to make progress.
    void setTakeoverDelay(Millis delay) { this->takeoverDelay = delay; }
    /// Returns whether the instance should hold the lease; to be called periodically.
    bool isWanted(const CandidacyInput &input, MonoTime now);

private:
    Millis takeoverDelay{0};
    std::size_t outdated = 0; ///< at the last call
    MonoTime unchangedSince{}; ///< since when there was no progress
    std::optional<MonoTime> pausedAt; ///< when the instance found that it was cut off
};

} // namespace lavenderhall
