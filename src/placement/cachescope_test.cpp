#include "base/digest.h"
#include "placement/cachescope.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <set>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr int Seeds = 50;
constexpr int NamesPerSeed = 12;

/// Returns a name put together from the words and separators of the scopes' own keys.
std::string drawName(pcg32 &random)
{
    static const std::vector<std::string> Parts{
        "shared", "isolated", "request", "weights", "/", ":", "1", "7", "6:shared", "a", "", "\n"};
    std::string name;
    const unsigned count = random(4);
    for (unsigned index = 0; index < count; ++index)
        name += Parts[random(static_cast<unsigned>(Parts.size()))];
    return name;
}

} // namespace

// Guards against two owners of one salt because of the texts in their names.
Test(cachescope, no_two_scopes_have_a_salt_in_common)
{
    for (int seed = 0; seed < Seeds; ++seed) {
        pcg32 random(static_cast<std::uint64_t>(seed));
        std::set<std::string> names;
        for (int count = 0; count < NamesPerSeed; ++count)
            names.insert(drawName(random));
        std::set<std::string> salts;
        std::size_t scopes = 0;
        const auto addScope = [&](const CacheScope &scope) {
            ++scopes;
            salts.insert(scope.saltFor(1));
            salts.insert(scope.saltFor(7));
            salts.insert(CacheScope::uniqueSalt());
        };
        for (const std::string &model : names) {
            addScope(CacheScope::shared("", model));
            addScope(CacheScope::shared("isolated", model));
            for (const std::string &organisation : names)
                addScope(CacheScope::isolated(organisation, model));
        }
        cr_assert(salts.size() == 3 * scopes, "seed %d: %zu salts of %zu scopes", seed,
                  salts.size(), scopes);
    }
}

// Guards against an upgrade, or another set of isolated organisations, that moves all prompts.
Test(cachescope, homes_stay_the_same)
{
    const std::uint64_t shared = CacheScope::shared("", "loom").homeSeed();
    cr_assert(shared == hash64("shared/loom"));
    cr_assert(CacheScope::shared("another digest", "loom").homeSeed() == shared);
    cr_assert(CacheScope::isolated("mill", "loom").homeSeed() == hash64("mill/loom"));
    const std::set<std::uint64_t> seeds{shared, CacheScope::isolated("mill", "loom").homeSeed(),
                                        CacheScope::isolated("loft", "loom").homeSeed(),
                                        CacheScope::shared("", "quay").homeSeed()};
    cr_assert(seeds.size() == 4U);
}
