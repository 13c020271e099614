#pragma once

#include "base/clock.h"
#include "bench/blockcache.h"
#include "bench/trace.h"
#include "config/document.h"
#include "placement/endpointtable.h"
#include "placement/history.h"

#include <cstdint>
#include <string>
#include <vector>

/// The engines and router instances of a simulated deployment, and the requests between them.
namespace lavenderhall::bench {

/// A request on its way through the model.
struct Job
{
    std::size_t arrival = 0; ///< index in the trace's arrivals
    std::int64_t instance = 0;
    std::int64_t expectedMissingTokens = 0; ///< to be computed, as estimated at the choice
    std::vector<BlockHash> prefix;
    std::int64_t promptTokens = 0;
};

/// One engine: its queue, its running requests and its prefix cache.
struct EngineModel
{
    std::string name;
    std::string region;
    std::int64_t incarnation = 1;
    std::vector<Job> waiting;
    std::int64_t running = 0; ///< occupied slots
    bool isPrefilling = false;
    MonoTime prefillEnd{};
    BlockCache cache;
    LoadReport sampledLoad;

    /// Returns how many of the job's tokens it would have to compute now.
    std::int64_t missingTokens(const Job &job) const;
};

/// One router instance: its view of the engines and its history of sent prefixes.
struct InstanceModel
{
    std::string region;
    EndpointTable endpointTable;
    PrefixHistory history;

    /// Handles that a job which was sent to an engine ended there without its first token.
    void onJobLost(const std::string &engine, MonoTime now);
};

/// Return the engines and the instances of the trace's deployment, whose configuration is
/// \a document, in the order of their numbers.
std::vector<EngineModel> makeEngines(const Trace &trace, const Document &document);
std::vector<InstanceModel> makeInstances(const Trace &trace, const Document &document);

} // namespace lavenderhall::bench
