#include "placement/endpointranking.h"

#include "base/digest.h"

#include <algorithm>
#include <array>

namespace lavenderhall {

namespace {

constexpr double MillisPerSecond = 1000;
// A prefix's home engines are those that rendezvous hashing selects for it. The first home is
// assumed to cache this fraction of the prefix even if this instance did not send it there, each
// further home half of the fraction of the one before.
constexpr double FirstHomeFraction = 0.8;
constexpr std::size_t HomesPerPrefix = 4;

/// A candidate while it is ranked.
struct Ranked
{
    const EndpointView *view = nullptr;
    std::uint64_t nameHash = 0;
    std::uint64_t tieBreak = 0; ///< spreads different prompts over candidates of equal cost
    double cost = 0; ///< expected milliseconds to the first token
    double cachedTokens = 0; ///< expected
};

double prefillMillis(double tokens, const PlacementSettings &settings)
{
    return MillisPerSecond * tokens / static_cast<double>(settings.prefillTokensPerSecond);
}

/// Returns the expected time in milliseconds until the engine starts a new request. It counts the
/// pending tokens of this instance, which a lagging report may not include, and the requests that
/// the report shows as running and waiting.
double queueMillis(const EndpointView &view, const PlacementSettings &settings)
{
    const double ownMillis = prefillMillis(static_cast<double>(view.pendingTokens), settings);
    const std::int64_t running = view.load ? view.load->running : 0;
    const std::int64_t waiting = view.load ? view.load->waiting : 0;
    const double otherWaiting = std::max<double>(0, static_cast<double>(waiting - view.inFlight));
    const double slots = static_cast<double>(std::max<std::int64_t>(1, view.endpoint.slots));
    const double slotLoad = static_cast<double>(std::max(running, view.inFlight)) / slots;
    const double blockMillis = prefillMillis(static_cast<double>(settings.blockTokens), settings);
    return ownMillis + (otherWaiting + slotLoad) * blockMillis;
}

/// Returns the depths, in blocks, at which a prefix has home engines: each power of two below its
/// length, and its length.
std::vector<std::size_t> depthsWithHomes(std::size_t blocks)
{
    std::vector<std::size_t> depths;
    for (std::size_t depth = 1; depth < blocks; depth *= 2)
        depths.push_back(depth);
    if (blocks > 0)
        depths.push_back(blocks);
    return depths;
}

/// Collects the HomesPerPrefix candidates with the highest weights, the homes of a prefix, in one
/// pass without sorting all candidates.
class HomeCandidates
{
public:
    void add(std::size_t candidate, std::uint64_t weight)
    {
        if (this->count == HomesPerPrefix && weight <= this->homes[this->count - 1].weight)
            return;
        std::size_t index = this->count < HomesPerPrefix ? this->count++ : this->count - 1;
        for (; index > 0 && this->homes[index - 1].weight < weight; --index)
            this->homes[index] = this->homes[index - 1];
        this->homes[index] = {candidate, weight};
    }

    std::size_t size() const { return this->count; }
    std::size_t candidate(std::size_t rank) const { return this->homes[rank].candidate; }

private:
    struct WeightedCandidate
    {
        std::size_t candidate;
        std::uint64_t weight;
    };

    std::array<WeightedCandidate, HomesPerPrefix> homes{};
    std::size_t count = 0;
};

/// Credits the home engines of each depth of the prefix with their assumed fraction of it. The
/// homes come from rendezvous hashing with the last block at that depth: all instances compute the
/// same homes without communication, and prompts that share a prefix up to that depth are sent to
/// the same engines whatever follows.
void creditHomes(std::vector<Ranked> &ranked, const RankingInput &input,
                 const PlacementSettings &settings)
{
    for (const std::size_t depth : depthsWithHomes(input.prefix.size())) {
        HomeCandidates homes;
        for (std::size_t index = 0; index < ranked.size(); ++index)
            homes.add(index, hashCombine(ranked[index].nameHash, input.prefix[depth - 1]));
        double fraction = FirstHomeFraction;
        const double depthTokens
            = static_cast<double>(depth) * static_cast<double>(settings.blockTokens);
        for (std::size_t rank = 0; rank < homes.size(); ++rank) {
            Ranked &home = ranked[homes.candidate(rank)];
            home.cachedTokens = std::max(home.cachedTokens, fraction * depthTokens);
            fraction /= 2;
        }
    }
}

} // namespace

std::vector<Candidate> rankEndpoints(const std::vector<const EndpointView *> &candidates,
                                     const RankingInput &input, const PlacementSettings &settings,
                                     const PrefixHistory &history)
{
    const BlockHash lastBlock = input.prefix.empty() ? 0 : input.prefix.back();
    const auto matches = history.findMatches(input.prefix, input.now);
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const EndpointView *view : candidates) {
        if (!input.excluded.empty() && input.excluded.contains(view->endpoint.name))
            continue;
        Ranked entry;
        entry.view = view;
        entry.nameHash = view->nameHash;
        entry.tieBreak = hashCombine(view->nameHash, lastBlock);
        if (!matches.empty()) {
            const std::uint32_t endpointNumber = history.endpointNumber(view->endpoint.name);
            for (const PrefixHistory::PrefixMatch &match : matches) {
                if (match.endpoint == endpointNumber)
                    entry.cachedTokens = static_cast<double>(match.blocks)
                        * static_cast<double>(settings.blockTokens);
            }
        }
        ranked.push_back(entry);
    }
    if (!input.prefix.empty())
        creditHomes(ranked, input, settings);
    for (Ranked &entry : ranked) {
        const double uncachedTokens
            = std::max(0.0, static_cast<double>(input.promptTokens) - entry.cachedTokens);
        entry.cost = queueMillis(*entry.view, settings) + prefillMillis(uncachedTokens, settings);
        if (entry.view->endpoint.region != input.region)
            entry.cost += static_cast<double>(settings.crossRegionMillis);
    }
    const auto count = std::min(ranked.size(), MaxRankedCandidates);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(count), ranked.end(),
                      [](const Ranked &left, const Ranked &right) {
                          if (left.cost != right.cost)
                              return left.cost < right.cost;
                          return left.tieBreak > right.tieBreak;
                      });
    std::vector<Candidate> result;
    for (std::size_t index = 0; index < count; ++index) {
        const Ranked &entry = ranked[index];
        result.push_back(
            {entry.view->endpoint.name, entry.cost,
             static_cast<std::size_t>(entry.cachedTokens)
                 / static_cast<std::size_t>(std::max<std::int64_t>(1, settings.blockTokens))});
    }
    return result;
}

} // namespace lavenderhall
