#include "base/digest.h"
#include "base/json.h"
#include "bench/replay.h"
#include "client/command.h"
#include "router/settings.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace lavenderhall {

namespace {

constexpr std::int64_t DefaultInstances = 8; // in generated traces

Json resultToJson(const bench::Trace &trace, const std::string &policy,
                  const bench::ReplayResult &result)
{
    return {{"trace", trace.name},
            {"policy", policy},
            {"requests", result.requests},
            {"hit_rate", result.hitRate},
            {"ttft_p50_ms", result.ttftP50Millis},
            {"ttft_p95_ms", result.ttftP95Millis},
            {"ttft_p99_ms", result.ttftP99Millis},
            {"short_ttft_p95_ms", result.urgentTtftP95Millis},
            {"worst_org_ttft_p95_ms", result.worstOrganisationTtftP95Millis},
            {"wasted_tokens", result.wastedTokens},
            {"cross_region", result.crossRegionRequests},
            {"signature", hex64(result.signature)}};
}

void printResult(const bench::Trace &trace, const std::string &policy,
                 const bench::ReplayResult &result)
{
    std::printf("%-21s %-12s hit %5.1f%%  ttft ms p50 %6.0f p95 %6.0f p99 %6.0f  short p95 %6.0f  "
                "worst org p95 %6.0f  wasted %8lld  cross-region %lld\n",
                trace.name.c_str(), policy.c_str(), 100 * result.hitRate, result.ttftP50Millis,
                result.ttftP95Millis, result.ttftP99Millis, result.urgentTtftP95Millis,
                result.worstOrganisationTtftP95Millis, static_cast<long long>(result.wastedTokens),
                static_cast<long long>(result.crossRegionRequests));
}

/// Returns the trace file that was given, or else the generated traces of the given names; all of
/// them without a name.
Result<std::vector<bench::Trace>> selectTraces(const Arguments &arguments)
{
    std::vector<bench::Trace> traces;
    const std::int64_t instances
        = arguments.traceInstances > 0 ? arguments.traceInstances : DefaultInstances;
    if (!arguments.traceFile.empty()) {
        BOOST_LEAF_AUTO(text, readFile(arguments.traceFile));
        BOOST_LEAF_AUTO(trace, bench::parseTrace(text, arguments.traceFile));
        traces.push_back(std::move(trace));
        return traces;
    }
    for (const std::string &name : bench::traceNames()) {
        const bool isSelected = arguments.positionals.empty()
            || std::find(arguments.positionals.begin(), arguments.positionals.end(), name)
                != arguments.positionals.end();
        if (!isSelected)
            continue;
        BOOST_LEAF_AUTO(
            trace, bench::makeTrace(name, static_cast<std::uint64_t>(arguments.seed), instances));
        traces.push_back(std::move(trace));
    }
    if (traces.empty())
        return fail(ErrorCode::NotFound, "bench", "there is no trace with such a name");
    return traces;
}

} // namespace

Result<int> runBench(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(traces, selectTraces(arguments));
    const auto &policyNames = bench::policyNames();
    if (!arguments.policy.empty()
        && std::find(policyNames.begin(), policyNames.end(), arguments.policy) == policyNames.end())
        return fail(ErrorCode::BadInput, "bench",
                    "there is no policy \"" + arguments.policy + "\"");
    std::uint64_t signature = 0; // of the router's own policy, over all traces
    for (const bench::Trace &trace : traces) {
        if (arguments.printsTrace) {
            std::cout << bench::toJsonLines(trace);
            continue;
        }
        for (std::size_t index = 0; index < policyNames.size(); ++index) {
            if (!arguments.policy.empty() && arguments.policy != policyNames[index])
                continue;
            const auto kind = static_cast<bench::PolicyKind>(index);
            const bench::ReplayResult result = bench::replay(trace, kind);
            if (kind == bench::PolicyKind::RouterPlacement)
                signature = hashCombine(signature, result.signature);
            if (arguments.printsJson)
                std::cout << resultToJson(trace, policyNames[index], result).dump() << "\n";
            else
                printResult(trace, policyNames[index], result);
        }
    }
    if (!arguments.printsTrace && !arguments.printsJson)
        std::printf("Bench: %s\n", hex64(signature).c_str());
    return ExitDone;
}

} // namespace lavenderhall
