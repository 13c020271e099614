#include "admission/retryafter.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

// New requests come as well, so only this share of the room is reserved for callers that return.
constexpr double ReturnShare = 0.5;
// A caller that returns at once finds the same queue.
constexpr double MinMillis = 50;

} // namespace

void ReturnSchedule::advance(MonoTime now)
{
    const std::int64_t interval = now.time_since_epoch() / Interval;
    if (interval - this->current >= static_cast<std::int64_t>(Intervals)) {
        this->scheduled.fill(0);
        this->current = interval;
    }
    for (; this->current < interval; ++this->current)
        this->at(this->current) = 0;
}

std::int64_t &ReturnSchedule::at(std::int64_t interval)
{
    return this->scheduled.at(static_cast<std::size_t>(interval) % Intervals);
}

std::int64_t ReturnSchedule::outstanding(MonoTime now)
{
    this->advance(now);
    std::int64_t sum = 0;
    for (const std::int64_t count : this->scheduled)
        sum += count;
    return sum;
}

// Where there is no room within the longest time, callers are spread over its last half.
Millis ReturnSchedule::schedule(double excess, double perSecond, Millis longest, double draw,
                                MonoTime now)
{
    this->advance(now);
    const auto interval = static_cast<double>(Interval.count());
    const auto bound = static_cast<double>(
        std::min<std::int64_t>(longest.count(), (Intervals - 1) * Interval.count()));
    const double first = perSecond > 0 ? excess * 1000 / perSecond : bound;
    const double room = std::max(1.0, perSecond * ReturnShare * interval / 1000);
    for (double start = std::max(MinMillis, first); start + interval <= bound; start += interval) {
        const auto number = this->current + static_cast<std::int64_t>(start / interval);
        if (static_cast<double>(this->at(number)) + 1 > room)
            continue;
        ++this->at(number);
        return Millis(std::llround(start + draw * interval));
    }
    const double late = bound * (1 + draw) / 2;
    ++this->at(this->current + static_cast<std::int64_t>(std::max(0.0, late) / interval));
    return Millis(std::llround(std::max(0.0, late)));
}

} // namespace lavenderhall
