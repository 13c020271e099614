#include "bench/fleetmodel.h"

#include "bench/deployment.h"

namespace lavenderhall::bench {

namespace {

constexpr std::size_t MaxHistoryBlocks = 50'000; ///< of each instance
constexpr Millis HistoryRetention{30'000}; ///< for which a sent prefix counts as cached

} // namespace

std::int64_t EngineModel::missingTokens(const Job &job) const
{
    return job.promptTokens - this->cache.cachedBlocks(job.prefix) * BlockTokens;
}

void InstanceModel::onJobLost(const std::string &engine, MonoTime now)
{
    this->endpointTable.onFinished(engine);
    this->endpointTable.onFailure(engine, now);
}

std::vector<EngineModel> makeEngines(const Trace &trace, const Document &document)
{
    std::vector<EngineModel> engines;
    for (const Endpoint &endpoint : document.endpoints) {
        EngineModel engine;
        engine.name = endpoint.name;
        engine.region = endpoint.region;
        engine.cache = BlockCache(static_cast<std::size_t>(trace.cacheBlocks));
        engine.sampledLoad.incarnation = engine.incarnation;
        engine.sampledLoad.loaded = {std::string(ModelName) + "@" + WeightsVersion};
        engines.push_back(std::move(engine));
    }
    return engines;
}

std::vector<InstanceModel> makeInstances(const Trace &trace, const Document &document)
{
    std::vector<InstanceModel> instances;
    for (std::int64_t index = 0; index < trace.instances; ++index) {
        InstanceModel instance{regionOf(trace, index), {}, {MaxHistoryBlocks, HistoryRetention}};
        instance.endpointTable.configure(document);
        instances.push_back(std::move(instance));
    }
    return instances;
}

} // namespace lavenderhall::bench
