#include "router/routerfixture.h"

using namespace lavenderhall;

namespace {

std::size_t requestsAtEngines(const Fixture &fixture)
{
    return fixture.firstEngine.requestCount() + fixture.secondEngine.requestCount();
}

} // namespace

// Guards against a request that ran and was sent again, or was reported as not run, because its
// engine answered 404 or 429.
Test(foreignrefusals, a_status_alone_does_not_state_that_a_request_has_not_run)
{
    for (const int status : {404, 408, 429, 503}) {
        for (const bool streams : {false, true}) {
            Fixture fixture;
            fixture.firstEngine.faults.statusAfterRun = status;
            fixture.secondEngine.faults.statusAfterRun = status;
            const Answer once = fixture.complete("once", 4, streams);
            const std::size_t runs = requestsAtEngines(fixture);
            cr_assert(runs == 1U && once.outcome() != "not-run", "%d: ran %zu times, told \"%s\"",
                      status, runs, once.outcome().c_str());
            const Answer repeatable = fixture.complete("review", 4, streams);
            cr_assert(requestsAtEngines(fixture) > runs);
            cr_assert(repeatable.outcome() != "not-run", "%d: %s", status, repeatable.body.c_str());
        }
    }
}
