#include "balance/backlogexchange.h"
#include "base/digest.h"
#include "forward/endpointselector.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <random>

using namespace lavenderhall;

/// Compares the two rules by which engines are chosen, with many instances and engines as plain
/// values on a manual clock.
namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis ShortTarget{600};
constexpr Millis WarmUp{8000}; ///< lateness is counted after it

struct Request
{
    std::size_t instance = 0;
    Choice choice;
    PromptChain chain;
    MonoTime sentAt{};
    bool isShort = false;
};

/// An engine that reads one prompt after the other, without the shared parts that it has.
struct SimulatedEngine
{
    std::string id;
    double speed = 0; ///< tokens a millisecond
    MonoTime busyUntil{};
    std::int64_t waiting = 0; ///< requests without a first event
    std::int64_t sentTokens = 0;
    std::map<std::uint64_t, bool> parts;
};

struct Result
{
    int shorts = 0;
    int late = 0;
    double mostLoaded = 0; ///< share of the time in which the most loaded engine has read
    int broadcasts = 0;

    double lateShare() const { return static_cast<double>(this->late) / this->shorts; }
};

class SimulatedDay
{
public:
    static constexpr std::size_t Instances = 30;
    static constexpr std::size_t EngineCount = 20;
    static constexpr double RequestsPerSecond = 140;

    SimulatedDay(bool balances, unsigned seed, double lostShare = 0)
        : lostShare(lostShare)
        , random(seed)
    {
        EngineSpec spec;
        spec.slots = 32;
        spec.cacheTokens = 1'000'000;
        spec.tokenBytes = 35'000;
        spec.linkMbps = 740'000;
        for (std::size_t number = 0; number < EngineCount; ++number) {
            SimulatedEngine engine;
            engine.id = "e" + std::to_string(number);
            engine.speed = number % 3 == 0 ? 30 : 72;
            this->engines.push_back(engine);
        }
        for (std::size_t number = 0; number < Instances; ++number) {
            auto selector = std::make_unique<EndpointSelector>(InstanceLocation{"a", {{"a", "ra"}}},
                                                               ChoiceSettings{});
            if (balances)
                selector->balanceLoad();
            selector->setInstanceCount(Instances);
            for (const SimulatedEngine &engine : this->engines) {
                RegisteredEndpoint entry;
                entry.id = engine.id;
                entry.startMillis = 1;
                entry.service = "models";
                entry.zone = "a";
                entry.slots = 32;
                entry.weights = {{"loom", 1}};
                selector->onChange({EndpointChange::Kind::Joined, entry});
            }
            selector->setEngines("models", spec);
            this->selectors.push_back(std::move(selector));
        }
        for (std::size_t number = 0; balances && number < Instances; ++number)
            this->exchanges.push_back(std::make_unique<BacklogExchange>(
                *this->selectors[number]->loadEstimate(), this->hooks(number)));
    }

    Result run(Millis duration)
    {
        this->end = Start + duration;
        this->at(Start, [this] { this->sendRequest(); });
        for (std::size_t number = 0; number < this->engines.size(); ++number)
            this->at(Start + Millis(this->random(2000)), [this, number] { this->report(number); });
        for (std::size_t number = 0; number < this->exchanges.size(); ++number)
            this->at(Start + Millis(this->random(100)), [this, number] { this->tick(number); });
        while (!this->events.empty() && this->events.top().at < this->end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
        for (const SimulatedEngine &engine : this->engines)
            this->result.mostLoaded = std::max(this->result.mostLoaded,
                                               static_cast<double>(engine.sentTokens) / engine.speed
                                                   / static_cast<double>(duration.count()));
        return this->result;
    }

    /// Another instance takes over from the one that adds up, which knows nothing then.
    void replaceAssignedAfter(Millis time)
    {
        this->at(Start + time, [this] { this->assigned = 1; });
    }

private:
    struct Event
    {
        MonoTime at{};
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return this->at > other.at || (this->at == other.at && this->number > other.number);
        }
    };

    void at(MonoTime time, std::function<void()> run)
    {
        this->events.push({time, ++this->eventCount, std::move(run)});
    }

    /// Runs \a receive at another instance, unless the message is lost.
    void deliver(std::function<void()> receive)
    {
        if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostShare)
            return;
        this->at(this->now + Millis(2 + this->random(40)), std::move(receive));
    }

    ExchangeHooks hooks(std::size_t sender)
    {
        ExchangeHooks result;
        result.taskOf = [](const std::string &) { return ExchangeHooks::Task{"ra", "t"}; };
        result.send = [this, sender](const ExchangeHooks::Task &, const proto::WorkNews &news) {
            this->deliver([this, sender, news] {
                proto::ProcessId from;
                from.set_name(std::to_string(sender));
                this->exchanges[this->assigned]->onWorkNews(from, news, this->now);
            });
        };
        result.isOwnTask = [this, sender](const std::string &) { return this->assigned == sender; };
        result.serviceOf = [this](const Incarnation &) { return &this->service; };
        return result;
    }

    void tick(std::size_t number)
    {
        this->exchanges[number]->onTick(this->now);
        if (number == this->assigned && this->now - this->announcedAt >= Millis(200))
            this->announce();
        this->at(this->now + Millis(100), [this, number] { this->tick(number); });
    }

    void announce()
    {
        proto::LoadNews news;
        this->exchanges[this->assigned]->addBacklogs(news, this->now);
        this->announcedAt = this->now;
        if (news.backlogs().empty())
            return;
        ++this->result.broadcasts;
        for (std::size_t other = 0; other < Instances; ++other) {
            if (other != this->assigned)
                this->deliver(
                    [this, other, news] { this->exchanges[other]->onLoadNews(news, this->now); });
        }
    }

    void report(std::size_t number)
    {
        const SimulatedEngine &engine = this->engines[number];
        const ReportedLoad load{std::min<std::int64_t>(1, engine.waiting),
                                std::max<std::int64_t>(0, engine.waiting - 1)};
        for (auto &selector : this->selectors)
            this->at(this->now + Millis(2 + this->random(240)),
                     [this, &selector, load, id = engine.id] {
                         selector->onLoadReport(id, load, this->now);
                     });
        this->at(this->now + Millis(engine.waiting < 8 ? 2000 : 350),
                 [this, number] { this->report(number); });
    }

    void sendRequest()
    {
        const double pause = std::exponential_distribution<double>(RequestsPerSecond)(this->random);
        this->at(this->now + Micros(static_cast<std::int64_t>(pause * 1e6) + 1),
                 [this] { this->sendRequest(); });
        auto request = std::make_shared<Request>();
        request->isShort = this->random(5) > 0;
        request->instance = this->random(Instances);
        const std::string part = "part-" + std::to_string(this->random(40));
        const std::string own = "own-" + std::to_string(++this->requestCount);
        request->chain = request->isShort
            ? buildPromptChain(hash64("s"), {{part + "-short", 600}, {own, 1800}})
            : buildPromptChain(hash64("s"), {{part, 6000}, {own, 6000}});
        ChoiceQuery query;
        query.service = "models";
        query.model = "loom";
        query.newestWeights = 1;
        query.chain = request->chain;
        query.randomDraw = std::uniform_real_distribution<double>(0, 1)(this->random);
        EndpointSelector &selector = *this->selectors[request->instance];
        request->choice = *selector.choose(query, this->now);
        request->sentAt = this->now;
        selector.onSent(request->choice.endpointId, request->chain, request->choice.uncachedTokens,
                        this->now);
        this->read(request);
    }

    void read(const std::shared_ptr<Request> &request)
    {
        const auto engine = std::find_if(
            this->engines.begin(), this->engines.end(),
            [&](const SimulatedEngine &one) { return one.id == request->choice.endpointId; });
        std::int64_t tokens = request->chain.links.back().tokens;
        if (!std::exchange(engine->parts[request->chain.links.front().hash], true))
            tokens += request->chain.links.front().tokens;
        engine->sentTokens += tokens;
        ++engine->waiting;
        engine->busyUntil = std::max(engine->busyUntil, this->now)
            + Micros(static_cast<std::int64_t>(1000 * static_cast<double>(tokens) / engine->speed));
        this->at(engine->busyUntil + Millis(8), [this, request, &engine = *engine] {
            --engine.waiting;
            this->onFirstEvent(*request);
        });
    }

    void onFirstEvent(const Request &request)
    {
        EndpointSelector &selector = *this->selectors[request.instance];
        selector.onPrefillDone(request.choice.endpointId, request.choice.uncachedTokens);
        selector.onFirstEvent(request.choice, request.chain, this->now - request.sentAt);
        selector.onRequestEnded(request.choice.endpointId);
        if (!request.isShort || request.sentAt < Start + WarmUp)
            return;
        ++this->result.shorts;
        this->result.late += this->now - request.sentAt > ShortTarget ? 1 : 0;
    }

    double lostShare;
    pcg32 random;
    const std::string service = "models";
    std::vector<SimulatedEngine> engines;
    std::vector<std::unique_ptr<EndpointSelector>> selectors;
    std::vector<std::unique_ptr<BacklogExchange>> exchanges;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    int requestCount = 0;
    std::size_t assigned = 0;
    MonoTime now{Start};
    MonoTime end{};
    MonoTime announcedAt{};
    Result result;
};

} // namespace

// Engines differ in speed, reports are old, and each instance sees a thirtieth of the requests.
// Guards against queues at the slow engines while the fast ones are idle.
Test(evenload, fewer_short_requests_are_late_at_the_same_load)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const Result before = SimulatedDay(false, seed).run(Millis(40'000));
        const Result after = SimulatedDay(true, seed).run(Millis(40'000));
        cr_log_info("seed %u: late %.3f, %.3f; most loaded %.2f, %.2f; broadcasts %d", seed,
                    before.lateShare(), after.lateShare(), before.mostLoaded, after.mostLoaded,
                    after.broadcasts);
        cr_assert(after.lateShare() < before.lateShare() / 3, "seed %u: %.3f and %.3f", seed,
                  before.lateShare(), after.lateShare());
        cr_assert(after.mostLoaded < before.mostLoaded, "seed %u: %.2f and %.2f", seed,
                  before.mostLoaded, after.mostLoaded);
        cr_assert(after.broadcasts <= 200);
    }
}

// Lost messages make the estimates worse, but not worse than none.
Test(evenload, lost_messages_do_not_undo_the_balance)
{
    const Result before = SimulatedDay(false, 4).run(Millis(30'000));
    const Result after = SimulatedDay(true, 4, 0.3).run(Millis(30'000));
    cr_assert(after.lateShare() < before.lateShare() / 2, "%.3f and %.3f", before.lateShare(),
              after.lateShare());
}

// The instance that adds up dies, and the sums with it.
Test(evenload, another_instance_takes_over_the_sums)
{
    const Result before = SimulatedDay(false, 6).run(Millis(30'000));
    SimulatedDay day(true, 6);
    day.replaceAssignedAfter(Millis(15'000));
    const Result after = day.run(Millis(30'000));
    cr_assert(after.lateShare() < before.lateShare() / 2, "%.3f and %.3f", before.lateShare(),
              after.lateShare());
}

// No news arrives at all: own requests and the initial speed remain.
Test(evenload, without_news_the_load_is_no_less_even_than_before)
{
    const Result before = SimulatedDay(false, 5).run(Millis(30'000));
    const Result after = SimulatedDay(true, 5, 1).run(Millis(30'000));
    cr_assert(after.lateShare() < before.lateShare() * 1.1, "%.3f and %.3f", before.lateShare(),
              after.lateShare());
}
