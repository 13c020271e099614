#pragma once

#include "placement/endpointtable.h"
#include "placement/history.h"
#include "placement/prefix.h"

#include <set>
#include <string>
#include <vector>

/// Choice of the endpoint for a request, by the expected time to its first token.
namespace lavenderhall {

/// What a choice depends on besides the endpoints' state.
struct RankingInput
{
    std::string region; ///< of this instance
    std::vector<BlockHash> prefix; ///< of the prompt, empty for services
    std::int64_t promptTokens = 0;
    std::set<std::string> excluded; ///< endpoints tried already
    MonoTime now{};
};

/// One candidate with its expected time to first token, for the time line.
struct Candidate
{
    std::string endpoint;
    double costMillis = 0;
    std::size_t cachedBlocks = 0; ///< expected

    auto operator<=>(const Candidate &) const = default;
};

inline constexpr std::size_t MaxRankedCandidates = 4;

/// Returns the cheapest candidates, cheapest first; empty if there is none.
std::vector<Candidate> rankEndpoints(const std::vector<const EndpointView *> &candidates,
                                     const RankingInput &input, const PlacementSettings &settings,
                                     const PrefixHistory &history);

} // namespace lavenderhall
