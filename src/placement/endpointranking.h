#pragma once

#include "placement/endpointtable.h"
#include "placement/history.h"
#include "placement/prefix.h"

#include <set>
#include <string>
#include <vector>

/// Ranks the endpoints for a request by the expected time to its first token.
namespace lavenderhall {

/// What the ranking depends on besides the endpoints' state.
struct RankingInput
{
    std::string region; ///< of this instance
    std::vector<BlockHash> prefix; ///< block hashes of the prompt; empty for services
    std::int64_t promptTokens = 0; ///< length of the prompt
    std::set<std::string> excluded; ///< names of endpoints that were tried already
    MonoTime now{};
};

/// A candidate with its expected time to the first token. The time line records it too.
struct Candidate
{
    std::string endpoint;
    double costMillis = 0; ///< expected time to the first token
    std::size_t cachedBlocks = 0; ///< blocks of the prompt that its cache is expected to hold

    auto operator<=>(const Candidate &) const = default;
};

inline constexpr std::size_t MaxRankedCandidates = 4;

/// Returns the candidates with the lowest costs, at most MaxRankedCandidates, lowest first; empty
/// if there are none.
std::vector<Candidate> rankEndpoints(const std::vector<const EndpointView *> &candidates,
                                     const RankingInput &input, const PlacementSettings &settings,
                                     const PrefixHistory &history);

} // namespace lavenderhall
