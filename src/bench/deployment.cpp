#include "bench/deployment.h"

#include "base/digest.h"

#include <numeric>

namespace lavenderhall::bench {

namespace {

// Names with the same number of digits sort in the order of the engines' numbers.
constexpr std::int64_t FirstEngineNumber = 1000;

std::string regionName(std::int64_t region)
{
    return "region-" + std::to_string(region);
}

} // namespace

std::string regionOf(const Trace &trace, std::int64_t index)
{
    return regionName(index % trace.regions);
}

Document makeDocument(const Trace &trace)
{
    Document document;
    for (std::int64_t region = 0; region < trace.regions; ++region)
        document.regions.push_back({regionName(region), 1});
    document.models.push_back({ModelName, WeightsVersion, {}});
    for (std::int64_t index = 0; index < trace.engines; ++index) {
        Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(FirstEngineNumber + index);
        endpoint.region = regionOf(trace, index);
        endpoint.models = {ModelName};
        endpoint.slots = SlotsPerEngine;
        document.endpoints.push_back(std::move(endpoint));
    }
    Route route;
    route.name = "route";
    route.model = ModelName;
    document.routes.push_back(std::move(route));
    document.placement.prefillTokensPerSecond = PrefillTokensPerSecond;
    document.placement.blockTokens = BlockTokens;
    return document;
}

std::vector<BlockHash> prefixHashes(const Arrival &arrival)
{
    std::vector<BlockHash> prefix;
    std::uint64_t chainedHash = hash64(arrival.organisation);
    std::int64_t unhashedTokens = 0;
    for (const Segment &segment : arrival.segments) {
        chainedHash = hashCombine(chainedHash, hash64(segment.id));
        unhashedTokens += segment.tokens;
        for (std::uint64_t number = 0; unhashedTokens >= BlockTokens; unhashedTokens -= BlockTokens)
            prefix.push_back(hashCombine(chainedHash, ++number));
    }
    return prefix;
}

std::int64_t promptTokens(const Arrival &arrival)
{
    return std::accumulate(
        arrival.segments.begin(), arrival.segments.end(), std::int64_t{0},
        [](std::int64_t sum, const Segment &segment) { return sum + segment.tokens; });
}

} // namespace lavenderhall::bench
