#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

/// Hybrid logical clock: timestamps close to wall time that never decrease and order events by
/// causality, also between processes.
namespace lavenderhall {

/// A timestamp of the clock.
struct HlcStamp
{
    std::int64_t wallMillis = 0; ///< wall-clock time since 1970
    std::uint32_t counter = 0; ///< orders stamps of the same millisecond

    auto operator<=>(const HlcStamp &) const = default;
};

/// Issues timestamps for the events of one process.
class HybridClock
{
public:
    /// Returns a stamp for an event at \a wallMillis, later than all stamps issued or observed
    /// before.
    HlcStamp tick(std::int64_t wallMillis)
    {
        if (wallMillis > this->last.wallMillis)
            this->last = {wallMillis, 0};
        else
            ++this->last.counter;
        return this->last;
    }

    /// Takes over a stamp received from another process, so that later events get later stamps.
    void observe(HlcStamp received) { this->last = std::max(this->last, received); }

    /// Returns the latest stamp issued or observed.
    HlcStamp latest() const { return this->last; }

private:
    HlcStamp last;
};

} // namespace lavenderhall
