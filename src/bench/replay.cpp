#include "bench/replay.h"

#include "bench/deployment.h"
#include "bench/enginechooser.h"
#include "bench/eventqueue.h"
#include "bench/fleetmodel.h"
#include "bench/replaystatistics.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lavenderhall::bench {

namespace {

constexpr Micros TokenInterval{32'000}; ///< between output tokens
constexpr Millis LoadInterval{1000}; ///< between load reports of an engine
constexpr Millis LoadLag{500}; ///< from the sampling of a load report to its arrival
constexpr MonoTime Start{std::chrono::seconds(1000)}; ///< an arbitrary time

/// The simulation of one trace with one policy, driven by a queue of timed events.
class Replay
{
public:
    Replay(const Trace &trace, PolicyKind policy)
        : trace(trace)
        , document(makeDocument(trace))
        , engines(makeEngines(trace, this->document))
        , instances(makeInstances(trace, this->document))
        , chooser(policy, this->document, this->engines)
    { }

    ReplayResult run()
    {
        for (std::size_t index = 0; index < this->trace.arrivals.size(); ++index)
            this->queue.schedule(Start + this->trace.arrivals[index].at,
                                 [this, index] { this->onArrival(index); });
        for (const Fault &fault : this->trace.faults)
            this->queue.schedule(Start + fault.at, [this, fault] { this->onFault(fault); });
        this->queue.schedule(Start, [this] { this->sampleLoads(); });
        while (!this->queue.isEmpty()
               && this->statistics.answeredCount() < this->trace.arrivals.size())
            this->queue.runNext();
        return this->statistics.result();
    }

private:
    InstanceModel &instanceOf(const Job &job)
    {
        return this->instances[static_cast<std::size_t>(job.instance)];
    }

    static Millis oneWay(const InstanceModel &instance, const EngineModel &engine)
    {
        return instance.region == engine.region ? SameRegionOneWay : CrossRegionOneWay;
    }

    void onArrival(std::size_t index)
    {
        const Arrival &arrival = this->trace.arrivals[index];
        Job job;
        job.arrival = index;
        job.instance = arrival.instance % static_cast<std::int64_t>(this->instances.size());
        job.prefix = prefixHashes(arrival);
        job.promptTokens = promptTokens(arrival);
        this->send(std::move(job));
    }

    // Chooses an engine for the job and sends it there; also used to send it again after a crash.
    void send(Job job)
    {
        InstanceModel &instance = this->instanceOf(job);
        const std::size_t chosen = this->chooser.choose(instance, job, this->queue.now());
        const EngineModel &engine = this->engines[chosen];
        this->statistics.onSent(chosen, engine.region != instance.region);
        instance.endpointTable.onStarted(engine.name, job.expectedMissingTokens);
        instance.history.onSent(engine.name, job.prefix, this->queue.now());
        this->queue.schedule(this->queue.now() + oneWay(instance, engine),
                             [this, chosen, job = std::move(job)] {
                                 this->engines[chosen].waiting.push_back(job);
                                 this->startPrefill(chosen);
                             });
    }

    void startPrefill(std::size_t index)
    {
        EngineModel &engine = this->engines[index];
        if (engine.isPrefilling || engine.waiting.empty() || engine.running >= SlotsPerEngine)
            return;
        const auto next = std::min_element(engine.waiting.begin(), engine.waiting.end(),
                                           [this](const Job &left, const Job &right) {
                                               return this->trace.arrivals[left.arrival].priority
                                                   < this->trace.arrivals[right.arrival].priority;
                                           });
        const Job job = *next;
        engine.waiting.erase(next);
        engine.isPrefilling = true;
        ++engine.running;
        const std::int64_t missingTokens = engine.missingTokens(job);
        this->statistics.onPrefillStarted(job.prefix, engine.cache.cachedBlocks(job.prefix),
                                          job.promptTokens);
        engine.cache.insert(job.prefix);
        engine.prefillEnd = this->queue.now()
            + Micros(std::chrono::seconds(missingTokens)) / PrefillTokensPerSecond;
        this->queue.schedule(engine.prefillEnd,
                             [this, index, job, incarnation = engine.incarnation] {
                                 this->endPrefill(index, job, incarnation);
                             });
    }

    void endPrefill(std::size_t index, const Job &job, std::int64_t incarnation)
    {
        EngineModel &engine = this->engines[index];
        InstanceModel &instance = this->instanceOf(job);
        instance.endpointTable.onPrefilled(engine.name, job.expectedMissingTokens);
        if (engine.incarnation != incarnation) {
            // The engine crashed during the prefill; the instance notices it now and sends the
            // request again.
            instance.onJobLost(engine.name, this->queue.now());
            return this->send(job);
        }
        engine.isPrefilling = false;
        const Arrival &arrival = this->trace.arrivals[job.arrival];
        const auto atEngine = this->queue.now() - (Start + arrival.at);
        this->statistics.onFirstToken(arrival,
                                      std::chrono::duration<double, std::milli>(atEngine).count()
                                          + static_cast<double>(oneWay(instance, engine).count()));
        this->queue.schedule(
            this->queue.now() + arrival.outputTokens * TokenInterval,
            [this, index, job, incarnation] { this->endDecode(index, job, incarnation); });
        this->startPrefill(index);
    }

    void endDecode(std::size_t index, const Job &job, std::int64_t incarnation)
    {
        EngineModel &engine = this->engines[index];
        this->instanceOf(job).endpointTable.onFinished(engine.name);
        if (engine.incarnation != incarnation)
            return; // a crash has freed the slot already
        --engine.running;
        this->startPrefill(index);
    }

    void onFault(const Fault &fault)
    {
        EngineModel &engine = this->engines[static_cast<std::size_t>(fault.engine)];
        if (fault.kind == FaultKind::EngineCrash)
            return this->onCrash(engine);
        for (InstanceModel &instance : this->instances)
            instance.endpointTable.onLeavingAnswer(engine.name);
    }

    void onCrash(EngineModel &engine)
    {
        ++engine.incarnation;
        engine.cache.clear();
        engine.running = 0;
        engine.isPrefilling = false;
        const auto lostJobs = std::exchange(engine.waiting, {});
        for (const Job &job : lostJobs) {
            InstanceModel &instance = this->instanceOf(job);
            instance.endpointTable.onPrefilled(engine.name, job.expectedMissingTokens);
            instance.onJobLost(engine.name, this->queue.now());
            this->send(job);
        }
    }

    // Samples the load of each engine and delivers the reports to all instances after LoadLag.
    void sampleLoads()
    {
        for (EngineModel &engine : this->engines) {
            engine.sampledLoad.incarnation = engine.incarnation;
            engine.sampledLoad.running = engine.running;
            engine.sampledLoad.waiting = static_cast<std::int64_t>(engine.waiting.size());
        }
        this->queue.schedule(this->queue.now() + LoadLag, [this] { this->deliverLoads(); });
        this->queue.schedule(this->queue.now() + LoadInterval, [this] { this->sampleLoads(); });
    }

    void deliverLoads()
    {
        for (InstanceModel &instance : this->instances) {
            for (const EngineModel &engine : this->engines) {
                if (instance.endpointTable.onLoadReport(engine.name, engine.sampledLoad,
                                                        this->queue.now()))
                    instance.history.onCacheLost(engine.name);
            }
        }
    }

    const Trace &trace;
    Document document;
    std::vector<EngineModel> engines;
    std::vector<InstanceModel> instances;
    EngineChooser chooser;
    EventQueue queue{Start};
    ReplayStatistics statistics;
};

} // namespace

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> Names{"round-robin", "least-load", "first-block", "ours",
                                                "oracle"};
    return Names;
}

ReplayResult replay(const Trace &trace, PolicyKind policy)
{
    return Replay(trace, policy).run();
}

} // namespace lavenderhall::bench
