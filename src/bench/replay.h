#pragma once

#include "bench/trace.h"

#include <cstdint>
#include <string>
#include <vector>

/// Discrete-event simulation that replays a trace through the placement decisions of several
/// instances. An engine is modelled by an LRU cache of prompt blocks, a queue with one prefill at a
/// time, a limited number of slots, and load reports that lag.
namespace lavenderhall::bench {

/// How an instance chooses the engine for a request.
///
/// RoundRobin takes the engines in turn; LeastLoad takes the one with the fewest requests;
/// FirstBlock uses rendezvous hashing of the prompt's first block; RouterPlacement is the router's
/// own placement, called "ours" on the command line; Oracle knows all queues and caches.
enum class PolicyKind { RoundRobin, LeastLoad, FirstBlock, RouterPlacement, Oracle };

/// Returns the policies' names on the command line, in the order of PolicyKind.
const std::vector<std::string> &policyNames();

/// Figures of one replay. A time to first token (TTFT) runs from a request's arrival at an instance
/// to the first token there.
struct ReplayResult
{
    double hitRate = 0; ///< share of the prompt tokens that came from an engine's cache
    double ttftP50Millis = 0;
    double ttftP95Millis = 0;
    double ttftP99Millis = 0;
    double urgentTtftP95Millis = 0; ///< of the requests with priority 0
    double worstOrganisationTtftP95Millis = 0; ///< highest P95 of any organisation
    std::int64_t wastedTokens = 0; ///< computed again after any engine had computed them
    std::int64_t requests = 0; ///< answered
    std::int64_t crossRegionRequests = 0; ///< sent to an engine of another region
    std::uint64_t signature = 0; ///< hash of all chosen engines in order
};

/// Replays \a trace with \a policy. The same trace and policy give the same result on every
/// machine.
ReplayResult replay(const Trace &trace, PolicyKind policy);

} // namespace lavenderhall::bench
