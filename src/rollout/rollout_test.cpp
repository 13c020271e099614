#include "rollout/lease.h"
#include "rollout/planner.h"

#include <cmath>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

/// The store's one object, with conditional writes that may lose their answers or come late.
struct FakeStore
{
    std::optional<StoredObject> object;
    std::int64_t revision = 10;

    ObjectReply apply(const LeaseAction &action)
    {
        if (action.kind == LeaseAction::Kind::Read)
            return {this->object ? StoreStatus::Ok : StoreStatus::NotFound, this->object};
        const bool isThere = this->object.has_value();
        const bool isCreate = action.kind == LeaseAction::Kind::Create;
        if (isCreate == isThere || (isThere && this->object->revision != action.revision))
            return {StoreStatus::Conflict, this->object};
        this->object = StoredObject{"weights", ++this->revision, toJson(action.record)};
        return {StoreStatus::Ok, this->object};
    }
};

struct LateWrite
{
    LeaseAction action;
    MonoTime at{};
};

struct Contender
{
    Lease lease;
    MonoTime frozenUntil{};
};

RegisteredEndpoint engine(int number, std::int64_t version)
{
    RegisteredEndpoint entry;
    entry.id = "engine-" + std::to_string(number);
    entry.startMillis = 1;
    entry.service = "models";
    entry.zone = std::string(1, static_cast<char>('a' + number % 3));
    entry.weights = {{"loom", version}};
    return entry;
}

/// Engines that take orders as real ones do: one at a time, with a load time, some unanswered.
struct FakeEngines
{
    struct Engine
    {
        std::int64_t version = 1;
        std::int64_t loading = 0;
        MonoTime doneAt{};
        std::int64_t taken = 0;
        bool hasCrashed = false;
        bool isReplaced = false; ///< its address belongs to another one
    };

    EndpointDirectory directory;
    std::map<std::string, Engine> engines;
    std::int64_t revision = 1;
    Millis loadTime{1000};
    int failedOrders = 0;

    explicit FakeEngines(int count)
    {
        for (int number = 0; number < count; ++number) {
            this->directory.put(engine(number, 1), ++this->revision);
            this->engines["engine-" + std::to_string(number)] = {};
        }
    }

    void tick(MonoTime now)
    {
        for (auto &[id, engine] : this->engines) {
            if (engine.loading == 0 || now < engine.doneAt)
                continue;
            engine.version = std::exchange(engine.loading, 0);
        }
    }

    EngineReport report(const std::string &id) const
    {
        const Engine &engine = this->engines.at(id);
        EngineReport report;
        report.weights = {{"loom", engine.version}};
        report.acceptedOrders = engine.taken;
        report.isBusy = engine.loading != 0;
        return report;
    }

    OrderAnswer order(const std::string &id, const WeightsOrder &order, MonoTime now)
    {
        Engine &engine = this->engines.at(id);
        if (engine.loading != 0 || order.expectedAcceptedOrders != engine.taken)
            return OrderAnswer::Conflict;
        if (engine.version == order.version)
            return OrderAnswer::AlreadyDone;
        engine.loading = order.version;
        engine.doneAt = now + this->loadTime;
        ++engine.taken;
        return OrderAnswer::Accepted;
    }

    /// One step of time: what the planner wants is done and answered at once.
    void carryOut(RolloutPlanner &planner, MonoTime now)
    {
        this->tick(now);
        for (const RolloutAction &action : planner.onTick(this->directory, true, now)) {
            const std::string &id = action.engine.id;
            const Engine &engine = this->engines.at(id);
            if (engine.hasCrashed || engine.isReplaced) {
                this->fail(planner, action, now);
                continue;
            }
            if (action.kind == RolloutAction::Kind::AskReport)
                planner.onReport(id, this->report(id), now);
            if (action.kind == RolloutAction::Kind::GiveOrder)
                planner.onOrderAnswer(id, this->order(id, action.order, now), now);
        }
    }

    void fail(RolloutPlanner &planner, const RolloutAction &action, MonoTime now)
    {
        const std::string &id = action.engine.id;
        const bool isReplaced = this->engines.at(id).isReplaced;
        this->failedOrders += action.kind == RolloutAction::Kind::GiveOrder ? 1 : 0;
        if (action.kind == RolloutAction::Kind::AskReport)
            planner.onReportFailed(
                id, isReplaced ? ReportFailure::OtherEndpoint : ReportFailure::NoAnswer, now);
        if (action.kind == RolloutAction::Kind::GiveOrder)
            planner.onOrderAnswer(
                id, isReplaced ? OrderAnswer::OtherEndpoint : OrderAnswer::Unknown, now);
    }

    std::size_t loadingCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->engines.begin(), this->engines.end(),
                          [](const auto &entry) { return entry.second.loading != 0; }));
    }

    std::int64_t oldest() const
    {
        std::int64_t version = 1'000'000;
        for (const auto &[id, engine] : this->engines)
            version = std::min(version, engine.version);
        return version;
    }
};

} // namespace

// Processes that freeze at any moment, and a store that loses answers and carries writes out
// late: there is never a second holder, and numbers only grow from one holder to the next.
Test(lease, there_is_at_most_one_holder_and_its_number_grows)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        pcg32 random(seed);
        FakeStore store;
        std::vector<Contender> contenders;
        for (int index = 0; index < 3; ++index)
            contenders.push_back({Lease("node-" + std::to_string(index), 100U + index, {}), {}});
        std::vector<LateWrite> late;
        std::map<std::int64_t, std::size_t> holderOfFence;
        std::int64_t highest = 0;
        for (MonoTime now = Start; now < Start + Millis(60'000); now += Millis(50)) {
            for (const LateWrite &write : late) {
                if (write.at <= now)
                    store.apply(write.action);
            }
            std::erase_if(late, [&](const LateWrite &write) { return write.at <= now; });
            std::size_t holders = 0;
            for (std::size_t index = 0; index < contenders.size(); ++index) {
                Contender &contender = contenders[index];
                if (contender.lease.isHeld(now)) {
                    ++holders;
                    const std::int64_t fence = contender.lease.fence();
                    cr_assert(fence >= highest, "seed %u: number went back", seed);
                    highest = fence;
                    const auto [entry, isNew] = holderOfFence.emplace(fence, index);
                    cr_assert(isNew || entry->second == index, "seed %u: shared number", seed);
                }
                if (now < contender.frozenUntil)
                    continue;
                if (random(200) == 0)
                    contender.frozenUntil = now + Millis(500 + random(6000));
                contender.lease.setWanted(true);
                const auto action = contender.lease.onTick(now);
                if (!action)
                    continue;
                const unsigned luck = random(10);
                if (luck == 0) {
                    contender.lease.onReply(*action, {StoreStatus::Unknown, {}}, now);
                } else if (luck == 1) {
                    late.push_back({*action, now + Millis(random(4000))});
                    contender.lease.onReply(*action, {StoreStatus::Unknown, {}}, now);
                } else if (luck == 2) {
                    store.apply(*action);
                    contender.lease.onReply(*action, {StoreStatus::Unknown, {}}, now);
                } else {
                    contender.lease.onReply(*action, store.apply(*action), now);
                }
            }
            cr_assert(holders <= 1, "seed %u: %zu holders", seed, holders);
        }
        cr_assert(highest > 0, "seed %u: nobody ever held the lease", seed);
    }
}

Test(lease, the_last_holder_takes_it_again_at_once_with_a_higher_number)
{
    FakeStore store;
    Lease first("node", 1, {});
    first.setWanted(true);
    MonoTime now = Start;
    while (!first.isHeld(now)) {
        now += Millis(10);
        if (const auto action = first.onTick(now))
            first.onReply(*action, store.apply(*action), now);
    }
    cr_assert(first.fence() == 1);
    Lease restarted("node", 2, {});
    restarted.setWanted(true);
    const MonoTime begun = now;
    while (!restarted.isHeld(now)) {
        now += Millis(10);
        if (const auto action = restarted.onTick(now))
            restarted.onReply(*action, store.apply(*action), now);
    }
    cr_assert(restarted.fence() == 2);
    cr_assert(now - begun < Millis(100));
}

Test(lease, malformed_records_count_as_none)
{
    for (const char *text :
         {"{}", "[]", "7", "null", R"({"holder":7,"number":3})", R"({"holder":"x","number":-1})"})
        cr_assert(not(parseLease(Json::parse(text)).has_value()), "%s", text);
}

// A version is named every four seconds while a turn of all engines takes longer than that: no
// engine stays on a version that was replaced more than ten seconds ago, and most go on serving.
Test(planner, versions_in_quick_succession_leave_no_engine_behind)
{
    constexpr Millis Bound{10'000};
    for (const int count : {3, 9, 18, 60}) {
        FakeEngines engines(count);
        engines.loadTime = Millis(1500);
        RolloutPlanner planner;
        std::map<std::int64_t, MonoTime> namedAt;
        const auto most = static_cast<std::size_t>(std::ceil(0.25 * count));
        for (MonoTime now = Start; now < Start + Millis(40'000); now += Millis(50)) {
            const auto elapsed = std::chrono::duration_cast<Millis>(now - Start);
            const std::int64_t version = 2 + elapsed / Millis(4000);
            namedAt.try_emplace(version, now);
            planner.setWanted({{"loom", version}});
            engines.carryOut(planner, now);
            cr_assert(engines.loadingCount() <= most, "%d engines", count);
            for (const auto &[named, at] : namedAt) {
                if (now - at > Bound)
                    cr_assert(engines.oldest() >= named, "%d engines, version %ld", count,
                              static_cast<long>(named));
            }
        }
    }
}

Test(planner, without_hurry_few_engines_load_at_once)
{
    FakeEngines engines(18);
    RolloutTimings timings;
    timings.bound = Millis(60'000);
    RolloutPlanner planner(timings);
    planner.setWanted({{"loom", 2}});
    for (MonoTime now = Start; now < Start + Millis(40'000); now += Millis(50)) {
        engines.carryOut(planner, now);
        cr_assert(engines.loadingCount() <= 3U);
    }
    cr_assert(engines.oldest() == 2);
}

// Orders that stay unanswered and are carried out seconds later never load a version twice or
// an older one after a newer one.
Test(planner, unanswered_orders_that_are_carried_out_late_do_no_harm)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        pcg32 random(seed);
        FakeEngines engines(6);
        RolloutPlanner planner;
        std::deque<std::pair<MonoTime, RolloutAction>> late;
        std::map<std::string, std::int64_t> newest;
        for (MonoTime now = Start; now < Start + Millis(60'000); now += Millis(50)) {
            planner.setWanted({{"loom", now < Start + Millis(3000) ? 2 : 3}});
            engines.tick(now);
            std::erase_if(late, [&](const auto &entry) {
                if (entry.first > now)
                    return false;
                engines.order(entry.second.engine.id, entry.second.order, now);
                return true;
            });
            for (const RolloutAction &action : planner.onTick(engines.directory, true, now)) {
                const std::string &id = action.engine.id;
                if (action.kind == RolloutAction::Kind::AskReport)
                    planner.onReport(id, engines.report(id), now);
                if (action.kind != RolloutAction::Kind::GiveOrder)
                    continue;
                if (random(3) == 0) {
                    late.emplace_back(now + Millis(2000 + random(10'000)), action);
                    planner.onOrderAnswer(id, OrderAnswer::Unknown, now);
                } else {
                    planner.onOrderAnswer(id, engines.order(id, action.order, now), now);
                }
            }
            for (const auto &[id, engine] : engines.engines) {
                cr_assert(engine.version >= newest[id], "seed %u: %s went back", seed, id.c_str());
                newest[id] = engine.version;
            }
        }
        cr_assert(engines.oldest() == 3, "seed %u", seed);
    }
}

Test(planner, an_engine_that_restarts_is_looked_at_anew)
{
    FakeEngines engines(1);
    RolloutPlanner planner;
    planner.setWanted({{"loom", 2}});
    cr_assert(planner.outdated(engines.directory).size() == 1U);
    EngineReport loaded;
    loaded.weights = {{"loom", 2}};
    planner.onTick(engines.directory, true, Start);
    planner.onReport("engine-0", loaded, Start);
    cr_assert(planner.outdated(engines.directory).empty());
    RegisteredEndpoint restarted = engine(0, 1);
    restarted.startMillis = 2;
    engines.directory.put(restarted, 100);
    cr_assert(planner.outdated(engines.directory).size() == 1U);
}

Test(planner, without_the_lease_nothing_is_ordered)
{
    FakeEngines engines(3);
    RolloutPlanner planner;
    planner.setWanted({{"loom", 2}});
    for (int step = 0; step < 50; ++step)
        cr_assert(planner.onTick(engines.directory, false, Start + Millis(50) * step).empty());
}

// The load pattern of a rack that crashes while new weights are brought out: its engines stay
// listed for seconds, some with their addresses given to others. They do not hold up the rest,
// and hardly any orders are wasted on them.
Test(planner, engines_that_crashed_keep_no_place_from_others)
{
    for (const bool isReplaced : {false, true}) {
        FakeEngines engines(20);
        RolloutTimings timings;
        timings.bound = Millis(60'000);
        RolloutPlanner planner(timings);
        for (int number = 0; number < 6; ++number) {
            auto &engine = engines.engines.at("engine-" + std::to_string(number));
            engine.hasCrashed = !isReplaced;
            engine.isReplaced = isReplaced;
        }
        planner.setWanted({{"loom", 2}});
        for (MonoTime now = Start; now < Start + Millis(9000); now += Millis(50))
            engines.carryOut(planner, now);
        int done = 0;
        for (const auto &[id, engine] : engines.engines)
            done += engine.version == 2 ? 1 : 0;
        cr_assert(done == 14, "%d of 14", done);
        cr_assert(engines.failedOrders <= 6, "%d", engines.failedOrders);
        // One that is back is brought on like the others.
        for (auto &[id, engine] : engines.engines)
            engine.hasCrashed = engine.isReplaced = false;
        for (MonoTime now = Start + Millis(9000); now < Start + Millis(20'000); now += Millis(50))
            engines.carryOut(planner, now);
        cr_assert(engines.oldest() == 2);
    }
}
