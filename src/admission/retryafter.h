#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>

/// Chooses when the callers of refused requests are told to return.
namespace lavenderhall {

/// The returns that callers of one service were told, by interval.
class ReturnSchedule
{
public:
    /// Returns the time that a caller is told to wait: the earliest one in which the service has
    /// room for it, at random within an interval. \a excess requests wait or were told to return,
    /// and \a perSecond begin; \a longest bounds the time. \a draw is from 0 to 1.
    Millis schedule(double excess, double perSecond, Millis longest, double draw, MonoTime now);
    /// Returns how many callers were told to return later than \a now.
    std::int64_t outstanding(MonoTime now);

private:
    static constexpr Millis Interval{50};
    static constexpr std::size_t Intervals = 200; ///< 10 s in all, the longest Retry-After

    void advance(MonoTime now);
    std::int64_t &at(std::int64_t interval);

    std::array<std::int64_t, Intervals> scheduled{};
    std::int64_t current = 0; ///< number of the interval of the last call
};

} // namespace lavenderhall
