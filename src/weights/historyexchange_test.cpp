#include "weights/historyexchange.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

using namespace lavenderhall;

namespace {

constexpr const char *Model = "loom";
constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis Bound{10'000}; ///< until when old weights may be begun on
constexpr Millis UsedTime{9300}; ///< that requests are given, as in ForwardCall
constexpr Millis ContactTime{4000}; ///< from a start until the bound applies to a process
constexpr Millis Step{10};

/// Two exchanges whose messages the test delivers itself.
struct Pair
{
    WeightsHistories askerHistories;
    WeightsHistories tellerHistories;
    std::vector<proto::WeightsHistoryRequest> requests;
    HistoryExchange asker{this->askerHistories, this->hooks(), 1};
    HistoryExchange teller{this->tellerHistories, {}, 2};

    Pair()
    {
        this->tellerHistories[Model].onNamed(2, Start - Millis(3000));
        this->tellerHistories[Model].onNamed(3, Start - Millis(1000));
        this->askerHistories[Model].onNamed(3, Start, Millis(6000), true);
    }

    HistoryExchangeHooks hooks()
    {
        HistoryExchangeHooks made;
        made.othersInRegion = [] { return std::vector<proto::ProcessId>(1); };
        made.othersInFleet = [] { return std::vector<proto::ProcessId>(); };
        made.ask = [this](const proto::ProcessId &, const proto::WeightsHistoryRequest &request) {
            this->requests.push_back(request);
        };
        made.onChange = [] {};
        return made;
    }

    std::optional<MonoTime> limitOf(std::int64_t version) const
    {
        return this->askerHistories.at(Model).limits(Bound).limitOf(version);
    }
};

} // namespace

Test(historyexchange, an_answer_completes_the_history_of_the_asker)
{
    Pair pair;
    pair.asker.onTick(Bound, Start);
    cr_assert(pair.requests.size() == 1U);
    const auto answer = pair.teller.answer(pair.requests.front(), Bound, Start + Millis(10));
    pair.asker.onAnswer({}, answer, Start + Millis(10));
    cr_assert(pair.limitOf(1) == Start + Millis(7000));
    cr_assert(pair.limitOf(2) == Start + Millis(9000));
}

// Guards against an age that counts from the arrival of a message that has waited in a queue
// (review/10).
Test(historyexchange, an_answer_that_was_under_way_for_long_is_ignored)
{
    Pair pair;
    pair.asker.onTick(Bound, Start);
    const auto answer = pair.teller.answer(pair.requests.front(), Bound, Start + Millis(10));
    pair.asker.onAnswer({}, answer, Start + Millis(600));
    cr_assert(pair.limitOf(2) == Start + Millis(4000));
}

// Guards against the numbers of a process that starts anew.
Test(historyexchange, an_answer_to_the_process_before_is_ignored)
{
    Pair pair;
    pair.asker.onTick(Bound, Start);
    const auto answer = pair.teller.answer(pair.requests.front(), Bound, Start + Millis(10));
    HistoryExchange restarted(pair.askerHistories, pair.hooks(), 3);
    restarted.onTick(Bound, Start + Millis(900));
    restarted.onAnswer({}, answer, Start + Millis(950));
    cr_assert(pair.limitOf(2) == Start + Millis(4000));
}

Test(historyexchange, nothing_is_asked_once_old_versions_are_over)
{
    Pair pair;
    pair.asker.onTick(Bound, Start + Bound + Millis(1));
    cr_assert(pair.requests.empty());
}

namespace {

/// A fleet whose instances start, end, and hear of names and of each other, all at random.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(std::uint64_t seed)
        : random(seed)
    {
        this->drawNames();
        for (std::size_t index = 0; index < Instances; ++index)
            this->start(index);
        this->drawRestarts();
    }

    void run()
    {
        for (; this->now < Start + Duration; this->now += Step) {
            this->deliver();
            for (std::size_t index = 0; index < Instances; ++index) {
                if (this->instances[index])
                    this->tick(*this->instances[index]);
            }
        }
    }

    std::vector<std::string> late; ///< what was allowed too late
    Millis earlyTime{0}; ///< for which allowed versions were refused, summed over the instances
    Millis sharedTime{0}; ///< for which old versions were allowed, the same

private:
    static constexpr std::size_t Instances = 5;
    static constexpr Millis Duration{60'000};

    struct Name
    {
        std::int64_t version = 0;
        std::int64_t previous = 0;
        MonoTime at{};
    };

    struct Instance
    {
        std::size_t index = 0;
        MonoTime startedAt{};
        WeightsHistories histories;
        std::unique_ptr<HistoryExchange> exchange;
    };

    struct Event
    {
        MonoTime at{};
        std::function<void()> action;
    };

    unsigned draw(unsigned from, unsigned to) { return from + this->random(to - from + 1); }
    bool happens(unsigned percent) { return this->random(100) < percent; }
    void at(MonoTime time, std::function<void()> action)
    {
        this->events.push_back({time, std::move(action)});
    }

    void drawNames()
    {
        std::int64_t version = 1;
        MonoTime time = Start - Millis(20'000);
        while (time < Start + Duration) {
            const std::int64_t previous = this->names.empty() ? 0 : version;
            version += this->names.empty() ? 0 : this->draw(1, 3);
            this->names.push_back({version, previous, time});
            time += Millis(this->happens(70) ? this->draw(300, 4000) : this->draw(8000, 20'000));
        }
        for (const Name &name : this->names) {
            for (std::size_t index = 0; name.at >= Start && index < Instances; ++index)
                this->at(name.at + Millis(this->draw(5, 60)),
                         [=, this] { this->hear(index, name); });
        }
    }

    void drawRestarts()
    {
        for (MonoTime time = Start + Millis(500); time < Start + Duration;) {
            const unsigned kind = this->random(10);
            if (kind < 6) { // one after the other
                for (std::size_t index = 0; index < Instances; ++index, time += Millis(1200))
                    this->restart(index, time, Millis(this->draw(200, 900)));
            } else if (kind < 9) { // several at once
                const std::size_t first = this->random(Instances);
                for (std::size_t count = 0; count < this->draw(2, Instances - 1); ++count)
                    this->restart((first + count) % Instances, time, Millis(this->draw(100, 2000)));
            } else { // all
                for (std::size_t index = 0; index < Instances; ++index)
                    this->restart(index, time, Millis(this->draw(100, 2000)));
            }
            time += Millis(this->draw(1000, 12'000));
        }
    }

    void restart(std::size_t index, MonoTime time, Millis pause)
    {
        this->at(time, [=, this] { this->instances[index].reset(); });
        this->at(time + pause, [=, this] { this->start(index); });
    }

    void start(std::size_t index)
    {
        auto instance = std::make_unique<Instance>();
        instance->index = index;
        instance->startedAt = this->now;
        ++this->processes;
        HistoryExchangeHooks hooks;
        hooks.othersInRegion = [this, index] { return this->othersOf(index); };
        hooks.othersInFleet = hooks.othersInRegion;
        hooks.ask = [this, index](const proto::ProcessId &to,
                                  const proto::WeightsHistoryRequest &request) {
            this->ask(index, to, request);
        };
        hooks.onChange = [] {};
        instance->exchange = std::make_unique<HistoryExchange>(instance->histories,
                                                               std::move(hooks), this->processes);
        const std::int64_t newest = this->newestAt(this->now).version;
        instance->histories[Model].onNamed(newest, this->now, Bound - ContactTime, true);
        this->instances[index] = std::move(instance);
    }

    std::vector<proto::ProcessId> othersOf(std::size_t index) const
    {
        std::vector<proto::ProcessId> others;
        for (std::size_t other = 0; other < Instances; ++other) {
            if (other == index || !this->instances[other])
                continue;
            others.emplace_back();
            others.back().set_incarnation(other);
        }
        return others;
    }

    const Name &newestAt(MonoTime time) const
    {
        const auto later = std::find_if(this->names.begin(), this->names.end(),
                                        [time](const Name &name) { return name.at > time; });
        return *std::prev(later);
    }

    /// The store's watch reports a name, or an instance finds the newest one some time later.
    void hear(std::size_t index, const Name &name)
    {
        if (!this->instances[index] || this->instances[index]->startedAt > name.at)
            return;
        if (this->happens(60)) {
            this->instances[index]->histories[Model].onWatched(name.version, name.previous,
                                                               this->now);
            return;
        }
        const MonoTime foundAt = this->now + Millis(this->draw(50, 550));
        this->at(foundAt, [this, index] {
            if (this->instances[index])
                this->instances[index]->histories[Model].onNamedAfterGap(
                    this->newestAt(this->now).version, this->now);
        });
    }

    /// Returns for how long a message is under way; nothing if it is lost.
    std::optional<Millis> transit()
    {
        if (this->happens(15))
            return std::nullopt;
        return Millis(this->happens(15) ? this->draw(200, 3000) : this->draw(1, 40));
    }

    void ask(std::size_t from, const proto::ProcessId &to,
             const proto::WeightsHistoryRequest &request)
    {
        const auto delay = this->transit();
        if (!delay)
            return;
        const auto asked = static_cast<std::size_t>(to.incarnation());
        this->at(this->now + *delay, [=, this] { this->answer(asked, from, request); });
    }

    // An answer may reach the next process at the asker's address.
    void answer(std::size_t asked, std::size_t asker, const proto::WeightsHistoryRequest &request)
    {
        if (!this->instances[asked])
            return;
        const auto answer = this->instances[asked]->exchange->answer(request, Bound, this->now);
        if (const auto delay = this->transit())
            this->at(this->now + *delay, [=, this] {
                if (this->instances[asker])
                    this->instances[asker]->exchange->onAnswer({}, answer, this->now);
            });
    }

    void deliver()
    {
        std::vector<Event> due;
        const auto isDue = [this](const Event &event) { return event.at <= this->now; };
        std::copy_if(this->events.begin(), this->events.end(), std::back_inserter(due), isDue);
        std::erase_if(this->events, isDue);
        std::stable_sort(due.begin(), due.end(),
                         [](const Event &one, const Event &other) { return one.at < other.at; });
        for (const Event &event : due)
            event.action();
    }

    void tick(Instance &instance)
    {
        instance.exchange->onTick(Bound, this->now);
        if (this->now - instance.startedAt < ContactTime)
            return;
        const OldWeightsLimits limits = instance.histories.at(Model).limits(UsedTime);
        for (std::size_t index = 0; index + 1 < this->names.size(); ++index)
            this->check(instance, limits, this->names[index].version, this->names[index + 1].at);
    }

    void check(const Instance &instance, const OldWeightsLimits &limits, std::int64_t version,
               MonoTime replacedAt)
    {
        if (this->now < replacedAt)
            return;
        const auto limit = limits.limitOf(version);
        const bool isAllowed = !limit || *limit >= this->now;
        if (isAllowed && this->now > replacedAt + Bound)
            this->late.push_back("instance " + std::to_string(instance.index) + " allows version "
                                 + std::to_string(version));
        if (this->now > replacedAt + UsedTime)
            return;
        this->sharedTime += Step;
        this->earlyTime += isAllowed ? Millis(0) : Step;
    }

    pcg32 random;
    MonoTime now{Start};
    std::vector<Name> names;
    std::vector<Event> events;
    std::array<std::unique_ptr<Instance>, Instances> instances;
    std::uint64_t processes = 0; ///< started so far
};

} // namespace

// Names, starts, and messages that are late or lost. Guards against old weights that are begun on
// after their time by an instance that has missed names.
Test(historyexchange, no_instance_allows_a_version_for_longer_than_it_may)
{
    constexpr int Seeds = 60;
    Millis early{0};
    Millis shared{0};
    for (int seed = 1; seed <= Seeds; ++seed) {
        SimulatedFleet fleet(static_cast<std::uint64_t>(seed));
        fleet.run();
        const std::string first = fleet.late.empty() ? std::string() : fleet.late.front();
        cr_assert(fleet.late.empty(), "seed %d: %zu times, first: %s", seed, fleet.late.size(),
                  first.c_str());
        early += fleet.earlyTime;
        shared += fleet.sharedTime;
    }
    cr_log_info("refused too early: %.2f %% of the time in which old versions are allowed",
                100.0 * static_cast<double>(early.count()) / static_cast<double>(shared.count()));
}
