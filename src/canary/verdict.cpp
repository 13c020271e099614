#include "canary/verdict.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <optional>

namespace lavenderhall {

namespace {

/// Thresholds from which a version is bad, or suspicious. All three must be reached.
struct Thresholds
{
    double score = 0; ///< in standard deviations
    double count = 0; ///< of the excess
    double ratio = 0; ///< of the excess to all answers

    bool isReached(const Excess &excess) const
    {
        return excess.score >= this->score && excess.count >= this->count
            && excess.ratio() >= this->ratio;
    }
};

// Rates of both kinds of error are measured in servicerollout_test.cpp. Answers of few requests are
// far from normally distributed, which the counts allow for.
constexpr Thresholds BadFailures{4.0, 4.5, 0.02};
constexpr Thresholds BadFailuresOnRoute{4.5, 4.5, 0.02};
constexpr Thresholds BadSlowness{4.5, 6, 0.08};
constexpr Thresholds BadSlownessOnRoute{5.0, 6, 0.08};
constexpr Thresholds Suspicious{3.3, 3, 0.01};
// An answer is slow if it takes this many half octaves longer than the median of the other versions
// on its route (2.8 times as long). Below 4 ms, differences mean nothing.
constexpr std::size_t SlowBuckets = 3;
constexpr std::size_t MinSlowBucket = 4;

/// Counts the bad ones of \a counts on \a route.
using BadCounter = std::function<std::int64_t(const std::string &route, const VersionCounts &)>;

std::int64_t countFrom(const LatencyHistogram &latency, std::size_t bucket)
{
    return std::accumulate(latency.begin() + static_cast<std::ptrdiff_t>(bucket), latency.end(),
                           std::int64_t{0});
}

std::int64_t timedAnswers(const VersionCounts &counts)
{
    return countFrom(counts.latency, 0);
}

/// Returns the first bucket that counts as slow; the last one if the other versions have no
/// answers.
std::size_t slowBucket(const VersionCounts &baseline)
{
    const std::int64_t half = timedAnswers(baseline) / 2;
    std::int64_t below = 0;
    std::size_t median = 0;
    while (median + 1 < LatencyBuckets && (below += baseline.latency[median]) <= half)
        ++median;
    return std::min(std::max(median + SlowBuckets, MinSlowBucket), LatencyBuckets - 1);
}

/// Sums up the strata of a Cochran-Mantel-Haenszel test.
class StratifiedTest
{
public:
    void add(std::int64_t candidates, std::int64_t badCandidates, std::int64_t others,
             std::int64_t badOthers)
    {
        this->excess.answers += candidates;
        this->excess.bad += badCandidates;
        if (candidates == 0 || others == 0)
            return;
        const auto n = static_cast<double>(candidates);
        const auto m = static_cast<double>(others);
        const auto bad = static_cast<double>(badCandidates + badOthers);
        const double all = n + m;
        this->excess.count += static_cast<double>(badCandidates) - n * bad / all;
        this->variance += n * m * bad * (all - bad) / (all * all * (all - 1));
    }
    Excess result() const
    {
        Excess found = this->excess;
        // All answers of a period may be bad, which leaves no variance.
        found.score = this->variance > 0 ? found.count / std::sqrt(this->variance) : 0;
        return found;
    }

private:
    Excess excess;
    double variance = 0;
};

Excess compare(const std::vector<CountsByRoute> &periods, const std::optional<std::string> &only,
               const BadCounter &countBad,
               const std::function<std::int64_t(const VersionCounts &)> &countAll)
{
    StratifiedTest test;
    for (const CountsByRoute &period : periods) {
        for (const auto &[route, counts] : period) {
            if (only && route != *only)
                continue;
            test.add(countAll(counts.candidate), countBad(route, counts.candidate),
                     countAll(counts.baseline), countBad(route, counts.baseline));
        }
    }
    return test.result();
}

} // namespace

const char *toString(Judgement judgement)
{
    switch (judgement) {
    case Judgement::Unclear:
        return "unclear";
    case Judgement::NoDifference:
        return "no_difference";
    case Judgement::Bad:
        return "bad";
    }
    return "unclear";
}

Verdict judge(const FleetObservations &observations)
{
    Verdict verdict;
    std::map<std::string, std::size_t> slowFrom;
    std::vector<std::optional<std::string>> subjects{std::nullopt};
    for (const auto &[route, counts] : observations.total()) {
        verdict.candidateAnswers += counts.candidate.answers;
        verdict.baselineAnswers += counts.baseline.answers;
        slowFrom[route] = slowBucket(counts.baseline);
        subjects.emplace_back(route);
    }
    const auto failed = [](const std::string &, const VersionCounts &c) { return c.failures; };
    const auto slow = [&](const std::string &route, const VersionCounts &counts) {
        return countFrom(counts.latency, slowFrom.at(route));
    };
    const auto answered = [](const VersionCounts &counts) { return counts.answers; };
    bool isSuspicious = false;
    for (const auto &subject : subjects) {
        const Excess failures = compare(observations.periods(), subject, failed, answered);
        const Excess slowness = compare(observations.periods(), subject, slow, timedAnswers);
        if (!subject) {
            verdict.failures = failures;
            verdict.slowness = slowness;
        }
        isSuspicious = isSuspicious || Suspicious.isReached(failures)
            || (slowness.ratio() >= BadSlowness.ratio && Suspicious.isReached(slowness));
        const bool areFailuresBad
            = (subject ? BadFailuresOnRoute : BadFailures).isReached(failures);
        const bool isSlow = (subject ? BadSlownessOnRoute : BadSlowness).isReached(slowness);
        if (!areFailuresBad && !isSlow)
            continue;
        verdict.judgement = Judgement::Bad;
        verdict.cause = areFailuresBad ? "failures" : "slowness";
        verdict.route = subject.value_or("");
        verdict.failures = failures;
        verdict.slowness = slowness;
        return verdict;
    }
    verdict.judgement = isSuspicious ? Judgement::Unclear : Judgement::NoDifference;
    return verdict;
}

} // namespace lavenderhall
