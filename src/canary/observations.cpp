#include "canary/observations.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

constexpr Millis PeriodLength{1000};
constexpr std::size_t MaxPeriods = 120; ///< the last one has all later counts
constexpr double BucketsPerOctave = 2;
// The first message that arrives from a sender covers an unknown time if others were sent before.
constexpr std::uint64_t MaxFirstNumber = 5;

VersionCounts increase(const VersionCounts &from, const VersionCounts &to)
{
    VersionCounts change;
    change.answers = std::max<std::int64_t>(0, to.answers - from.answers);
    change.failures = std::clamp<std::int64_t>(to.failures - from.failures, 0, change.answers);
    for (std::size_t bucket = 0; bucket < LatencyBuckets; ++bucket)
        change.latency[bucket]
            = std::max<std::int64_t>(0, to.latency[bucket] - from.latency[bucket]);
    return change;
}

} // namespace

std::size_t latencyBucket(Micros time)
{
    const double millis = std::chrono::duration<double, std::milli>(time).count();
    if (millis <= 1)
        return 0;
    const auto bucket = static_cast<std::size_t>(BucketsPerOctave * std::log2(millis));
    return std::min(bucket, LatencyBuckets - 1);
}

void VersionCounts::add(const VersionCounts &other)
{
    this->answers += other.answers;
    this->failures += other.failures;
    for (std::size_t bucket = 0; bucket < LatencyBuckets; ++bucket)
        this->latency[bucket] += other.latency[bucket];
}

void ComparedCounts::add(const ComparedCounts &other)
{
    this->candidate.add(other.candidate);
    this->baseline.add(other.baseline);
}

CountsByRoute &FleetObservations::currentPeriod(MonoTime now)
{
    if (this->byPeriod.empty() || (now >= this->periodEnd && this->byPeriod.size() < MaxPeriods)) {
        this->byPeriod.emplace_back();
        this->periodEnd = now + PeriodLength;
    }
    return this->byPeriod.back();
}

// If the first message received from a sender is not one of its first, the time of its counts is
// not known. The versions' shares of the traffic have changed meanwhile, so faults that affected
// both would look like a difference between them. Such counts only enter the total.
bool FleetObservations::merge(const CountSender &sender, std::uint64_t number,
                              const CountsByRoute &cumulative, MonoTime now)
{
    const auto [entry, isNew] = this->senders.try_emplace(sender);
    Sender &known = entry->second;
    if (number <= known.number)
        return false;
    const bool isDated = !isNew || number <= MaxFirstNumber;
    known.number = number;
    for (const auto &[route, counts] : cumulative) {
        ComparedCounts &last = known.counts[route];
        const ComparedCounts change{increase(last.candidate, counts.candidate),
                                    increase(last.baseline, counts.baseline)};
        last = counts;
        if (change == ComparedCounts{})
            continue;
        this->sum[route].add(change);
        if (isDated)
            this->currentPeriod(now)[route].add(change);
    }
    return true;
}

} // namespace lavenderhall
