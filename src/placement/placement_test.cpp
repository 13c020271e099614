#include "placement/endpointranking.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <set>

using namespace lavenderhall;

namespace {

constexpr std::size_t BlockBytes = 64;

MonoTime at(std::int64_t millis)
{
    return MonoTime(Millis(1'000'000 + millis));
}

PrefixScope scopeOf(const std::string &organisation)
{
    return {cacheSaltOf(organisation), "loom", "care@4", "v1"};
}

std::string textOf(std::size_t blocks, char character)
{
    return std::string(blocks * BlockBytes, character);
}

EndpointView viewOf(const std::string &name, const std::string &region = "east")
{
    EndpointView view;
    view.endpoint.name = name;
    view.endpoint.region = region;
    view.endpoint.slots = 8;
    return view;
}

} // namespace

Test(prefix, prompts_share_the_block_hashes_of_their_common_prefix)
{
    const auto longer = hashBlocks(scopeOf("mill"), textOf(4, 'a') + textOf(2, 'b'), BlockBytes);
    const auto shorter = hashBlocks(scopeOf("mill"), textOf(4, 'a') + "rest", BlockBytes);
    cr_assert(longer.size() == 6U && shorter.size() == 4U);
    cr_assert(std::equal(shorter.begin(), shorter.end(), longer.begin()));
    const auto unrelated = hashBlocks(scopeOf("mill"), textOf(1, 'x') + textOf(3, 'a'), BlockBytes);
    for (const BlockHash block : unrelated)
        cr_assert(std::find(longer.begin(), longer.end(), block) == longer.end());
}

Test(prefix, no_block_matches_across_organisations_models_adapters_or_versions)
{
    std::set<BlockHash> hashes;
    std::size_t hashCount = 0;
    for (const std::string organisation : {"mill", "rival", "mil", ""}) {
        for (const std::string model : {"loom", "loo"}) {
            for (const std::string adapter : {"", "care@4", "care@5"}) {
                for (const std::string version : {"v1", "v2"}) {
                    const PrefixScope scope{cacheSaltOf(organisation), model, adapter, version};
                    for (const BlockHash block : hashBlocks(scope, textOf(8, 'a'), BlockBytes)) {
                        hashes.insert(block);
                        ++hashCount;
                    }
                }
            }
        }
    }
    cr_assert(hashes.size() == hashCount);
}

Test(history, entries_end_with_time_with_a_lost_cache_and_beyond_the_block_limit)
{
    const auto prefix = hashBlocks(scopeOf("mill"), textOf(5, 'a'), BlockBytes);
    PrefixHistory history(8, Millis(1000));
    history.onSent("gpu-1", prefix, at(0));
    cr_assert(history.findMatches(prefix, at(500)).front().blocks == 5U);
    cr_assert(history.findMatches(prefix, at(1500)).empty());
    history.onSent("gpu-1", prefix, at(2000));
    history.onCacheLost("gpu-1");
    cr_assert(history.findMatches(prefix, at(2001)).empty());
    history.onSent("gpu-1", prefix, at(2002));
    cr_assert(history.findMatches(prefix, at(2003)).front().blocks == 5U);
    history.onSent("gpu-2", hashBlocks(scopeOf("mill"), textOf(8, 'z'), BlockBytes), at(2004));
    cr_assert(history.blockCount() == 8U);
    cr_assert(history.findMatches(prefix, at(2005)).empty());
}

Test(history, never_credits_an_engine_with_blocks_sent_before_its_crash)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        pcg32 random(seed);
        PrefixHistory history(1000, Millis(100'000));
        std::vector<std::set<BlockHash>> sentBlocks(3);
        for (int step = 0; step < 100; ++step) {
            const std::uint32_t engine = random(3);
            const std::string name = "gpu-" + std::to_string(engine);
            const auto prefix
                = hashBlocks(scopeOf(random(2) == 0 ? "mill" : "rival"),
                             textOf(1 + random(3), 'a') + textOf(1 + random(2), 'b'), BlockBytes);
            if (random(10) == 0) {
                history.onCacheLost(name);
                sentBlocks[engine].clear();
            } else if (random(2) == 0) {
                history.onSent(name, prefix, at(step));
                sentBlocks[engine].insert(prefix.begin(), prefix.end());
            }
            for (const auto &match : history.findMatches(prefix, at(step))) {
                for (std::uint32_t index = 0; index < 3; ++index) {
                    if (history.endpointNumber("gpu-" + std::to_string(index)) != match.endpoint)
                        continue;
                    for (std::size_t block = 0; block < match.blocks; ++block)
                        cr_assert(sentBlocks[index].contains(prefix[block]), "seed %lu",
                                  static_cast<unsigned long>(seed));
                }
            }
        }
    }
}

Test(ranking, prefers_the_cached_prefix_until_the_queue_outweighs_it)
{
    PlacementSettings settings;
    PrefixHistory history(1000, Millis(30'000));
    EndpointView warm = viewOf("gpu-warm");
    const EndpointView cold = viewOf("gpu-cold");
    RankingInput input;
    input.region = "east";
    input.prefix.assign(8, 0);
    for (std::size_t depth = 0; depth < input.prefix.size(); ++depth)
        input.prefix[depth] = 100 + depth;
    input.promptTokens = 8 * settings.blockTokens + 100;
    input.now = at(0);
    history.onSent("gpu-warm", input.prefix, at(0));
    cr_assert(rankEndpoints({&warm, &cold}, input, settings, history).front().endpoint
              == "gpu-warm");
    warm.pendingTokens = 20 * settings.blockTokens;
    cr_assert(rankEndpoints({&warm, &cold}, input, settings, history).front().endpoint
              == "gpu-cold");
}

Test(ranking, prefers_its_own_region_at_equal_cost_and_skips_excluded_endpoints)
{
    const PlacementSettings settings;
    const PrefixHistory history(10, Millis(1000));
    const EndpointView near = viewOf("gpu-near");
    const EndpointView far = viewOf("gpu-far", "west");
    RankingInput input;
    input.region = "east";
    cr_assert(rankEndpoints({&far, &near}, input, settings, history).front().endpoint
              == "gpu-near");
    input.excluded = {"gpu-near"};
    cr_assert(rankEndpoints({&far, &near}, input, settings, history).front().endpoint == "gpu-far");
    input.excluded.insert("gpu-far");
    cr_assert(rankEndpoints({&far, &near}, input, settings, history).empty());
}
