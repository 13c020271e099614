#pragma once

#include "bench/replay.h"
#include "placement/prefix.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

/// What is counted and measured while a trace is replayed.
namespace lavenderhall::bench {

class ReplayStatistics
{
public:
    /// A request was sent to the engine with number \a engine.
    void onSent(std::size_t engine, bool isCrossRegion);
    /// An engine begins to compute a prompt, of whose blocks it has the first \a cachedBlocks.
    void onPrefillStarted(const std::vector<BlockHash> &prefix, std::int64_t cachedBlocks,
                          std::int64_t promptTokens);
    /// A request got its first token \a ttftMillis after its arrival.
    void onFirstToken(const Arrival &arrival, double ttftMillis);

    /// Returns the number of requests that have got their first token.
    std::size_t answeredCount() const { return this->ttft.size(); }
    ReplayResult result() const;

private:
    std::int64_t cachedTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t crossRegionRequests = 0;
    std::uint64_t signature = 0;
    std::unordered_set<BlockHash> computedBlocks; ///< by any engine, evicted or not
    std::vector<double> ttft; ///< milliseconds, of all requests
    std::vector<double> urgentTtft; ///< milliseconds, of the most urgent requests
    std::map<std::string, std::vector<double>> ttftByOrganisation; ///< milliseconds
};

} // namespace lavenderhall::bench
