#include "bench/replay.h"

#include "base/digest.h"
#include "placement/endpointranking.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace lavenderhall::bench {

namespace {

constexpr std::int64_t BlockTokens = 2048;
constexpr std::int64_t PrefillTokensPerSecond = 8000; // of each engine
constexpr Micros TokenInterval{32'000}; // between output tokens
constexpr Millis SameRegionOneWay{1};
constexpr Millis CrossRegionOneWay{12};
constexpr Millis LoadInterval{1000}; // between load reports of an engine
constexpr Millis LoadLag{500}; // from the sampling of a load report to its arrival
constexpr std::int64_t SlotsPerEngine = 16;
constexpr std::size_t MaxHistoryBlocks = 50'000; // of each instance
constexpr Millis HistoryRetention{30'000}; // for which a sent prefix counts as cached

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
    std::int64_t region = 0;
    std::int64_t incarnation = 1;
    std::size_t cacheBlocks = 0;
    std::vector<Job> waiting;
    std::int64_t running = 0; ///< occupied slots
    bool isPrefilling = false;
    MonoTime prefillEnd{};
    std::list<BlockHash> evictionOrder; ///< least recently used first
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> cache;
    LoadReport sampledLoad;

    /// Returns how many blocks from the start of \a prefix are cached.
    std::int64_t cachedPrefixBlocks(const std::vector<BlockHash> &prefix) const
    {
        std::int64_t blocks = 0;
        for (const BlockHash block : prefix) {
            if (!this->cache.contains(block))
                break;
            ++blocks;
        }
        return blocks;
    }

    /// Makes the blocks of \a prefix the most recently used ones, and evicts the least recently
    /// used ones beyond the cache's size.
    void cachePrefix(const std::vector<BlockHash> &prefix)
    {
        for (const BlockHash block : prefix) {
            const auto found = this->cache.find(block);
            if (found != this->cache.end()) {
                this->evictionOrder.splice(this->evictionOrder.end(), this->evictionOrder,
                                           found->second);
                continue;
            }
            this->cache[block] = this->evictionOrder.insert(this->evictionOrder.end(), block);
            if (this->cache.size() <= this->cacheBlocks)
                continue;
            this->cache.erase(this->evictionOrder.front());
            this->evictionOrder.pop_front();
        }
    }
};

/// One router instance: its view of the engines and its history of sent prefixes.
struct InstanceModel
{
    std::string region;
    EndpointTable endpointTable;
    PrefixHistory history{MaxHistoryBlocks, HistoryRetention};
};

/// Returns the \a q quantile (0 to 1) of \a values, 0 if there are none.
double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(q * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

std::string regionName(std::int64_t region)
{
    return "region-" + std::to_string(region);
}

/// The simulation of one trace with one policy, driven by a queue of timed events.
class Replay
{
public:
    Replay(const Trace &trace, PolicyKind policy)
        : trace(trace)
        , policy(policy)
    {
        this->document = this->makeDocument();
        for (std::int64_t index = 0; index < trace.engines; ++index) {
            EngineModel engine;
            engine.name = this->document.endpoints[static_cast<std::size_t>(index)].name;
            engine.region = index % trace.regions;
            engine.cacheBlocks = static_cast<std::size_t>(trace.cacheBlocks);
            engine.sampledLoad.incarnation = 1;
            engine.sampledLoad.loaded = {"model@v1"};
            this->engines.push_back(std::move(engine));
        }
        for (std::int64_t index = 0; index < trace.instances; ++index) {
            InstanceModel instance;
            instance.region = regionName(index % trace.regions);
            instance.endpointTable.configure(this->document);
            this->instances.push_back(std::move(instance));
        }
    }

    ReplayResult run()
    {
        for (std::size_t index = 0; index < this->trace.arrivals.size(); ++index)
            this->schedule(this->start + this->trace.arrivals[index].at,
                           [this, index] { this->onArrival(index); });
        for (const Fault &fault : this->trace.faults)
            this->schedule(this->start + fault.at, [this, fault] { this->onFault(fault); });
        this->schedule(this->start, [this] { this->sampleLoads(); });
        while (!this->events.empty() && this->unansweredCount() > 0) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.when;
            event.run();
        }
        return this->summary();
    }

private:
    struct Event
    {
        MonoTime when;
        std::uint64_t sequence; ///< keeps events of the same time in the order of scheduling
        std::function<void()> run;
        /// Reversed, as std::priority_queue has the greatest element on top.
        bool operator<(const Event &other) const
        {
            return std::tie(this->when, this->sequence) > std::tie(other.when, other.sequence);
        }
    };

    void schedule(MonoTime when, std::function<void()> run)
    {
        this->events.push({when, ++this->lastSequence, std::move(run)});
    }

    std::size_t unansweredCount() const { return this->trace.arrivals.size() - this->answered; }

    /// Returns the configuration of the trace's deployment.
    Document makeDocument() const
    {
        Document document;
        for (std::int64_t region = 0; region < this->trace.regions; ++region)
            document.regions.push_back({regionName(region), 1});
        document.models.push_back({"model", "v1", {}});
        for (std::int64_t index = 0; index < this->trace.engines; ++index) {
            Endpoint endpoint;
            endpoint.name = "engine-" + std::to_string(1000 + index);
            endpoint.region = regionName(index % this->trace.regions);
            endpoint.models = {"model"};
            endpoint.slots = SlotsPerEngine;
            document.endpoints.push_back(std::move(endpoint));
        }
        Route route;
        route.name = "route";
        route.model = "model";
        document.routes.push_back(std::move(route));
        document.placement.prefillTokensPerSecond = PrefillTokensPerSecond;
        document.placement.blockTokens = BlockTokens;
        return document;
    }

    /// Returns one hash per whole block of the prompt. Each covers the organisation and the
    /// segments up to the block's end.
    std::vector<BlockHash> prefixHashes(const Arrival &arrival) const
    {
        std::vector<BlockHash> prefix;
        std::uint64_t chainedHash = hash64(arrival.organisation);
        std::int64_t unhashedTokens = 0;
        for (const Segment &segment : arrival.segments) {
            chainedHash = hashCombine(chainedHash, hash64(segment.id));
            unhashedTokens += segment.tokens;
            for (std::uint64_t number = 0; unhashedTokens >= BlockTokens;
                 unhashedTokens -= BlockTokens)
                prefix.push_back(hashCombine(chainedHash, ++number));
        }
        return prefix;
    }

    void onArrival(std::size_t index)
    {
        const Arrival &arrival = this->trace.arrivals[index];
        Job job;
        job.arrival = index;
        job.instance = arrival.instance % static_cast<std::int64_t>(this->instances.size());
        job.prefix = this->prefixHashes(arrival);
        for (const Segment &segment : arrival.segments)
            job.promptTokens += segment.tokens;
        this->send(std::move(job));
    }

    // Chooses an engine for the job and sends it there; also used to send it again after a crash.
    void send(Job job)
    {
        InstanceModel &instance = this->instances[static_cast<std::size_t>(job.instance)];
        const std::size_t chosen = this->chooseEngine(instance, job);
        EngineModel &engine = this->engines[chosen];
        this->signature = hashCombine(this->signature, chosen);
        const bool isCrossRegion = regionName(engine.region) != instance.region;
        this->crossRegionRequests += isCrossRegion ? 1 : 0;
        instance.endpointTable.onStarted(engine.name, job.expectedMissingTokens);
        instance.history.onSent(engine.name, job.prefix, this->now);
        const MonoTime arrivalTime
            = this->now + (isCrossRegion ? CrossRegionOneWay : SameRegionOneWay);
        this->schedule(arrivalTime, [this, chosen, job = std::move(job)] {
            this->engines[chosen].waiting.push_back(job);
            this->startPrefill(chosen);
        });
    }

    std::size_t chooseEngine(InstanceModel &instance, Job &job)
    {
        switch (this->policy) {
        case PolicyKind::RoundRobin:
            return this->roundRobinCount++ % this->engines.size();
        case PolicyKind::LeastLoad:
            return this->leastLoadedEngine(instance);
        case PolicyKind::FirstBlock:
            return this->firstBlockEngine(job);
        case PolicyKind::Oracle:
            return this->oracleEngine(instance, job);
        case PolicyKind::RouterPlacement:
            break;
        }
        const Model &model = this->document.models.front();
        const auto candidates
            = instance.endpointTable.candidates(this->document.routes.front(), &model, this->now);
        RankingInput input;
        input.region = instance.region;
        input.prefix = job.prefix;
        input.promptTokens = job.promptTokens;
        input.now = this->now;
        const auto ranked
            = rankEndpoints(candidates, input, this->document.placement, instance.history);
        job.expectedMissingTokens = std::max<std::int64_t>(
            0,
            job.promptTokens
                - static_cast<std::int64_t>(ranked.front().cachedBlocks) * BlockTokens);
        return this->engineIndex(ranked.front().endpoint);
    }

    std::size_t engineIndex(const std::string &name) const
    {
        return static_cast<std::size_t>(
            std::find_if(this->engines.begin(), this->engines.end(),
                         [&name](const EngineModel &engine) { return engine.name == name; })
            - this->engines.begin());
    }

    // The last report lags and leaves out what was sent since; the instance's own requests leave
    // out those of others. The greater of the two counts.
    std::size_t leastLoadedEngine(const InstanceModel &instance) const
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
    std::size_t firstBlockEngine(const Job &job) const
    {
        const std::uint64_t seed = job.prefix.empty() ? job.arrival : job.prefix.front();
        const auto best
            = std::max_element(this->engines.begin(), this->engines.end(),
                               [seed](const EngineModel &left, const EngineModel &right) {
                                   return hash64(left.name, seed) < hash64(right.name, seed);
                               });
        return static_cast<std::size_t>(best - this->engines.begin());
    }

    // Uses the present queues and caches of all engines and estimates the time to first token. Does
    // not see requests that are still on their way to an engine.
    std::size_t oracleEngine(const InstanceModel &instance, Job &job)
    {
        std::size_t best = 0;
        double bestCost = 0;
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            const EngineModel &engine = this->engines[index];
            double tokens = 0; // to be computed before the first token of this job
            for (const Job &queued : engine.waiting)
                tokens += static_cast<double>(
                    queued.promptTokens - engine.cachedPrefixBlocks(queued.prefix) * BlockTokens);
            tokens += static_cast<double>(job.promptTokens
                                          - engine.cachedPrefixBlocks(job.prefix) * BlockTokens);
            double cost = 1000 * tokens / static_cast<double>(PrefillTokensPerSecond);
            if (engine.isPrefilling)
                cost += std::chrono::duration<double, std::milli>(engine.prefillEnd - this->now)
                            .count();
            if (regionName(engine.region) != instance.region)
                cost += 2 * static_cast<double>(CrossRegionOneWay.count());
            if (index == 0 || cost < bestCost) {
                best = index;
                bestCost = cost;
            }
        }
        return best;
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
        const std::int64_t cachedBlocks = engine.cachedPrefixBlocks(job.prefix);
        const std::int64_t missingTokens = job.promptTokens - cachedBlocks * BlockTokens;
        this->cachedTokens += cachedBlocks * BlockTokens;
        this->promptTokens += job.promptTokens;
        for (std::size_t block = static_cast<std::size_t>(cachedBlocks); block < job.prefix.size();
             ++block) {
            if (!this->computedBlocks.insert(job.prefix[block]).second)
                this->wastedTokens += BlockTokens;
        }
        engine.cachePrefix(job.prefix);
        const Micros duration(1'000'000 * missingTokens / PrefillTokensPerSecond);
        engine.prefillEnd = this->now + duration;
        this->schedule(engine.prefillEnd, [this, index, job, incarnation = engine.incarnation] {
            this->endPrefill(index, job, incarnation);
        });
    }

    void endPrefill(std::size_t index, const Job &job, std::int64_t incarnation)
    {
        EngineModel &engine = this->engines[index];
        InstanceModel &instance = this->instances[static_cast<std::size_t>(job.instance)];
        instance.endpointTable.onPrefilled(engine.name, job.expectedMissingTokens);
        if (engine.incarnation != incarnation) {
            // The engine crashed during the prefill; the instance notices it now and sends the
            // request again.
            instance.endpointTable.onFinished(engine.name);
            instance.endpointTable.onFailure(engine.name, this->now);
            return this->send(job);
        }
        engine.isPrefilling = false;
        const Arrival &arrival = this->trace.arrivals[job.arrival];
        const double ttft
            = std::chrono::duration<double, std::milli>(this->now - (this->start + arrival.at))
                  .count()
            + (regionName(engine.region) != instance.region
                   ? static_cast<double>(CrossRegionOneWay.count())
                   : 1.0);
        this->ttft.push_back(ttft);
        this->ttftByOrganisation[arrival.organisation].push_back(ttft);
        if (arrival.priority == 0)
            this->urgentTtft.push_back(ttft);
        ++this->answered;
        this->schedule(
            this->now + arrival.outputTokens * TokenInterval,
            [this, index, job, incarnation] { this->endDecode(index, job, incarnation); });
        this->startPrefill(index);
    }

    void endDecode(std::size_t index, const Job &job, std::int64_t incarnation)
    {
        EngineModel &engine = this->engines[index];
        this->instances[static_cast<std::size_t>(job.instance)].endpointTable.onFinished(
            engine.name);
        if (engine.incarnation != incarnation)
            return; // a crash has freed the slot already
        --engine.running;
        this->startPrefill(index);
    }

    void onFault(const Fault &fault)
    {
        EngineModel &engine = this->engines[static_cast<std::size_t>(fault.engine)];
        if (fault.kind == FaultKind::EngineLeaves) {
            for (InstanceModel &instance : this->instances)
                instance.endpointTable.onLeavingAnswer(engine.name);
            return;
        }
        ++engine.incarnation;
        engine.cache.clear();
        engine.evictionOrder.clear();
        engine.running = 0;
        engine.isPrefilling = false;
        const auto lostJobs = std::exchange(engine.waiting, {});
        for (const Job &job : lostJobs) {
            InstanceModel &instance = this->instances[static_cast<std::size_t>(job.instance)];
            instance.endpointTable.onPrefilled(engine.name, job.expectedMissingTokens);
            instance.endpointTable.onFinished(engine.name);
            instance.endpointTable.onFailure(engine.name, this->now);
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
        this->schedule(this->now + LoadLag, [this] {
            for (InstanceModel &instance : this->instances) {
                for (const EngineModel &engine : this->engines) {
                    if (instance.endpointTable.onLoadReport(engine.name, engine.sampledLoad,
                                                            this->now))
                        instance.history.onCacheLost(engine.name);
                }
            }
        });
        this->schedule(this->now + LoadInterval, [this] { this->sampleLoads(); });
    }

    ReplayResult summary() const
    {
        ReplayResult result;
        result.requests = static_cast<std::int64_t>(this->ttft.size());
        result.hitRate = this->promptTokens == 0
            ? 0
            : static_cast<double>(this->cachedTokens) / static_cast<double>(this->promptTokens);
        result.ttftP50Millis = quantile(this->ttft, 0.50);
        result.ttftP95Millis = quantile(this->ttft, 0.95);
        result.ttftP99Millis = quantile(this->ttft, 0.99);
        result.urgentTtftP95Millis = quantile(this->urgentTtft, 0.95);
        for (const auto &[organisation, values] : this->ttftByOrganisation)
            result.worstOrganisationTtftP95Millis
                = std::max(result.worstOrganisationTtftP95Millis, quantile(values, 0.95));
        result.wastedTokens = this->wastedTokens;
        result.crossRegionRequests = this->crossRegionRequests;
        result.signature = this->signature;
        return result;
    }

    const Trace &trace;
    PolicyKind policy;
    Document document;
    std::vector<EngineModel> engines;
    std::vector<InstanceModel> instances;
    std::priority_queue<Event> events;
    std::uint64_t lastSequence = 0; ///< of the last scheduled event
    MonoTime start{std::chrono::seconds(1000)};
    MonoTime now{std::chrono::seconds(1000)};
    std::size_t roundRobinCount = 0;
    std::size_t answered = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t crossRegionRequests = 0;
    std::uint64_t signature = 0;
    std::unordered_set<BlockHash> computedBlocks; ///< by any engine, evicted or not
    std::vector<double> ttft; ///< milliseconds, of all requests
    std::vector<double> urgentTtft; ///< milliseconds, of the requests with priority 0
    std::map<std::string, std::vector<double>> ttftByOrganisation;
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
