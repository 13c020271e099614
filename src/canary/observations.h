#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Counts of the answers of a service's versions during a rollout, from all instances.
namespace lavenderhall {

/// Buckets of a histogram of times; each is half an octave wide, the first starts at 1 ms.
inline constexpr std::size_t LatencyBuckets = 32;
using LatencyHistogram = std::array<std::int64_t, LatencyBuckets>;

/// Returns the bucket of \a time.
std::size_t latencyBucket(Micros time);

/// Answers of one version to requests of one route.
struct VersionCounts
{
    std::int64_t answers = 0;
    std::int64_t failures = 0; ///< answers with an error of the endpoint
    LatencyHistogram latency{}; ///< time to the first event, or to the answer

    void add(const VersionCounts &other);
    bool operator==(const VersionCounts &) const = default;
};

/// Counts of the version under test and of all other versions.
struct ComparedCounts
{
    VersionCounts candidate;
    VersionCounts baseline;

    void add(const ComparedCounts &other);
    bool operator==(const ComparedCounts &) const = default;
};

using CountsByRoute = std::map<std::string, ComparedCounts>;

/// A process whose counts are merged.
struct CountSender
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const CountSender &) const = default;
};

/// Merges the cumulative counts that instances send. What a message adds to the counts of its
/// sender is attributed to the time of its arrival, so that versions are compared over the same
/// period.
class FleetObservations
{
public:
    /// Merges the counts of \a sender; its messages have increasing numbers. Returns false for a
    /// message that is repeated or has been overtaken.
    bool merge(const CountSender &sender, std::uint64_t number, const CountsByRoute &cumulative,
               MonoTime now);
    /// Returns the counts by period of a second; the last of 120 has all later ones too. Counts
    /// whose time is not known are left out, see merge().
    const std::vector<CountsByRoute> &periods() const { return this->byPeriod; }
    /// Returns all counts.
    const CountsByRoute &total() const { return this->sum; }

private:
    struct Sender
    {
        std::uint64_t number = 0;
        CountsByRoute counts;
    };

    CountsByRoute &currentPeriod(MonoTime now);

    std::map<CountSender, Sender> senders;
    std::vector<CountsByRoute> byPeriod;
    MonoTime periodEnd{};
    CountsByRoute sum;
};

} // namespace lavenderhall
