#pragma once

#include "base/clock.h"

#include <cmath>
#include <numbers>

/// Counts in which older events weigh less.
namespace lavenderhall {

/// A count that halves with each half-life.
class DecayedCount
{
public:
    explicit DecayedCount(Millis halfLife)
        : halfLife(halfLife)
    { }

    void add(double amount, MonoTime now)
    {
        if (this->startedAt == MonoTime{})
            this->startedAt = now;
        this->value = this->at(now) + amount;
        this->updatedAt = now;
    }

    double at(MonoTime now) const
    {
        return this->value * std::exp2(-this->halfLives(now - this->updatedAt));
    }

    /// Returns the events per second; 0 if there were none. A count that began less than a few
    /// half-lives ago is divided by the shorter time that it covers.
    double perSecond(MonoTime now) const
    {
        const double remembered = 1 - std::exp2(-this->halfLives(now - this->startedAt));
        if (this->value <= 0 || remembered <= 0)
            return 0;
        const double seconds = std::chrono::duration<double>(this->halfLife).count();
        return this->at(now) * std::numbers::ln2 / (seconds * remembered);
    }

private:
    double halfLives(Micros elapsed) const
    {
        return std::chrono::duration<double>(elapsed)
            / std::chrono::duration<double>(this->halfLife);
    }

    Millis halfLife;
    double value = 0;
    MonoTime startedAt{};
    MonoTime updatedAt{};
};

} // namespace lavenderhall
