#include "canary/rollout.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <functional>
#include <pcg_random.hpp>
#include <random>
#include <set>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr Millis Tick{100};
constexpr Millis NewsInterval{300};
constexpr double Share = 0.1;
constexpr double Slack = 50;
constexpr double BaseMillis = 40;
const std::string Old = "v1";
const std::string New = "v2";

/// How the endpoints behave.
struct Behaviour
{
    /// Probability of a failure, by version, route and time since the order.
    std::function<double(bool isNew, int route, double elapsed, double newShare)> failure
        = [](bool, int, double, double) { return 0.0; };
    std::function<double(bool isNew, int route)> slowness = [](bool, int) { return 1.0; };
    double lostNews = 0; ///< part of the messages that get lost
    Millis maxDelay{60}; ///< of messages, which are reordered and sometimes repeated
    bool isStoreDown = false;
    double requestsPerSecond = 800;
    std::size_t instances = 20;
    Millis duration{12'000};
};

struct Outcome
{
    RolloutState state = RolloutState::None;
    Millis at{0};
    std::int64_t requests = 0; ///< in the whole time of the order
    std::int64_t exposed = 0;
    std::string reason;
};

/// A fleet that carries out one order, with a store of one object.
class Simulation
{
public:
    Simulation(Behaviour behaviour, std::uint64_t seed)
        : behaviour(std::move(behaviour))
        , random(seed)
    {
        const ServiceOrder order{"service", New, this->behaviour.duration, RolloutState::None};
        for (std::size_t i = 0; i < this->behaviour.instances; ++i)
            this->instances.emplace_back(CountSender{"i" + std::to_string(i), 1}, order, Share,
                                         Start);
    }

    Outcome run(const std::function<void(Simulation &, Millis)> &onTick = nullptr)
    {
        Outcome outcome;
        for (Millis elapsed{0}; elapsed <= this->behaviour.duration; elapsed += Tick) {
            const MonoTime now = Start + elapsed;
            if (onTick)
                onTick(*this, elapsed);
            this->deliver(now);
            this->sendRequests(now, elapsed, outcome);
            this->tick(now, elapsed);
            if (outcome.state == RolloutState::None && isEnd(this->stored)) {
                outcome.state = this->stored;
                outcome.at = elapsed;
            }
        }
        outcome.reason = this->instances.at(this->holder).reason();
        return outcome;
    }

    std::vector<ServiceRollout> instances;
    std::size_t holder = 0;
    std::int64_t fence = 1;
    RolloutState stored = RolloutState::None;
    bool losesWrites = false; ///< the holder's writes do not arrive
    std::set<std::size_t> cutOff; ///< hear nothing

private:
    struct Message
    {
        MonoTime at;
        std::size_t to;
        RolloutReport report;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void sendRequests(MonoTime now, Millis elapsed, Outcome &outcome)
    {
        const double seconds = std::chrono::duration<double>(elapsed).count();
        const auto count
            = std::poisson_distribution<int>(this->behaviour.requestsPerSecond * 0.1)(this->random);
        int toNew = 0;
        for (int i = 0; i < count; ++i) {
            ServiceRollout &instance
                = this->instances[this->random(static_cast<std::uint32_t>(this->instances.size()))];
            const double slack = Slack / static_cast<double>(this->instances.size());
            const bool isNew = instance.isShifted(now)
                || (instance.mayExpose(this->draw(), slack, now) && seconds > 0.5);
            toNew += isNew ? 1 : 0;
            instance.onSent(isNew ? New : Old, true);
            const int route = this->draw() < 0.8 ? 0 : 1;
            const bool isFailure
                = this->draw() < this->behaviour.failure(isNew, route, seconds, this->newShare);
            const double spread = std::lognormal_distribution<double>(0, 0.4)(this->random);
            const double millis = BaseMillis * spread * this->behaviour.slowness(isNew, route);
            instance.onAnswered(isNew ? New : Old, "r" + std::to_string(route), isFailure,
                                Micros(static_cast<std::int64_t>(millis * 1000)));
        }
        this->newShare = count > 0 ? static_cast<double>(toNew) / count : 0;
        outcome.requests += count;
        outcome.exposed += toNew;
    }

    void tick(MonoTime now, Millis elapsed)
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            ServiceRollout &instance = this->instances[i];
            const bool isHolder = i == this->holder && !this->behaviour.isStoreDown;
            instance.onTick({isHolder, this->fence, 0, true}, now);
            const auto wanted = instance.wantedStatus();
            if (isHolder && wanted && !isEnd(this->stored) && !this->losesWrites) {
                this->stored = *wanted;
                for (ServiceRollout &other : this->instances)
                    other.onStatus(this->stored);
            }
            if (elapsed % NewsInterval == Millis(0))
                this->broadcast(i, now);
        }
    }

    void broadcast(std::size_t from, MonoTime now)
    {
        const RolloutReport report = this->instances[from].nextReport(now);
        for (std::size_t to = 0; to < this->instances.size(); ++to) {
            if (to == from || this->cutOff.contains(to) || this->cutOff.contains(from))
                continue;
            const int copies = this->draw() < 0.05 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                if (this->draw() < this->behaviour.lostNews)
                    continue;
                const auto delay = Millis(static_cast<std::int64_t>(
                    this->draw() * static_cast<double>(this->behaviour.maxDelay.count())));
                this->messages.push_back({now + delay, to, report});
            }
        }
    }

    void deliver(MonoTime now)
    {
        std::vector<Message> later;
        for (const Message &message : this->messages) {
            if (message.at > now)
                later.push_back(message);
            else
                this->instances[message.to].onReport(message.report, now);
        }
        this->messages = std::move(later);
    }

    Behaviour behaviour;
    pcg32 random;
    std::vector<Message> messages;
    double newShare = 0;
};

void assertWithinBound(const Outcome &outcome)
{
    const double bound = Share * static_cast<double>(outcome.requests) + Slack;
    cr_assert(static_cast<double>(outcome.exposed) <= bound, "%ld of %ld",
              static_cast<long>(outcome.exposed), static_cast<long>(outcome.requests));
}

void assertRolledBack(const Behaviour &behaviour, std::uint64_t seeds)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const Outcome outcome = Simulation(behaviour, seed).run();
        cr_assert(outcome.state == RolloutState::RolledBack, "seed %lu: %s %s",
                  static_cast<unsigned long>(seed), toString(outcome.state),
                  outcome.reason.c_str());
        assertWithinBound(outcome);
    }
}

void assertCompleted(const Behaviour &behaviour, std::uint64_t seeds)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const Outcome outcome = Simulation(behaviour, seed).run();
        cr_assert(outcome.state == RolloutState::Completed, "seed %lu: %s %s",
                  static_cast<unsigned long>(seed), toString(outcome.state),
                  outcome.reason.c_str());
        cr_assert(outcome.at < behaviour.duration);
    }
}

} // namespace

// Guards against false alarms: a good version must be completed in its time, also where both
// versions fail in 5 of 100 answers.
Test(service_rollout, completes_a_good_version)
{
    Behaviour behaviour;
    assertCompleted(behaviour, 10);
    behaviour.failure = [](bool, int, double, double) { return 0.05; };
    assertCompleted(behaviour, 20);
    behaviour.duration = Millis(8000);
    behaviour.instances = 90;
    assertCompleted(behaviour, 3);
}

// Guards against error rates beyond those that are stated: at most 1 of 100 good versions is rolled
// back, and at most 1 of 100 versions that fail in 15 of 100 answers is completed.
Test(service_rollout, error_rates_are_as_stated)
{
    constexpr std::uint64_t Runs = 200;
    Behaviour behaviour;
    int falseAlarms = 0;
    int overlooked = 0;
    for (std::uint64_t seed = 1000; seed < 1000 + Runs; ++seed) {
        behaviour.failure = [](bool, int, double, double) { return 0.05; };
        const Outcome good = Simulation(behaviour, seed).run();
        falseAlarms += good.state == RolloutState::Completed ? 0 : 1;
        behaviour.failure = [](bool isNew, int, double, double) { return isNew ? 0.15 : 0.05; };
        const Outcome bad = Simulation(behaviour, seed).run();
        overlooked += bad.state == RolloutState::RolledBack ? 0 : 1;
    }
    cr_log_info("false alarms %d, overlooked %d", falseAlarms, overlooked);
    cr_assert(falseAlarms <= 2, "%d", falseAlarms);
    cr_assert(overlooked <= 2, "%d", overlooked);
}

// Guards against condemning a version for trouble that hits both, while the share changes.
Test(service_rollout, completes_a_version_during_common_trouble)
{
    Behaviour behaviour;
    behaviour.failure = [](bool, int, double elapsed, double) {
        return elapsed > 4 && elapsed < 6.8 ? 0.4 : 0.01;
    };
    assertCompleted(behaviour, 20);
}

// Guards against more exposure than is allowed, for versions that fail at once.
Test(service_rollout, rolls_a_failing_version_back)
{
    Behaviour behaviour;
    behaviour.failure = [](bool isNew, int, double, double) { return isNew ? 0.3 : 0.02; };
    assertRolledBack(behaviour, 20);
}

// Guards against overlooking a version that is bad on one route only, or only later.
Test(service_rollout, rolls_a_version_back_that_is_bad_in_part)
{
    Behaviour behaviour;
    behaviour.failure
        = [](bool isNew, int route, double, double) { return isNew && route == 1 ? 0.3 : 0.02; };
    assertRolledBack(behaviour, 10);
    behaviour.failure
        = [](bool isNew, int, double elapsed, double) { return isNew && elapsed > 5 ? 0.3 : 0.02; };
    assertRolledBack(behaviour, 10);
}

// Guards against a version that gets all traffic before it has been tried with much of it.
Test(service_rollout, rolls_a_version_back_that_fails_under_load)
{
    Behaviour behaviour;
    behaviour.failure = [](bool isNew, int, double, double newShare) {
        return isNew && newShare > 0.3 ? 0.4 : 0.02;
    };
    assertRolledBack(behaviour, 10);
}

// Guards against a version that answers without errors, but several times slower.
Test(service_rollout, rolls_a_slow_version_back)
{
    Behaviour behaviour;
    behaviour.slowness = [](bool isNew, int) { return isNew ? 4.0 : 1.0; };
    assertRolledBack(behaviour, 10);
}

// Guards against losing a rollout if the messages between instances are late, repeated, reordered
// or lost.
Test(service_rollout, survives_bad_links)
{
    Behaviour behaviour;
    behaviour.lostNews = 0.3;
    behaviour.maxDelay = Millis(900);
    assertCompleted(behaviour, 10);
    behaviour.failure = [](bool isNew, int, double, double) { return isNew ? 0.3 : 0.02; };
    assertRolledBack(behaviour, 10);
}

// Guards against a second end: the holder is lost after its verdict and before its write.
Test(service_rollout, successor_reaches_the_same_end)
{
    Behaviour behaviour;
    behaviour.failure = [](bool isNew, int, double, double) { return isNew ? 0.3 : 0.02; };
    Simulation simulation(behaviour, 1);
    const Outcome outcome = simulation.run([](Simulation &fleet, Millis elapsed) {
        fleet.losesWrites = fleet.holder == 0;
        if (fleet.holder == 0 && fleet.instances[0].isBad() && elapsed > Millis(6000)) {
            fleet.holder = 3;
            fleet.fence = 2;
        }
    });
    cr_assert(outcome.state == RolloutState::RolledBack);
    assertWithinBound(outcome);
}

// Guards against an instance that goes on sending to the version under test, or to it alone, after
// it has heard nothing for a while.
Test(service_rollout, share_falls_to_nothing_without_news)
{
    Simulation simulation(Behaviour{}, 1);
    simulation.run([](Simulation &fleet, Millis elapsed) {
        if (elapsed == Millis(4000))
            fleet.cutOff = {5};
        if (elapsed > Millis(7100) && !isEnd(fleet.stored)) {
            cr_assert(not(fleet.instances[5].mayExpose(0, Slack, Start + elapsed)));
            cr_assert(not(fleet.instances[5].isShifted(Start + elapsed)));
        }
    });
}

// Guards against traffic to a bad version while no status can be written.
Test(service_rollout, bad_version_gets_nothing_while_the_store_is_down)
{
    Behaviour behaviour;
    behaviour.failure = [](bool isNew, int, double, double) { return isNew ? 0.3 : 0.02; };
    Simulation simulation(behaviour, 1);
    const Outcome outcome
        = simulation.run([](Simulation &fleet, Millis) { fleet.losesWrites = true; });
    cr_assert(outcome.state == RolloutState::None);
    assertWithinBound(outcome);
    for (ServiceRollout &instance : simulation.instances)
        cr_assert(instance.isBad());
}

// Guards against a rollout that begins again because the store came back from an older copy.
Test(service_rollout, end_survives_an_older_copy_of_the_store)
{
    ServiceRollout rollout({"a", 1}, {"service", New, Millis(12'000), RolloutState::RolledBack},
                           Share, Start);
    cr_assert(not(rollout.wantedStatus().has_value()));
    rollout.onStatus(RolloutState::Running);
    cr_assert(rollout.endState() == RolloutState::RolledBack);
    cr_assert(rollout.wantedStatus() == std::optional(RolloutState::RolledBack));
    rollout.onStatus(RolloutState::Completed);
    cr_assert(rollout.endState() == RolloutState::RolledBack);
}

// Guards against counting a message twice, or one that has been overtaken.
Test(fleet_observations, ignores_repeated_and_overtaken_messages)
{
    FleetObservations observations;
    CountsByRoute counts;
    counts["r"].candidate.answers = 5;
    cr_assert(observations.merge({"a", 1}, 2, counts, Start));
    cr_assert(not(observations.merge({"a", 1}, 2, counts, Start)));
    counts["r"].candidate.answers = 3;
    cr_assert(not(observations.merge({"a", 1}, 1, counts, Start)));
    counts["r"].candidate.answers = 4;
    cr_assert(observations.merge({"a", 2}, 1, counts, Start));
    cr_assert(observations.total().at("r").candidate.answers == 9);
}
