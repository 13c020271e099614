#include "bench/enginechooser.h"

#include "base/digest.h"
#include "bench/deployment.h"
#include "placement/endpointranking.h"

#include <algorithm>
#include <chrono>

namespace lavenderhall::bench {

namespace {

constexpr double MillisPerSecond = 1000;

} // namespace

std::size_t EngineChooser::choose(const InstanceModel &instance, Job &job, MonoTime now)
{
    switch (this->policy) {
    case PolicyKind::RoundRobin:
        return this->roundRobinCount++ % this->engines.size();
    case PolicyKind::LeastLoad:
        return this->leastLoaded(instance);
    case PolicyKind::FirstBlock:
        return this->byFirstBlock(job);
    case PolicyKind::Oracle:
        return this->byOracle(instance, job, now);
    case PolicyKind::RouterPlacement:
        break;
    }
    return this->byRouterPlacement(instance, job, now);
}

// The last report lags and leaves out what was sent since; the instance's own requests leave out
// those of others. The greater of the two counts.
std::size_t EngineChooser::leastLoaded(const InstanceModel &instance) const
{
    const auto load = [&](const EngineModel &engine) {
        const EndpointView &view = *instance.endpointTable.find(engine.name);
        const std::int64_t reported = view.load ? view.load->running + view.load->waiting : 0;
        return std::max(reported, view.inFlight);
    };
    const auto best = std::min_element(this->engines.begin(), this->engines.end(),
                                       [&](const EngineModel &left, const EngineModel &right) {
                                           return load(left) < load(right);
                                       });
    return static_cast<std::size_t>(best - this->engines.begin());
}

// Rendezvous hashing: the engine whose name has the greatest hash with the first block as seed.
std::size_t EngineChooser::byFirstBlock(const Job &job) const
{
    const std::uint64_t seed = job.prefix.empty() ? job.arrival : job.prefix.front();
    const auto best
        = std::max_element(this->engines.begin(), this->engines.end(),
                           [seed](const EngineModel &left, const EngineModel &right) {
                               return hash64(left.name, seed) < hash64(right.name, seed);
                           });
    return static_cast<std::size_t>(best - this->engines.begin());
}

std::size_t EngineChooser::byRouterPlacement(const InstanceModel &instance, Job &job,
                                             MonoTime now) const
{
    const auto candidates = instance.endpointTable.candidates(this->document.routes.front(),
                                                              &this->document.models.front(), now);
    RankingInput input;
    input.region = instance.region;
    input.prefix = job.prefix;
    input.promptTokens = job.promptTokens;
    input.now = now;
    const Candidate best
        = rankEndpoints(candidates, input, this->document.placement, instance.history).front();
    job.expectedMissingTokens = std::max<std::int64_t>(
        0, job.promptTokens - static_cast<std::int64_t>(best.cachedBlocks) * BlockTokens);
    const auto chosen
        = std::find_if(this->engines.begin(), this->engines.end(),
                       [&best](const EngineModel &engine) { return engine.name == best.endpoint; });
    return static_cast<std::size_t>(chosen - this->engines.begin());
}

std::size_t EngineChooser::byOracle(const InstanceModel &instance, const Job &job,
                                    MonoTime now) const
{
    std::size_t best = 0;
    double bestCost = 0;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        const double cost = this->oracleCost(this->engines[index], instance, job, now);
        if (index > 0 && cost >= bestCost)
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

// Uses the present queue and cache of the engine. Does not see requests that are still on their way
// to it.
double EngineChooser::oracleCost(const EngineModel &engine, const InstanceModel &instance,
                                 const Job &job, MonoTime now) const
{
    double tokens = 0; // to be computed before the first token of this job
    for (const Job &queued : engine.waiting)
        tokens += static_cast<double>(engine.missingTokens(queued));
    tokens += static_cast<double>(engine.missingTokens(job));
    double cost = MillisPerSecond * tokens / static_cast<double>(PrefillTokensPerSecond);
    if (engine.isPrefilling)
        cost += std::chrono::duration<double, std::milli>(engine.prefillEnd - now).count();
    if (engine.region != instance.region)
        cost += static_cast<double>((2 * CrossRegionOneWay).count());
    return cost;
}

} // namespace lavenderhall::bench
