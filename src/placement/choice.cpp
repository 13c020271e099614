#include "placement/choice.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>

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
    std::uint64_t weight = 0;
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
    if (!view.load)
        return own;
    const double others
        = std::max<double>(0, static_cast<double>(view.load->waiting - view.inFlight));
    const double slots = static_cast<double>(std::max<std::int64_t>(1, view.endpoint.slots));
    const double busy = static_cast<double>(view.load->running) / slots;
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

/// Gives the first homes of a prefix's levels, by rendezvous hashing of the level's last block,
/// their share of it. All instances agree on them without a word, and prompts that share a level
/// meet at its homes whatever follows.
void creditHomes(std::vector<Ranked> &ranked, const ChoiceInput &input,
                 const PlacementSettings &settings)
{
    const auto count = std::min(ranked.size(), HomesPerPrefix);
    for (const std::size_t depth : homeDepths(input.prefix.size())) {
        for (Ranked &entry : ranked)
            entry.weight = hashCombine(entry.nameHash, input.prefix[depth - 1]);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(count), ranked.end(),
                          [](const Ranked &one, const Ranked &other) {
                              return one.weight > other.weight;
                          });
        double share = HomeShare;
        const double levelTokens
            = static_cast<double>(depth) * static_cast<double>(settings.blockTokens);
        for (std::size_t index = 0; index < count; ++index) {
            ranked[index].cachedTokens = std::max(ranked[index].cachedTokens, share * levelTokens);
            share /= 2;
        }
    }
}

} // namespace

std::vector<Candidate> rankEndpoints(const std::vector<const EndpointView *> &candidates,
                                     const ChoiceInput &input, const PlacementSettings &settings,
                                     const PrefixHistory &history)
{
    const auto holdings = history.holdings(input.prefix, input.now);
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const EndpointView *view : candidates) {
        if (input.excluded.contains(view->endpoint.name))
            continue;
        Ranked entry;
        entry.view = view;
        entry.nameHash = hash64(view->endpoint.name);
        entry.weight = entry.nameHash;
        if (!holdings.empty()) {
            const std::uint32_t number = history.numberOf(view->endpoint.name);
            for (const PrefixHistory::Holding &holding : holdings) {
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
    const auto count = std::min(ranked.size(), RankedCandidates);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(count), ranked.end(),
                      [](const Ranked &one, const Ranked &other) {
                          if (one.cost != other.cost)
                              return one.cost < other.cost;
                          return one.weight > other.weight;
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
