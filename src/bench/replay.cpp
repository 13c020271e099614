#include "bench/replay.h"

#include "base/digest.h"
#include "placement/choice.h"

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
constexpr std::int64_t PrefillTokensPerSecond = 8000;
constexpr Micros TokenInterval{32'000};
constexpr Millis CrossRegionOneWay{12};
constexpr Millis LoadInterval{1000};
constexpr Millis LoadLag{500};
constexpr std::int64_t Slots = 16;
constexpr std::size_t HistoryBlocks = 50'000;
constexpr Millis HistoryMemory{30'000};

struct Job
{
    std::size_t arrival = 0;
    std::int64_t instance = 0;
    std::int64_t missingExpected = 0;
    std::vector<BlockHash> prefix;
    std::int64_t promptTokens = 0;
};

/// One engine: what waits, what it computes, what it has cached.
struct EngineModel
{
    std::string name;
    std::int64_t region = 0;
    std::int64_t incarnation = 1;
    std::size_t cacheBlocks = 0;
    std::vector<Job> waiting;
    std::int64_t running = 0;
    bool prefilling = false;
    MonoTime prefillEnds{};
    std::list<BlockHash> order;
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> cache;
    LoadReport sampled;

    std::int64_t cachedPrefix(const std::vector<BlockHash> &prefix) const
    {
        std::int64_t blocks = 0;
        for (const BlockHash block : prefix) {
            if (!this->cache.contains(block))
                break;
            ++blocks;
        }
        return blocks;
    }

    void store(const std::vector<BlockHash> &prefix)
    {
        for (const BlockHash block : prefix) {
            const auto found = this->cache.find(block);
            if (found != this->cache.end()) {
                this->order.splice(this->order.end(), this->order, found->second);
                continue;
            }
            this->cache[block] = this->order.insert(this->order.end(), block);
            if (this->cache.size() <= this->cacheBlocks)
                continue;
            this->cache.erase(this->order.front());
            this->order.pop_front();
        }
    }
};

struct InstanceModel
{
    std::string region;
    EndpointBoard board;
    PrefixHistory history{HistoryBlocks, HistoryMemory};
};

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
            engine.sampled.incarnation = 1;
            engine.sampled.loaded = {"model@v1"};
            this->engines.push_back(std::move(engine));
        }
        for (std::int64_t index = 0; index < trace.instances; ++index) {
            InstanceModel instance;
            instance.region = regionName(index % trace.regions);
            instance.board.configure(this->document);
            this->instances.push_back(std::move(instance));
        }
    }

    ReplayResult run()
    {
        for (std::size_t index = 0; index < this->trace.arrivals.size(); ++index)
            this->at(this->start + this->trace.arrivals[index].at,
                     [this, index] { this->arrive(index); });
        for (const Fault &fault : this->trace.faults)
            this->at(this->start + fault.at, [this, fault] { this->strike(fault); });
        this->at(this->start, [this] { this->sampleLoads(); });
        while (!this->events.empty() && this->unanswered() > 0) {
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
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(this->when, this->order) > std::tie(other.when, other.order);
        }
    };

    void at(MonoTime when, std::function<void()> run)
    {
        this->events.push({when, ++this->eventOrder, std::move(run)});
    }

    std::size_t unanswered() const { return this->trace.arrivals.size() - this->answered; }

    Document makeDocument() const
    {
        Document made;
        for (std::int64_t region = 0; region < this->trace.regions; ++region)
            made.regions.push_back({regionName(region), 1});
        made.models.push_back({"model", "v1", {}});
        for (std::int64_t index = 0; index < this->trace.engines; ++index) {
            Endpoint endpoint;
            endpoint.name = "engine-" + std::to_string(1000 + index);
            endpoint.region = regionName(index % this->trace.regions);
            endpoint.models = {"model"};
            endpoint.slots = Slots;
            made.endpoints.push_back(std::move(endpoint));
        }
        Route route;
        route.name = "route";
        route.model = "model";
        made.routes.push_back(std::move(route));
        made.placement.prefillTokensPerSecond = PrefillTokensPerSecond;
        made.placement.blockTokens = BlockTokens;
        return made;
    }

    std::vector<BlockHash> prefixOf(const Arrival &arrival) const
    {
        std::vector<BlockHash> prefix;
        std::uint64_t chain = hash64(arrival.organisation);
        std::int64_t open = 0;
        for (const Segment &segment : arrival.segments) {
            chain = hashCombine(chain, hash64(segment.id));
            open += segment.tokens;
            for (std::uint64_t number = 0; open >= BlockTokens; open -= BlockTokens)
                prefix.push_back(hashCombine(chain, ++number));
        }
        return prefix;
    }

    void arrive(std::size_t index)
    {
        const Arrival &arrival = this->trace.arrivals[index];
        Job job;
        job.arrival = index;
        job.instance = arrival.instance % static_cast<std::int64_t>(this->instances.size());
        job.prefix = this->prefixOf(arrival);
        for (const Segment &segment : arrival.segments)
            job.promptTokens += segment.tokens;
        this->send(std::move(job));
    }

    void send(Job job)
    {
        InstanceModel &instance = this->instances[static_cast<std::size_t>(job.instance)];
        const std::size_t chosen = this->choose(instance, job);
        EngineModel &engine = this->engines[chosen];
        this->signature = hashCombine(this->signature, chosen);
        const bool isFar = regionName(engine.region) != instance.region;
        this->crossRegionRequests += isFar ? 1 : 0;
        instance.board.onStarted(engine.name, job.missingExpected);
        instance.history.onSent(engine.name, job.prefix, this->now);
        const MonoTime arrives = this->now + (isFar ? CrossRegionOneWay : Millis(1));
        this->at(arrives, [this, chosen, job = std::move(job)] {
            this->engines[chosen].waiting.push_back(job);
            this->startPrefill(chosen);
        });
    }

    std::size_t choose(InstanceModel &instance, Job &job)
    {
        switch (this->policy) {
        case PolicyKind::RoundRobin:
            return this->turn++ % this->engines.size();
        case PolicyKind::LeastLoad:
            return this->leastLoaded(instance);
        case PolicyKind::FirstBlock:
            return this->firstBlockHome(job);
        case PolicyKind::Oracle:
            return this->oracleChoice(instance, job);
        case PolicyKind::RouterPlacement:
            break;
        }
        const Model &model = this->document.models.front();
        const auto candidates
            = instance.board.candidates(this->document.routes.front(), &model, this->now);
        ChoiceInput input;
        input.region = instance.region;
        input.prefix = job.prefix;
        input.promptTokens = job.promptTokens;
        input.now = this->now;
        const auto ranked
            = rankEndpoints(candidates, input, this->document.placement, instance.history);
        job.missingExpected = std::max<std::int64_t>(
            0,
            job.promptTokens
                - static_cast<std::int64_t>(ranked.front().cachedBlocks) * BlockTokens);
        return this->numberOf(ranked.front().endpoint);
    }

    std::size_t numberOf(const std::string &name) const
    {
        return static_cast<std::size_t>(
            std::find_if(this->engines.begin(), this->engines.end(),
                         [&name](const EngineModel &engine) { return engine.name == name; })
            - this->engines.begin());
    }

    std::size_t leastLoaded(const InstanceModel &instance) const
    {
        const auto load = [&](const EngineModel &engine) {
            const EndpointView &view = *instance.board.find(engine.name);
            const std::int64_t reported = view.load ? view.load->running + view.load->waiting : 0;
            return std::max(reported, view.inFlight);
        };
        const auto best = std::min_element(this->engines.begin(), this->engines.end(),
                                           [&](const EngineModel &one, const EngineModel &other) {
                                               return load(one) < load(other);
                                           });
        return static_cast<std::size_t>(best - this->engines.begin());
    }

    std::size_t firstBlockHome(const Job &job) const
    {
        const std::uint64_t home = job.prefix.empty() ? job.arrival : job.prefix.front();
        const auto best
            = std::max_element(this->engines.begin(), this->engines.end(),
                               [home](const EngineModel &one, const EngineModel &other) {
                                   return hash64(one.name, home) < hash64(other.name, home);
                               });
        return static_cast<std::size_t>(best - this->engines.begin());
    }

    // Sees each queue and cache as it is, and what is on its way.
    std::size_t oracleChoice(const InstanceModel &instance, Job &job)
    {
        std::size_t best = 0;
        double bestCost = 0;
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            const EngineModel &engine = this->engines[index];
            double tokens = 0;
            for (const Job &ahead : engine.waiting)
                tokens += static_cast<double>(ahead.promptTokens
                                              - engine.cachedPrefix(ahead.prefix) * BlockTokens);
            tokens += static_cast<double>(job.promptTokens
                                          - engine.cachedPrefix(job.prefix) * BlockTokens);
            double cost = 1000 * tokens / static_cast<double>(PrefillTokensPerSecond);
            if (engine.prefilling)
                cost += std::chrono::duration<double, std::milli>(engine.prefillEnds - this->now)
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
        if (engine.prefilling || engine.waiting.empty() || engine.running >= Slots)
            return;
        const auto next = std::min_element(engine.waiting.begin(), engine.waiting.end(),
                                           [this](const Job &one, const Job &other) {
                                               return this->trace.arrivals[one.arrival].priority
                                                   < this->trace.arrivals[other.arrival].priority;
                                           });
        const Job job = *next;
        engine.waiting.erase(next);
        engine.prefilling = true;
        ++engine.running;
        const std::int64_t held = engine.cachedPrefix(job.prefix);
        const std::int64_t missing = job.promptTokens - held * BlockTokens;
        this->cachedTokens += held * BlockTokens;
        this->promptTokens += job.promptTokens;
        for (std::size_t block = static_cast<std::size_t>(held); block < job.prefix.size();
             ++block) {
            if (!this->everComputed.insert(job.prefix[block]).second)
                this->wastedTokens += BlockTokens;
        }
        engine.store(job.prefix);
        const Micros duration(1'000'000 * missing / PrefillTokensPerSecond);
        engine.prefillEnds = this->now + duration;
        this->at(engine.prefillEnds, [this, index, job, incarnation = engine.incarnation] {
            this->endPrefill(index, job, incarnation);
        });
    }

    void endPrefill(std::size_t index, const Job &job, std::int64_t incarnation)
    {
        EngineModel &engine = this->engines[index];
        InstanceModel &instance = this->instances[static_cast<std::size_t>(job.instance)];
        instance.board.onPrefilled(engine.name, job.missingExpected);
        if (engine.incarnation != incarnation) {
            // Cut by a crash: the instance notices and sends again.
            instance.board.onFinished(engine.name);
            instance.board.onFailure(engine.name, this->now);
            return this->send(job);
        }
        engine.prefilling = false;
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
            this->shortTtft.push_back(ttft);
        ++this->answered;
        this->at(this->now + arrival.outputTokens * TokenInterval,
                 [this, index, job, incarnation] { this->endDecode(index, job, incarnation); });
        this->startPrefill(index);
    }

    void endDecode(std::size_t index, const Job &job, std::int64_t incarnation)
    {
        EngineModel &engine = this->engines[index];
        this->instances[static_cast<std::size_t>(job.instance)].board.onFinished(engine.name);
        if (engine.incarnation != incarnation)
            return;
        --engine.running;
        this->startPrefill(index);
    }

    void strike(const Fault &fault)
    {
        EngineModel &engine = this->engines[static_cast<std::size_t>(fault.engine)];
        if (fault.kind == FaultKind::EngineLeaves) {
            for (InstanceModel &instance : this->instances)
                instance.board.onLeavingAnswer(engine.name);
            return;
        }
        ++engine.incarnation;
        engine.cache.clear();
        engine.order.clear();
        engine.running = 0;
        engine.prefilling = false;
        const auto lost = std::exchange(engine.waiting, {});
        for (const Job &job : lost) {
            InstanceModel &instance = this->instances[static_cast<std::size_t>(job.instance)];
            instance.board.onPrefilled(engine.name, job.missingExpected);
            instance.board.onFinished(engine.name);
            instance.board.onFailure(engine.name, this->now);
            this->send(job);
        }
    }

    void sampleLoads()
    {
        for (EngineModel &engine : this->engines) {
            engine.sampled.incarnation = engine.incarnation;
            engine.sampled.running = engine.running;
            engine.sampled.waiting = static_cast<std::int64_t>(engine.waiting.size());
        }
        this->at(this->now + LoadLag, [this] {
            for (InstanceModel &instance : this->instances) {
                for (const EngineModel &engine : this->engines) {
                    if (instance.board.onLoadReport(engine.name, engine.sampled, this->now))
                        instance.history.onReset(engine.name);
                }
            }
        });
        this->at(this->now + LoadInterval, [this] { this->sampleLoads(); });
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
        result.urgentTtftP95Millis = quantile(this->shortTtft, 0.95);
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
    std::uint64_t eventOrder = 0;
    MonoTime start{std::chrono::seconds(1000)};
    MonoTime now{std::chrono::seconds(1000)};
    std::size_t turn = 0;
    std::size_t answered = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t crossRegionRequests = 0;
    std::uint64_t signature = 0;
    std::unordered_set<BlockHash> everComputed;
    std::vector<double> ttft;
    std::vector<double> shortTtft;
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
