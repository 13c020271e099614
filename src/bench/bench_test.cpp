#include "bench/replay.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;
using namespace lavenderhall::bench;

namespace {

Trace traceOf(const std::string &name, std::uint64_t seed)
{
    const auto made = toOutcome([&] { return makeTrace(name, seed, 8); });
    return std::get<Trace>(made);
}

} // namespace

Test(bench, a_seeded_run_is_identical_each_time)
{
    const Trace trace = traceOf("lakeshore-crash", 7);
    cr_assert(replay(trace, PolicyKind::Ours).signature
              == replay(trace, PolicyKind::Ours).signature);
    cr_assert(replay(trace, PolicyKind::Ours).signature
              != replay(traceOf("lakeshore-crash", 8), PolicyKind::Ours).signature);
}

Test(bench, traces_survive_their_file_format)
{
    const Trace trace = traceOf("kiriketha-crash", 3);
    const auto parsed = toOutcome([&] { return parseTrace(toJsonLines(trace), "trace"); });
    cr_assert(std::get<Trace>(parsed) == trace);
    const auto broken = toOutcome([&] { return parseTrace("{\"name\":\"x\"}\n", "trace"); });
    cr_assert(std::get<Error>(broken).detail.starts_with("trace line 1: engines"));
}

// Stated targets: hit rate at least 95% of the oracle's on an ordinary day, and a fault never
// makes it worse than choosing by load.
Test(bench, hit_rate_is_near_the_oracles_and_tails_are_below_least_load)
{
    for (const std::string &name : traceNames()) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Trace trace = traceOf(name, seed);
            const ReplayResult ours = replay(trace, PolicyKind::Ours);
            const ReplayResult leastLoad = replay(trace, PolicyKind::LeastLoad);
            cr_assert(ours.requests == static_cast<std::int64_t>(trace.arrivals.size()));
            cr_assert(ours.ttftP99Millis <= leastLoad.ttftP99Millis, "%s seed %lu", name.c_str(),
                      static_cast<unsigned long>(seed));
            if (!name.ends_with("ordinary"))
                continue;
            const ReplayResult oracle = replay(trace, PolicyKind::Oracle);
            cr_assert(ours.hitRate >= 0.95 * oracle.hitRate, "%s seed %lu: %f of %f", name.c_str(),
                      static_cast<unsigned long>(seed), ours.hitRate, oracle.hitRate);
        }
    }
}
