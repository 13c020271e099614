#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

/// An upper bound on the number of instances, used to divide a fleet-wide budget among them without
/// coordination. A bound that is too high wastes a part of the budget, and one that is too low lets
/// the fleet exceed it. So the highest number ever seen counts, and until an instance has had time
/// to discover the others, a large fleet is assumed.
namespace lavenderhall {

class FleetSize
{
public:
    explicit FleetSize(MonoTime startedAt)
        : startedAt(startedAt)
    { }

    /// \a count instances are alive, including this one.
    void onAliveCount(std::size_t count)
    {
        this->highestCount = std::max(this->highestCount, count);
    }
    /// Returns the number of instances to divide a budget by.
    std::size_t upperBound(MonoTime now) const
    {
        if (now - this->startedAt < DiscoveryTime)
            return std::max(this->highestCount, UndiscoveredFleet);
        return std::max(this->highestCount, SmallestFleet);
    }

private:
    static constexpr Millis DiscoveryTime{3000}; ///< for a new instance to discover the others
    static constexpr std::size_t UndiscoveredFleet = 360; ///< assumed during discovery
    static constexpr std::size_t SmallestFleet = 8; ///< allows for instances not discovered

    MonoTime startedAt;
    std::size_t highestCount = 1;
};

} // namespace lavenderhall
