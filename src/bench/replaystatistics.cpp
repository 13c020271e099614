#include "bench/replaystatistics.h"

#include "base/digest.h"
#include "bench/deployment.h"

#include <algorithm>

namespace lavenderhall::bench {

namespace {

constexpr double Median = 0.50;
constexpr double Percentile95 = 0.95;
constexpr double Percentile99 = 0.99;

/// Returns the \a q quantile (0 to 1) of \a values, 0 if there are none.
double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(q * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

} // namespace

void ReplayStatistics::onSent(std::size_t engine, bool isCrossRegion)
{
    this->signature = hashCombine(this->signature, engine);
    this->crossRegionRequests += isCrossRegion ? 1 : 0;
}

void ReplayStatistics::onPrefillStarted(const std::vector<BlockHash> &prefix,
                                        std::int64_t cachedBlocks, std::int64_t promptTokens)
{
    this->cachedTokens += cachedBlocks * BlockTokens;
    this->promptTokens += promptTokens;
    for (auto block = prefix.begin() + cachedBlocks; block != prefix.end(); ++block) {
        if (!this->computedBlocks.insert(*block).second)
            this->wastedTokens += BlockTokens;
    }
}

void ReplayStatistics::onFirstToken(const Arrival &arrival, double ttftMillis)
{
    this->ttft.push_back(ttftMillis);
    this->ttftByOrganisation[arrival.organisation].push_back(ttftMillis);
    if (arrival.priority == UrgentPriority)
        this->urgentTtft.push_back(ttftMillis);
}

ReplayResult ReplayStatistics::result() const
{
    ReplayResult result;
    result.requests = static_cast<std::int64_t>(this->ttft.size());
    result.hitRate = this->promptTokens == 0
        ? 0
        : static_cast<double>(this->cachedTokens) / static_cast<double>(this->promptTokens);
    result.ttftP50Millis = quantile(this->ttft, Median);
    result.ttftP95Millis = quantile(this->ttft, Percentile95);
    result.ttftP99Millis = quantile(this->ttft, Percentile99);
    result.urgentTtftP95Millis = quantile(this->urgentTtft, Percentile95);
    for (const auto &[organisation, values] : this->ttftByOrganisation)
        result.worstOrganisationTtftP95Millis
            = std::max(result.worstOrganisationTtftP95Millis, quantile(values, Percentile95));
    result.wastedTokens = this->wastedTokens;
    result.crossRegionRequests = this->crossRegionRequests;
    result.signature = this->signature;
    return result;
}

} // namespace lavenderhall::bench
