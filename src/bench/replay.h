#pragma once

#include "bench/trace.h"

#include <cstdint>
#include <string>
#include <vector>

/// Replay of a trace through the placement decisions of several instances, against a small model
/// of engines: a cache of blocks with eviction, one prefill at a time, load reports that lag.
namespace lavenderhall::bench {

enum class PolicyKind { RoundRobin, LeastLoad, FirstBlock, RouterPlacement, Oracle };

/// Names for the command line, in the order of PolicyKind.
const std::vector<std::string> &policyNames();

struct ReplayResult
{
    double hitRate = 0; ///< of prompt tokens
    double ttftP50Millis = 0;
    double ttftP95Millis = 0;
    double ttftP99Millis = 0;
    double urgentTtftP95Millis = 0; ///< of the most urgent requests
    double worstOrganisationTtftP95Millis = 0;
    std::int64_t wastedTokens = 0; ///< computed although some engine had computed them before
    std::int64_t requests = 0;
    std::int64_t crossRegionRequests = 0; ///< requests sent to another region
    std::uint64_t signature = 0; ///< of all decisions in order
};

/// Deterministic: the same trace and policy give the same result on each machine.
ReplayResult replay(const Trace &trace, PolicyKind policy);

} // namespace lavenderhall::bench
