#include "forward/loadbook.h"
#include "forward/reportschedule.h"
#include "routing/retrybudget.h"
#include "routing/retrystate.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr RetryConditions Everything{true, true, true};
constexpr std::array AllEnds{AttemptOutcome::NeverSent, AttemptOutcome::Refused,
                             AttemptOutcome::Broken, AttemptOutcome::Failed,
                             AttemptOutcome::Succeeded};

bool mayHaveRun(AttemptOutcome end)
{
    return end != AttemptOutcome::NeverSent && end != AttemptOutcome::Refused;
}

RegisteredEndpoint engine(const std::string &id, const std::string &zone, std::int64_t version = 1)
{
    RegisteredEndpoint entry;
    entry.id = id;
    entry.startMillis = 1;
    entry.service = "models";
    entry.address = {"10.0.0.1", static_cast<std::uint16_t>(zone.front())};
    entry.zone = zone;
    entry.slots = 4;
    entry.weights = {{"loom", version}};
    return entry;
}

/// Three engines in three zones of three regions, seen from zone "a".
struct Engines
{
    LoadBook book{{"a", {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}}, {}};

    Engines()
    {
        EngineSpec spec;
        spec.slots = 4;
        spec.cacheTokens = 1'000'000;
        spec.tokenBytes = 35'000;
        spec.linkMbps = 740'000;
        this->book.setEngines("models", spec);
        for (const char *zone : {"a", "b", "c"})
            this->book.onChange(
                {EndpointChange::Kind::Joined, engine(std::string("engine-") + zone, zone)});
    }

    static ChoiceQuery query(const std::string &sharedPart)
    {
        ChoiceQuery query;
        query.service = "models";
        query.model = "loom";
        query.newestWeights = 1;
        query.chain = chainOf("wall", {{sharedPart, 5000}, {sharedPart + "-own", 1000}});
        return query;
    }

    Choice choose(const ChoiceQuery &query, MonoTime now = Start) const
    {
        const auto choice = this->book.choose(query, now);
        cr_assert(choice.has_value());
        return *choice;
    }
};

} // namespace

// Every order of up to four attempts' ends, with every kind of route: a request that may not
// repeat runs at most once, and "refused" is only said when nothing can have run.
Test(run, never_repeats_or_denies_a_run_in_any_order_of_events)
{
    constexpr int Orders = 5 * 5 * 5 * 5;
    for (const bool mayRepeat : {false, true}) {
        for (int maxAttempts = 1; maxAttempts <= 3; ++maxAttempts) {
            for (int order = 0; order < Orders; ++order) {
                RetryState run(mayRepeat, maxAttempts);
                int runs = 0;
                RetryDecision step = RetryDecision::Retry;
                for (int rest = order; step == RetryDecision::Retry; rest /= 5) {
                    const AttemptOutcome end = AllEnds.at(static_cast<std::size_t>(rest % 5));
                    runs += mayHaveRun(end) ? 1 : 0;
                    step = run.onAttemptEnd(end, Everything);
                    cr_assert(run.attempts() <= 4);
                }
                cr_assert(runs <= (mayRepeat ? maxAttempts : 1), "order %d", order);
                if (step == RetryDecision::Refuse)
                    cr_assert(runs == 0, "order %d", order);
                if (step == RetryDecision::Fail)
                    cr_assert(runs > 0, "order %d", order);
            }
        }
    }
}

Test(run, time_that_is_up_promises_nothing_once_something_was_sent)
{
    const RetryState fresh(false, 1);
    cr_assert(fresh.onTimeUp(false) == RetryDecision::Refuse);
    cr_assert(fresh.onTimeUp(true) == RetryDecision::Fail);
    RetryState broken(true, 2);
    broken.onAttemptEnd(AttemptOutcome::Broken, Everything);
    cr_assert(broken.onTimeUp(false) == RetryDecision::Fail);
}

Test(run, without_budget_candidate_or_time_there_is_no_retry)
{
    for (const RetryConditions chance :
         {RetryConditions{false, true, true}, RetryConditions{true, false, true},
          RetryConditions{true, true, false}}) {
        RetryState run(true, 3);
        cr_assert(run.onAttemptEnd(AttemptOutcome::Refused, chance) == RetryDecision::Refuse);
        cr_assert(run.hasReachedEndpoint());
        cr_assert(run.onAttemptEnd(AttemptOutcome::Broken, chance) == RetryDecision::Fail);
    }
}

// The load pattern of crashed endpoints that refuse connections: trying the next one is no repeat.
Test(run, an_attempt_that_never_arrived_costs_no_budget)
{
    RetryState run(false, 1);
    cr_assert(run.onAttemptEnd(AttemptOutcome::NeverSent, {false, true, true})
              == RetryDecision::Retry);
    cr_assert(not(run.hasReachedEndpoint()));
    cr_assert(run.onAttemptEnd(AttemptOutcome::Refused, {false, true, true})
              == RetryDecision::Refuse);
}

Test(run, a_stream_resumes_only_within_its_attempts)
{
    RetryState resumable(true, 2);
    cr_assert(resumable.mayResume(Everything));
    cr_assert(not(resumable.mayResume(Everything)));
    RetryState thrice(true, 3);
    cr_assert(thrice.mayResume(Everything));
    cr_assert(thrice.mayResume(Everything));
    cr_assert(not(thrice.mayResume(Everything)));
    RetryState once(false, 2);
    cr_assert(not(once.mayResume(Everything)));
}

// Eight instances under a storm of failures, each with its own uneven part of the traffic: over
// any sliding window the repeats of all stay within the fleet's budget.
Test(retrybudget, the_sum_over_instances_stays_within_the_fleets_budget)
{
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.slack = 56;
    settings.instances = 8;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        pcg32 random(seed);
        std::vector<RetryBudget> instances(8, RetryBudget(settings));
        std::vector<MonoTime> requests;
        std::vector<MonoTime> repeats;
        for (int step = 0; step < 4000; ++step) {
            const MonoTime now = Start + Millis(10) * step;
            // The load swings between a trickle and a burst.
            if (random(10) >= ((step / 700) % 2 == 0 ? 8U : 1U))
                continue;
            RetryBudget &instance = instances.at(random(random(8) + 1));
            instance.onRequest("desk", now);
            requests.push_back(now);
            while (instance.allowsRetry("desk", now)) {
                instance.onRetry("desk", now);
                repeats.push_back(now);
            }
        }
        const auto within = [](const std::vector<MonoTime> &times, MonoTime from, MonoTime to) {
            return std::count_if(times.begin(), times.end(),
                                 [&](MonoTime at) { return at >= from && at < to; });
        };
        for (MonoTime from = Start; from < Start + Millis(30'000); from += Millis(250)) {
            const MonoTime to = from + settings.window;
            const auto most
                = std::max({within(requests, from, to),
                            within(requests, from - settings.window / 2, to - settings.window / 2),
                            within(requests, from - settings.window, from)});
            const double allowed = 0.2 * static_cast<double>(most) + 56;
            cr_assert(static_cast<double>(within(repeats, from, to)) <= allowed, "seed %u", seed);
        }
    }
}

Test(promptmemory, knows_a_prompt_up_to_the_first_part_it_has_not_seen)
{
    PromptMemory memory(10'000);
    const PromptChain chain = chainOf("w", {{"system", 500}, {"document", 3000}, {"own", 200}});
    memory.onSent(chain, Start);
    cr_assert(memory.knownTokens(chain, Start) == 3700);
    const PromptChain other = chainOf("w", {{"system", 500}, {"another", 3000}, {"own", 200}});
    cr_assert(memory.knownTokens(other, Start) == 500);
    cr_assert(memory.knownTokens(chainOf("v", {{"system", 500}}), Start) == 0);
    cr_assert(memory.knownTokens(chain, Start + Millis(60'000)) == 0);
}

Test(promptmemory, forgets_the_least_recently_used_parts_first)
{
    PromptMemory memory(5000);
    const PromptChain first = chainOf("w", {{"one", 3000}});
    const PromptChain second = chainOf("w", {{"two", 3000}});
    memory.onSent(first, Start);
    memory.onSent(second, Start);
    cr_assert(memory.knownTokens(first, Start) == 0);
    cr_assert(memory.knownTokens(second, Start) == 3000);
}

Test(loadbook, all_instances_send_a_shared_prompt_to_the_same_home_first)
{
    const Engines one;
    Engines two;
    two.book = LoadBook({"c", {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}}, {});
    Engines fresh;
    std::map<std::string, int> homes;
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = Engines::query("part-" + std::to_string(part));
        const Choice choice = one.choose(query);
        cr_assert(fresh.choose(query).endpointId == choice.endpointId);
        // Nothing is known to be kept anywhere, so only the home before may be asked.
        cr_assert(choice.source.has_value());
        cr_assert(choice.source != one.book.entryOf(choice.endpointId)->address);
        cr_assert(choice.cachedTokens == 0);
        ++homes[choice.endpointId];
    }
    cr_assert(homes.size() == 3U);
}

Test(loadbook, once_the_home_has_read_a_prompt_a_near_engine_fetches_it)
{
    Engines engines;
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = Engines::query("part-" + std::to_string(part));
        const Choice first = engines.choose(query);
        if (first.endpointId == "engine-a")
            continue;
        engines.book.onSent(first.endpointId, query.chain, 6000, Start);
        const Choice second = engines.choose(query);
        cr_assert(second.endpointId == "engine-a");
        cr_assert(second.source.has_value());
        return;
    }
    cr_assert(false, "no part has its home elsewhere");
}

// Without the engine that has joined, the home would be the one that it now fetches from.
Test(loadbook, a_home_that_has_just_joined_fetches_from_the_home_before)
{
    for (int part = 0; part < 30; ++part) {
        const ChoiceQuery query = Engines::query("part-" + std::to_string(part));
        Engines before;
        const Choice now = before.choose(query);
        before.book.onChange({EndpointChange::Kind::Gone, *before.book.entryOf(now.endpointId)});
        const Choice former = before.choose(query);
        cr_assert(now.source == before.book.entryOf(former.endpointId)->address);
    }
}

Test(loadbook, parts_are_never_fetched_from_an_engine_with_other_weights)
{
    Engines engines;
    engines.book.onChange({EndpointChange::Kind::Updated, engine("engine-b", "b", 2)});
    engines.book.onChange({EndpointChange::Kind::Updated, engine("engine-c", "c", 3)});
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = Engines::query("part-" + std::to_string(part));
        for (const char *id : {"engine-a", "engine-b", "engine-c"})
            engines.book.onSent(id, query.chain, 0, Start);
        cr_assert(not(engines.choose(query).source.has_value()));
    }
}

Test(loadbook, an_engine_that_refuses_or_loads_comes_last_but_is_not_ruled_out)
{
    Engines engines;
    const ChoiceQuery query = Engines::query("p");
    const std::string home = engines.choose(query).endpointId;
    engines.book.avoid(home, Start + Millis(500));
    cr_assert(engines.choose(query).endpointId != home);
    cr_assert(engines.choose(query, Start + Millis(600)).endpointId == home);
    for (const char *id : {"engine-a", "engine-b", "engine-c"})
        engines.book.avoid(id, Start + Millis(500));
    cr_assert(engines.book.choose(query, Start).has_value());
}

Test(loadbook, leaving_and_tried_engines_are_ruled_out)
{
    Engines engines;
    ChoiceQuery query = Engines::query("p");
    RegisteredEndpoint leaving = engine("engine-a", "a");
    leaving.isLeaving = true;
    engines.book.onChange({EndpointChange::Kind::Leaving, leaving});
    query.tried = {"engine-b"};
    cr_assert(engines.choose(query).endpointId == "engine-c");
    query.tried.emplace_back("engine-c");
    cr_assert(not(engines.book.choose(query, Start).has_value()));
}

Test(loadbook, a_stream_goes_on_only_on_its_own_weights)
{
    Engines engines;
    engines.book.onWeightsLoaded("engine-b", "loom", 2);
    ChoiceQuery query = Engines::query("p");
    query.onlyWeights = 2;
    cr_assert(engines.choose(query).endpointId == "engine-b");
    query.onlyWeights = 7;
    cr_assert(not(engines.book.choose(query, Start).has_value()));
}

// The load pattern of orders that are carried out late: what an engine runs is not what was
// thought, and it refuses until that is known.
Test(loadbook, weights_that_an_engine_refuses_for_are_not_asked_for_again)
{
    Engines engines;
    const ChoiceQuery query = Engines::query("p");
    for (const char *id : {"engine-a", "engine-b", "engine-c"})
        engines.book.onWeightsUnknown(id, "loom");
    const Choice choice = engines.choose(query);
    cr_assert(choice.weightsVersion == 0);
    cr_assert(not(choice.source.has_value()));
    engines.book.onWeightsLoaded(choice.endpointId, "loom", 1);
    cr_assert(engines.choose(query).weightsVersion == 1);
}

Test(loadbook, a_lagging_registry_does_not_take_loaded_weights_back)
{
    Engines engines;
    engines.book.onWeightsLoaded("engine-b", "loom", 2);
    engines.book.onChange({EndpointChange::Kind::Updated, engine("engine-b", "b", 1)});
    cr_assert(engines.book.entryOf("engine-b")->weights.at("loom") == 2);
    engines.book.onChange({EndpointChange::Kind::Restarted, engine("engine-b", "b", 1)});
    cr_assert(engines.book.entryOf("engine-b")->weights.at("loom") == 1);
}

// The load pattern of a hot prompt: its home does not take more than it can while others idle.
Test(loadbook, a_hot_prompt_spreads_when_its_home_is_busy)
{
    Engines engines;
    const ChoiceQuery query = Engines::query("hot");
    std::map<std::string, int> sent;
    for (int request = 0; request < 60; ++request) {
        const Choice choice = engines.choose(query);
        ++sent[choice.endpointId];
        engines.book.onSent(choice.endpointId, query.chain,
                            query.chain.totalTokens() - choice.cachedTokens, Start);
    }
    cr_assert(sent.size() == 3U);
    for (const auto &[id, count] : sent)
        cr_assert(count <= 40, "%s got %d", id.c_str(), count);
}

namespace {

/// A large fleet of instances and engines, with what the engines get in a second.
struct CrowdedFleet
{
    static constexpr int Instances = 40;
    static constexpr int EngineCount = 30;
    static constexpr int NewEngines = 3; ///< that have new weights already
    static constexpr int RequestsPerInstance = 10;
    std::vector<LoadBook> books;
    std::map<std::string, int> sent;

    CrowdedFleet()
        : books(Instances, LoadBook({"a", {{"a", "ra"}}}, {}))
    {
        for (LoadBook &book : this->books) {
            book.setInstances(Instances);
            for (int number = 0; number < EngineCount; ++number)
                book.onChange(
                    {EndpointChange::Kind::Joined,
                     engine("e" + std::to_string(number), "a", number < NewEngines ? 2 : 1)});
        }
    }

    /// Each instance sends its requests, and hears nothing of the others'.
    void play(pcg32 &random)
    {
        // A busy day: on average more than a third of the slots are taken.
        for (LoadBook &book : this->books) {
            for (int number = 0; number < EngineCount; ++number)
                book.onLoad("e" + std::to_string(number), {2, 0}, Start);
        }
        for (int number = 0; number < Instances * RequestsPerInstance; ++number) {
            LoadBook &book = this->books.at(random(Instances));
            ChoiceQuery query = Engines::query("part-" + std::to_string(random(50)));
            query.newestWeights = 2;
            query.draw = random(1000) / 1000.0;
            const auto choice = book.choose(query, Start);
            book.onSent(choice->endpointId, query.chain, 0, Start);
            ++this->sent[choice->endpointId];
        }
    }
};

} // namespace

// The load pattern after new weights were named: a few engines have them, and each of many
// instances sees these few as free. They get no more than a small multiple of their even part.
Test(loadbook, few_engines_with_new_weights_are_not_crowded)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        pcg32 random(seed);
        CrowdedFleet fleet;
        fleet.play(random);
        int onNew = 0;
        for (int number = 0; number < CrowdedFleet::NewEngines; ++number)
            onNew += fleet.sent["e" + std::to_string(number)];
        const int all = CrowdedFleet::Instances * CrowdedFleet::RequestsPerInstance;
        const int even = all * CrowdedFleet::NewEngines / CrowdedFleet::EngineCount;
        cr_assert(onNew <= 2 * even, "seed %u: %d of %d", seed, onNew, all);
        cr_assert(onNew >= even / 2, "seed %u: %d of %d", seed, onNew, all);
    }
}

// On a quiet day the new engines have room: more is drawn to them.
Test(loadbook, idle_engines_with_new_weights_get_more_than_their_part)
{
    CrowdedFleet fleet;
    ChoiceQuery query = Engines::query("p");
    query.newestWeights = 2;
    query.draw = 0.3; // of an even part of 0.1
    cr_assert(fleet.books.front().choose(query, Start)->weightsVersion == 2);
    query.draw = 0.5;
    cr_assert(fleet.books.front().choose(query, Start)->weightsVersion == 1);
}

// Past the time for old weights, all go to the new ones.
Test(loadbook, old_weights_are_left_when_their_time_is_over)
{
    CrowdedFleet fleet;
    ChoiceQuery query = Engines::query("p");
    query.newestWeights = 2;
    query.leastWeights = 2;
    query.draw = 0.99;
    cr_assert(fleet.books.front().choose(query, Start)->weightsVersion == 2);
}

// What an engine reports counts, not only what this instance sent; and an old report does not.
Test(loadbook, an_engine_that_others_keep_busy_is_left_alone)
{
    Engines engines;
    const ChoiceQuery query = Engines::query("p");
    const std::string home = engines.choose(query).endpointId;
    engines.book.onLoad(home, {60, 40}, Start);
    cr_assert(engines.choose(query).endpointId != home);
    cr_assert(engines.choose(query, Start + Millis(3000)).endpointId == home);
    engines.book.onLoad(home, {1, 0}, Start);
    cr_assert(engines.choose(query).endpointId == home);
}

// A busy engine is asked often, an idle one seldom; what matters is told, and told again before
// it fades; one that does not answer is told of at the second time, or at once if it refuses.
Test(reportschedule, asks_and_tells_as_needed)
{
    ReportSchedule schedule;
    const auto play = [&](std::int64_t running, int millis) {
        std::pair<int, int> counts;
        for (int now = 0; now < millis; now += 50) {
            const MonoTime at = Start + Millis(now);
            if (!schedule.isDue("e", at))
                continue;
            schedule.onAsked("e", at);
            ++counts.first;
            EngineReport report;
            report.running = running;
            counts.second += schedule.onReport("e", report, at) ? 1 : 0;
        }
        schedule.forgetBefore(Start + Millis(millis));
        return counts;
    };
    cr_assert(play(1, 10'000) == std::pair(5, 0));
    const auto busy = play(50, 10'000);
    cr_assert(busy.first >= 25 && busy.second >= 6 && busy.second <= 10);
    cr_assert(not(schedule.onFailure("e", true, Start)));
    cr_assert(schedule.onFailure("e", true, Start));
    cr_assert(schedule.onReport("e", {}, Start));
    cr_assert(schedule.onFailure("e", false, Start));
}

// The load pattern of many instances, each of which has sent little itself: where the home is
// busy and another engine gets the prompt, it asks the home for the parts.
Test(loadbook, an_engine_that_is_not_the_home_asks_the_home_for_what_others_have_sent)
{
    for (int part = 0; part < 30; ++part) {
        Engines engines;
        const ChoiceQuery query = Engines::query("part-" + std::to_string(part));
        const std::string home = engines.choose(query).endpointId;
        engines.book.onLoad(home, {60, 40}, Start);
        const Choice other = engines.choose(query);
        cr_assert(other.endpointId != home);
        cr_assert(other.source == engines.book.entryOf(home)->address);
        cr_assert(other.cachedTokens == 0);
    }
}

// After a refusal for its weights, an engine gets work again only when it has told what it runs,
// as long as there are others: its prompts would be read as a whole.
Test(loadbook, an_engine_with_unknown_weights_comes_after_others)
{
    Engines engines;
    ChoiceQuery query = Engines::query("p");
    const std::string home = engines.choose(query).endpointId;
    engines.book.onWeightsUnknown(home, "loom");
    for (const double draw : {0.0, 0.99}) {
        query.draw = draw;
        query.newestWeights = 2;
        cr_assert(engines.choose(query).endpointId != home);
    }
    engines.book.onWeightsLoaded(home, "loom", 1);
    cr_assert(engines.choose(query).endpointId == home);
}

// Rather refused, and told when to come back, than begun on weights whose time is over.
Test(loadbook, weights_whose_time_is_over_begin_no_request)
{
    Engines engines;
    ChoiceQuery query = Engines::query("p");
    query.newestWeights = 3;
    query.leastWeights = 2;
    cr_assert(not(engines.book.choose(query, Start).has_value()));
    engines.book.onWeightsLoaded("engine-b", "loom", 2);
    engines.book.avoid("engine-b", Start + Millis(500));
    cr_assert(engines.choose(query).endpointId == "engine-b");
    // A stream that has begun goes on where its weights run.
    query.onlyWeights = 1;
    cr_assert(engines.choose(query).endpointId != "engine-b");
}
