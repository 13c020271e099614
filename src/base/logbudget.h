#pragma once

#include "base/clock.h"

#include <cstdint>

/// Bounds the volume of a log: lines over a steady rate are counted and left out.
namespace lavenderhall {

class LogBudget
{
public:
    LogBudget(double linesPerSecond, double burstLines)
        : linesPerSecond(linesPerSecond)
        , burstLines(burstLines)
        , level(burstLines)
    { }

    /// Whether one more line may be written now.
    bool take(MonoTime now);
    /// Counts a line that was left out for another reason.
    void countLost() { ++this->lost; }
    /// Lines left out since the last call.
    std::uint64_t takeLost();

private:
    double linesPerSecond;
    double burstLines;
    double level;
    MonoTime filledAt{};
    std::uint64_t lost = 0;
};

} // namespace lavenderhall
