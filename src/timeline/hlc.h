#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

/// Hybrid logical clock: wall time that never goes back and follows cause and effect.
namespace lavenderhall {

/// A stamp: wall-clock milliseconds since 1970, and a counter within one of them.
struct HlcTimestamp
{
    std::int64_t wallMillis = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HlcTimestamp &) const = default;
};

class HybridClock
{
public:
    /// Returns a stamp later than each one before, for an event at \a wallMillis.
    HlcTimestamp tick(std::int64_t wallMillis)
    {
        if (wallMillis > this->last.wallMillis)
            this->last = {wallMillis, 0};
        else
            ++this->last.counter;
        return this->last;
    }

    /// Takes in a stamp received from another process, so that what follows is stamped later.
    void observe(HlcTimestamp received) { this->last = std::max(this->last, received); }

    HlcTimestamp latest() const { return this->last; }

private:
    HlcTimestamp last;
};

} // namespace lavenderhall
