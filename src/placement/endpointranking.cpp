#include "placement/endpointranking.h"

#include "base/digest.h"

#include <algorithm>
#include <array>

namespace lavenderhall {

namespace {

constexpr double MillisPerSecond = 1000;
// What the first of a prefix's homes is taken to hold of a prompt whose place is not known; each
// further home counts for half of the one before.
constexpr double HomeShare = 0.8;
constexpr std::size_t HomesPerPrefix = 4;

struct Ranked
{
    const EndpointView *view = nullptr;
    std::uint64_t nameHash = 0;
    std::uint64_t tieBreak = 0; ///< spreads different prompts over candidates of equal cost
    double cost = 0;
    double cachedTokens = 0;
};

double prefillMillis(double tokens, const PlacementSettings &settings)
{
    return MillisPerSecond * tokens / static_cast<double>(settings.prefillTokensPerSecond);
}

/// Time until the engine gets to a new request: own tokens not yet answered, which the lagging
/// report cannot know of, and the requests that the report shows waiting.
double queueMillis(const EndpointView &view, const PlacementSettings &settings)
{
    const double own = prefillMillis(static_cast<double>(view.pendingTokens), settings);
    const std::int64_t reported = view.load ? view.load->running : 0;
    const std::int64_t waiting = view.load ? view.load->waiting : 0;
    const double others = std::max<double>(0, static_cast<double>(waiting - view.inFlight));
    const double slots = static_cast<double>(std::max<std::int64_t>(1, view.endpoint.slots));
    const double busy = static_cast<double>(std::max(reported, view.inFlight)) / slots;
    const double block = prefillMillis(static_cast<double>(settings.blockTokens), settings);
    return own + (others + busy) * block;
}

/// Depths of a prefix whose blocks have homes: the first, each power of two, and the last.
std::vector<std::size_t> homeDepths(std::size_t blocks)
{
    std::vector<std::size_t> depths;
    for (std::size_t depth = 1; depth < blocks; depth *= 2)
        depths.push_back(depth);
    if (blocks > 0)
        depths.push_back(blocks);
    return depths;
}

/// The candidates with the highest weights, found in one pass without moving any.
class HighestWeights
{
public:
    void add(std::size_t candidate, std::uint64_t weight)
    {
        if (this->count == HomesPerPrefix && weight <= this->homes[this->count - 1].weight)
            return;
        std::size_t at = this->count < HomesPerPrefix ? this->count++ : this->count - 1;
        for (; at > 0 && this->homes[at - 1].weight < weight; --at)
            this->homes[at] = this->homes[at - 1];
        this->homes[at] = {candidate, weight};
    }

    std::size_t size() const { return this->count; }
    std::size_t candidate(std::size_t place) const { return this->homes[place].candidate; }

private:
    struct Home
    {
        std::size_t candidate;
        std::uint64_t weight;
    };

    std::array<Home, HomesPerPrefix> homes{};
    std::size_t count = 0;
};

/// Gives the first homes of a prefix's levels, by rendezvous hashing of the level's last block,
/// their share of it. All instances agree on them without a word, and prompts that share a level
/// meet at its homes whatever follows.
void creditHomes(std::vector<Ranked> &ranked, const RankingInput &input,
                 const PlacementSettings &settings)
{
    for (const std::size_t depth : homeDepths(input.prefix.size())) {
        HighestWeights homes;
        for (std::size_t index = 0; index < ranked.size(); ++index)
            homes.add(index, hashCombine(ranked[index].nameHash, input.prefix[depth - 1]));
        double share = HomeShare;
        const double levelTokens
            = static_cast<double>(depth) * static_cast<double>(settings.blockTokens);
        for (std::size_t place = 0; place < homes.size(); ++place) {
            Ranked &home = ranked[homes.candidate(place)];
            home.cachedTokens = std::max(home.cachedTokens, share * levelTokens);
            share /= 2;
        }
    }
}

} // namespace

std::vector<Candidate> rankEndpoints(const std::vector<const EndpointView *> &candidates,
                                     const RankingInput &input, const PlacementSettings &settings,
                                     const PrefixHistory &history)
{
    const BlockHash last = input.prefix.empty() ? 0 : input.prefix.back();
    const auto findMatches = history.findMatches(input.prefix, input.now);
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const EndpointView *view : candidates) {
        if (!input.excluded.empty() && input.excluded.contains(view->endpoint.name))
            continue;
        Ranked entry;
        entry.view = view;
        entry.nameHash = view->nameHash;
        entry.tieBreak = hashCombine(view->nameHash, last);
        if (!findMatches.empty()) {
            const std::uint32_t number = history.endpointNumber(view->endpoint.name);
            for (const PrefixHistory::PrefixMatch &holding : findMatches) {
                if (holding.endpoint == number)
                    entry.cachedTokens = static_cast<double>(holding.blocks)
                        * static_cast<double>(settings.blockTokens);
            }
        }
        ranked.push_back(entry);
    }
    if (!input.prefix.empty())
        creditHomes(ranked, input, settings);
    for (Ranked &entry : ranked) {
        const double missing
            = std::max(0.0, static_cast<double>(input.promptTokens) - entry.cachedTokens);
        entry.cost = queueMillis(*entry.view, settings) + prefillMillis(missing, settings);
        if (entry.view->endpoint.region != input.region)
            entry.cost += static_cast<double>(settings.crossRegionMillis);
    }
    const auto count = std::min(ranked.size(), MaxRankedCandidates);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(count), ranked.end(),
                      [](const Ranked &one, const Ranked &other) {
                          if (one.cost != other.cost)
                              return one.cost < other.cost;
                          return one.tieBreak > other.tieBreak;
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
