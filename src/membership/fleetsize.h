#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

/// How many instances there may be at the same time, to share out what all of them together may
/// do without talk. Too high a figure wastes a part of it, too low a one breaks the bound: so the
/// most ever seen counts, and before the others have been met, a large fleet is assumed.
namespace lavenderhall {

class FleetSize
{
public:
    explicit FleetSize(MonoTime startedAt)
        : startedAt(startedAt)
    { }

    /// \a count instances are known to be alive, with this one.
    void onAliveCount(std::size_t count) { this->most = std::max(this->most, count); }
    std::size_t upperBound(MonoTime now) const
    {
        if (now - this->startedAt < MeetingTime)
            return std::max(this->most, UnmetFleet);
        return std::max(this->most, SmallestFleet);
    }

private:
    static constexpr Millis MeetingTime{3000}; ///< for an instance that starts to meet the others
    static constexpr std::size_t UnmetFleet = 360;
    static constexpr std::size_t SmallestFleet = 8; ///< parts of the share for instances not met

    MonoTime startedAt;
    std::size_t most = 1;
};

} // namespace lavenderhall
