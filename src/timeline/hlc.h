#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

/// Hybrid logical clock: its timestamps follow the wall clock, never go back, and order an event
/// after those that caused it, also across processes.
namespace lavenderhall {

/// Timestamp of a hybrid logical clock, ordered by time and then by counter.
struct HlcTimestamp
{
    std::int64_t wallMillis = 0; ///< wall-clock milliseconds since 1970
    std::uint32_t counter = 0; ///< orders events of the same millisecond

    auto operator<=>(const HlcTimestamp &) const = default;
};

/// Clock of one process. Not thread-safe.
class HybridClock
{
public:
    /// Returns a timestamp for an event at the wall-clock time \a wallMillis. It is later than all
    /// timestamps returned or observed before.
    HlcTimestamp tick(std::int64_t wallMillis)
    {
        if (wallMillis > this->last.wallMillis)
            this->last = {wallMillis, 0};
        else
            ++this->last.counter;
        return this->last;
    }

    /// Records a timestamp that another process has sent, so that all later events of this process
    /// are ordered after it.
    void observe(HlcTimestamp received) { this->last = std::max(this->last, received); }

    /// Returns the latest timestamp returned or observed.
    HlcTimestamp latest() const { return this->last; }

private:
    HlcTimestamp last;
};

} // namespace lavenderhall
