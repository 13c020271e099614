#pragma once

#include "base/clock.h"

#include <cstdint>

/// Bounds the volume of a log: lines over a steady rate are dropped and counted.
namespace lavenderhall {

/// Token bucket in which each line costs one token. It starts full.
class LogRateLimiter
{
public:
    LogRateLimiter(double linesPerSecond, double burstLines)
        : linesPerSecond(linesPerSecond)
        , burstLines(burstLines)
        , tokens(burstLines)
    { }

    /// Returns whether one more line may be written at \a now; counts it as dropped if not.
    bool tryAcquire(MonoTime now);
    /// Counts a line that was dropped for another reason.
    void countDropped() { ++this->dropped; }
    /// Returns the number of lines dropped since the last call and resets it.
    std::uint64_t takeDroppedCount();

private:
    double linesPerSecond;
    double burstLines;
    double tokens;
    MonoTime refilledAt{};
    std::uint64_t dropped = 0;
};

} // namespace lavenderhall
