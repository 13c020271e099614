#pragma once

#include "bench/fleetmodel.h"
#include "bench/replay.h"

#include <cstdint>
#include <vector>

/// The choice of the engine for a request, for each policy that a replay can compare.
namespace lavenderhall::bench {

/// Chooses among the engines of one replay. Engines are identified by their numbers.
class EngineChooser
{
public:
    /// \a document is the deployment's configuration and \a engines its engines.
    EngineChooser(PolicyKind policy, const Document &document,
                  const std::vector<EngineModel> &engines)
        : policy(policy)
        , document(document)
        , engines(engines)
    { }

    /// Returns the engine that \a instance sends the job to, and sets the tokens that it expects
    /// the engine to compute, where the policy estimates them.
    std::size_t choose(const InstanceModel &instance, Job &job, MonoTime now);

private:
    std::size_t leastLoaded(const InstanceModel &instance) const;
    std::size_t byFirstBlock(const Job &job) const;
    std::size_t byRouterPlacement(const InstanceModel &instance, Job &job, MonoTime now) const;
    std::size_t byOracle(const InstanceModel &instance, const Job &job, MonoTime now) const;
    /// Returns the oracle's estimate of the time until the job's first token, in milliseconds.
    double oracleCost(const EngineModel &engine, const InstanceModel &instance, const Job &job,
                      MonoTime now) const;

    PolicyKind policy;
    const Document &document;
    const std::vector<EngineModel> &engines;
    std::size_t roundRobinCount = 0;
};

} // namespace lavenderhall::bench
