#include "bench/replay.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;
using namespace lavenderhall::bench;

namespace {

constexpr std::int64_t Instances = 8;

Trace generateTrace(const std::string &name, std::uint64_t seed)
{
    const auto outcome = toOutcome([&] { return makeTrace(name, seed, Instances); });
    return std::get<Trace>(outcome);
}

} // namespace

// The signature is compared between builds and machines. It loses its use if a decision depends on
// anything but the trace, such as the order of a hash table or the clock.
Test(bench, equal_traces_give_equal_signatures_and_other_seeds_do_not)
{
    const Trace trace = generateTrace("lakeshore-crash", 7);
    cr_assert(replay(trace, PolicyKind::RouterPlacement).signature
              == replay(trace, PolicyKind::RouterPlacement).signature);
    cr_assert(
        replay(trace, PolicyKind::RouterPlacement).signature
        != replay(generateTrace("lakeshore-crash", 8), PolicyKind::RouterPlacement).signature);
}

// A field that is written and not read, or read under another name, would change a trace that is
// saved and replayed. A line with a missing field must be reported with its number.
Test(bench, a_written_trace_is_parsed_unchanged_and_an_incomplete_line_is_reported)
{
    const Trace trace = generateTrace("kiriketha-crash", 3);
    const auto parsed = toOutcome([&] { return parseTrace(toJsonLines(trace), "trace"); });
    cr_assert(std::get<Trace>(parsed) == trace);
    const auto broken = toOutcome([&] { return parseTrace("{\"name\":\"x\"}\n", "trace"); });
    cr_assert(std::get<Error>(broken).detail.starts_with("trace line 1: engines"));
}

// Guards against a placement that gives up cache hits for balance, or balance for cache hits. The
// targets: on an ordinary day a hit rate of at least 95% of the oracle's, and on each trace, also
// with faults, a 99th percentile of the time to first token no higher than with LeastLoad.
Test(bench, hit_rate_is_near_the_oracle_and_p99_is_not_above_least_load)
{
    for (const std::string &name : traceNames()) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Trace trace = generateTrace(name, seed);
            const ReplayResult placement = replay(trace, PolicyKind::RouterPlacement);
            const ReplayResult leastLoad = replay(trace, PolicyKind::LeastLoad);
            cr_assert(placement.requests == static_cast<std::int64_t>(trace.arrivals.size()));
            cr_assert(placement.ttftP99Millis <= leastLoad.ttftP99Millis, "%s seed %lu",
                      name.c_str(), static_cast<unsigned long>(seed));
            if (!name.ends_with("ordinary"))
                continue;
            const ReplayResult oracle = replay(trace, PolicyKind::Oracle);
            cr_assert(placement.hitRate >= 0.95 * oracle.hitRate, "%s seed %lu: %f of %f",
                      name.c_str(), static_cast<unsigned long>(seed), placement.hitRate,
                      oracle.hitRate);
        }
    }
}
