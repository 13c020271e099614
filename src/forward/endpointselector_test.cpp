#include "base/digest.h"
#include "forward/endpointselector.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

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

/// Three engines, each in a zone and region of its own, seen from an instance in one of the zones.
struct ThreeEngines
{
    EndpointSelector selector;

    explicit ThreeEngines(const std::string &instanceZone = "a")
        : selector({instanceZone, {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}}, {})
    {
        EngineSpec spec;
        spec.slots = 4;
        spec.cacheTokens = 1'000'000;
        spec.tokenBytes = 35'000;
        spec.linkMbps = 740'000;
        this->selector.setEngines("models", spec);
        for (const char *zone : {"a", "b", "c"})
            this->selector.onChange(
                {EndpointChange::Kind::Joined, engine(std::string("engine-") + zone, zone)});
    }

    static ChoiceQuery query(const std::string &sharedPart)
    {
        ChoiceQuery query;
        query.service = "models";
        query.model = "loom";
        query.newestWeights = 1;
        query.chain
            = buildPromptChain(hash64("wall"), {{sharedPart, 5000}, {sharedPart + "-own", 1000}});
        return query;
    }

    Choice choose(const ChoiceQuery &query, MonoTime now = Start) const
    {
        const auto choice = this->selector.choose(query, now);
        cr_assert(choice.has_value());
        return *choice;
    }
};

} // namespace

Test(endpointselector, all_instances_send_a_shared_prompt_to_the_same_home_first)
{
    const ThreeEngines instance;
    const ThreeEngines distantInstance("c");
    ThreeEngines otherInstance;
    std::map<std::string, int> homes;
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(part));
        const Choice choice = instance.choose(query);
        cr_assert(otherInstance.choose(query).endpointId == choice.endpointId);
        cr_assert(distantInstance.choose(query).endpointId == choice.endpointId);
        // No engine is known to have the prompt cached, so only the former home is a source.
        cr_assert(choice.source.has_value());
        cr_assert(choice.source != instance.selector.findEntry(choice.endpointId)->address);
        cr_assert(choice.cachedTokens == 0);
        ++homes[choice.endpointId];
    }
    cr_assert(homes.size() == 3U);
}

Test(endpointselector, a_near_engine_fetches_a_prompt_whose_home_is_overloaded)
{
    constexpr int MaxQueued = 12; // at the home, each with 100 ms of prefill
    ThreeEngines engines;
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(part));
        const Choice first = engines.choose(query);
        if (first.endpointId == "engine-a")
            continue;
        Choice next = first;
        for (int queued = 0; queued < MaxQueued && next.endpointId == first.endpointId; ++queued) {
            engines.selector.onSent(first.endpointId, query.chain, 6000, Start);
            next = engines.choose(query);
        }
        cr_assert(next.endpointId == "engine-a");
        cr_assert(next.source == engines.selector.findEntry(first.endpointId)->address);
        return;
    }
    cr_assert(false, "no part has its home elsewhere");
}

// Removes the home and checks that the engine which is home without it is the one that it fetched
// from.
Test(endpointselector, a_home_that_has_just_joined_fetches_from_the_former_home)
{
    for (int part = 0; part < 30; ++part) {
        const ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(part));
        ThreeEngines engines;
        const Choice home = engines.choose(query);
        engines.selector.onChange(
            {EndpointChange::Kind::Gone, *engines.selector.findEntry(home.endpointId)});
        const Choice formerHome = engines.choose(query);
        cr_assert(home.source == engines.selector.findEntry(formerHome.endpointId)->address);
    }
}

Test(endpointselector, parts_are_never_fetched_from_an_engine_with_other_weights)
{
    ThreeEngines engines;
    engines.selector.onChange({EndpointChange::Kind::Updated, engine("engine-b", "b", 2)});
    engines.selector.onChange({EndpointChange::Kind::Updated, engine("engine-c", "c", 3)});
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(part));
        for (const char *id : {"engine-a", "engine-b", "engine-c"})
            engines.selector.onSent(id, query.chain, 0, Start);
        cr_assert(not(engines.choose(query).source.has_value()));
    }
}

Test(endpointselector, an_avoided_engine_is_chosen_only_if_all_are_avoided)
{
    ThreeEngines engines;
    const ChoiceQuery query = ThreeEngines::query("p");
    const std::string home = engines.choose(query).endpointId;
    engines.selector.avoid(home, Start + Millis(500));
    cr_assert(engines.choose(query).endpointId != home);
    cr_assert(engines.choose(query, Start + Millis(600)).endpointId == home);
    for (const char *id : {"engine-a", "engine-b", "engine-c"})
        engines.selector.avoid(id, Start + Millis(500));
    cr_assert(engines.selector.choose(query, Start).has_value());
}

Test(endpointselector, leaving_and_tried_engines_are_never_chosen)
{
    ThreeEngines engines;
    ChoiceQuery query = ThreeEngines::query("p");
    RegisteredEndpoint leaving = engine("engine-a", "a");
    leaving.isLeaving = true;
    engines.selector.onChange({EndpointChange::Kind::Leaving, leaving});
    query.triedEndpoints = {"engine-b"};
    cr_assert(engines.choose(query).endpointId == "engine-c");
    query.triedEndpoints.emplace_back("engine-c");
    cr_assert(not(engines.selector.choose(query, Start).has_value()));
}

Test(endpointselector, a_stream_resumes_only_on_the_weights_it_began_on)
{
    ThreeEngines engines;
    engines.selector.onWeightsLoaded("engine-b", "loom", 2);
    ChoiceQuery query = ThreeEngines::query("p");
    query.requiredWeights = 2;
    cr_assert(engines.choose(query).endpointId == "engine-b");
    query.requiredWeights = 7;
    cr_assert(not(engines.selector.choose(query, Start).has_value()));
}

// An order that is carried out late leaves an engine with weights other than the recorded ones. It
// refuses requests that require the recorded version, so this version must not be required again.
Test(endpointselector, weights_that_an_engine_has_refused_are_not_required_again)
{
    ThreeEngines engines;
    const ChoiceQuery query = ThreeEngines::query("p");
    for (const char *id : {"engine-a", "engine-b", "engine-c"})
        engines.selector.onWeightsUnknown(id, "loom");
    const Choice choice = engines.choose(query);
    cr_assert(choice.weightsVersion == 0);
    cr_assert(not(choice.source.has_value()));
    engines.selector.onWeightsLoaded(choice.endpointId, "loom", 1);
    cr_assert(engines.choose(query).weightsVersion == 1);
}

Test(endpointselector, a_lagging_store_does_not_lower_the_weights_version)
{
    ThreeEngines engines;
    engines.selector.onWeightsLoaded("engine-b", "loom", 2);
    engines.selector.onChange({EndpointChange::Kind::Updated, engine("engine-b", "b", 1)});
    cr_assert(engines.selector.findEntry("engine-b")->weights.at("loom") == 2);
    engines.selector.onChange({EndpointChange::Kind::Restarted, engine("engine-b", "b", 1)});
    cr_assert(engines.selector.findEntry("engine-b")->weights.at("loom") == 1);
}

// A prompt in high demand must not overload its home while other engines are idle.
Test(endpointselector, a_hot_prompt_spreads_when_its_home_is_busy)
{
    ThreeEngines engines;
    const ChoiceQuery query = ThreeEngines::query("hot");
    std::map<std::string, int> sent;
    for (int request = 0; request < 60; ++request) {
        const Choice choice = engines.choose(query);
        ++sent[choice.endpointId];
        engines.selector.onSent(choice.endpointId, query.chain,
                                query.chain.totalTokens() - choice.cachedTokens, Start);
    }
    cr_assert(sent.size() == 3U);
    for (const auto &[id, count] : sent)
        cr_assert(count <= 40, "%s got %d", id.c_str(), count);
}

namespace {

/// Many instances that each select engines on their own, and the requests that each engine gets.
struct SimulatedFleet
{
    static constexpr int Instances = 40;
    static constexpr int EngineCount = 30;
    static constexpr int NewEngines = 3; ///< those that have the new weights already
    static constexpr int RequestsPerInstance = 10;
    std::vector<EndpointSelector> selectors;
    std::map<std::string, int> sent;

    SimulatedFleet()
        : selectors(Instances, EndpointSelector({"a", {{"a", "ra"}}}, {}))
    {
        for (EndpointSelector &selector : this->selectors) {
            selector.setInstanceCount(Instances);
            for (int number = 0; number < EngineCount; ++number)
                selector.onChange(
                    {EndpointChange::Kind::Joined,
                     engine("e" + std::to_string(number), "a", number < NewEngines ? 2 : 1)});
        }
    }

    /// Sends the requests of all instances; no instance learns of the requests of the others.
    void sendRequests(pcg32 &random)
    {
        // Busy engines: two of the four slots of each are in use.
        for (EndpointSelector &selector : this->selectors) {
            for (int number = 0; number < EngineCount; ++number)
                selector.onLoadReport("e" + std::to_string(number), {2, 0}, Start);
        }
        for (int number = 0; number < Instances * RequestsPerInstance; ++number) {
            EndpointSelector &selector = this->selectors.at(random(Instances));
            ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(random(50)));
            query.newestWeights = 2;
            query.randomDraw = random(1000) / 1000.0;
            const auto choice = selector.choose(query, Start);
            selector.onSent(choice->endpointId, query.chain, 0, Start);
            ++this->sent[choice->endpointId];
        }
    }
};

} // namespace

// Shortly after new weights were named, only a few engines have them, and each of many instances
// sees these as free. Guards against overload: they must get at most twice their even share.
Test(endpointselector, few_engines_with_new_weights_are_not_overloaded)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        pcg32 random(seed);
        SimulatedFleet fleet;
        fleet.sendRequests(random);
        int sentToNew = 0;
        for (int number = 0; number < SimulatedFleet::NewEngines; ++number)
            sentToNew += fleet.sent["e" + std::to_string(number)];
        const int all = SimulatedFleet::Instances * SimulatedFleet::RequestsPerInstance;
        const int evenShare = all * SimulatedFleet::NewEngines / SimulatedFleet::EngineCount;
        cr_assert(sentToNew <= 2 * evenShare, "seed %u: %d of %d", seed, sentToNew, all);
        cr_assert(sentToNew >= evenShare / 2, "seed %u: %d of %d", seed, sentToNew, all);
    }
}

// Idle engines with new weights have capacity to spare, so a larger share of the requests prefers
// them.
Test(endpointselector, idle_engines_with_new_weights_get_more_than_their_even_share)
{
    SimulatedFleet fleet;
    ChoiceQuery query = ThreeEngines::query("p");
    query.newestWeights = 2;
    query.randomDraw = 0.3; // three times the even share of 0.1
    cr_assert(fleet.selectors.front().choose(query, Start)->weightsVersion == 2);
    query.randomDraw = 0.5;
    cr_assert(fleet.selectors.front().choose(query, Start)->weightsVersion == 1);
}

// After the timeout of the old weights, all requests go to engines with the new ones.
Test(endpointselector, old_weights_get_no_requests_after_their_timeout)
{
    SimulatedFleet fleet;
    ChoiceQuery query = ThreeEngines::query("p");
    query.newestWeights = 2;
    query.minWeights = 2;
    query.randomDraw = 0.99;
    cr_assert(fleet.selectors.front().choose(query, Start)->weightsVersion == 2);
}

// The load that an engine reports counts, not only this instance's own requests. An outdated report
// is ignored.
Test(endpointselector, an_engine_that_other_instances_keep_busy_is_not_chosen)
{
    ThreeEngines engines;
    const ChoiceQuery query = ThreeEngines::query("p");
    const std::string home = engines.choose(query).endpointId;
    engines.selector.onLoadReport(home, {60, 40}, Start);
    cr_assert(engines.choose(query).endpointId != home);
    cr_assert(engines.choose(query, Start + Millis(3000)).endpointId == home);
    engines.selector.onLoadReport(home, {1, 0}, Start);
    cr_assert(engines.choose(query).endpointId == home);
}

// With many instances, each has sent only few of the requests itself. If the home is busy and
// another engine gets the prompt, that engine tries to fetch the parts from the home.
Test(endpointselector, an_engine_that_is_not_the_home_fetches_from_the_home)
{
    for (int part = 0; part < 30; ++part) {
        ThreeEngines engines;
        const ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(part));
        const std::string home = engines.choose(query).endpointId;
        engines.selector.onLoadReport(home, {60, 40}, Start);
        const Choice other = engines.choose(query);
        cr_assert(other.endpointId != home);
        cr_assert(other.source == engines.selector.findEntry(home)->address);
        cr_assert(other.cachedTokens == 0);
    }
}

// An engine whose weights are unknown shares no cached parts and needs a prefill of each whole
// prompt. After a refusal because of its weights it is not chosen before it reports its version, as
// long as there are others.
Test(endpointselector, an_engine_with_unknown_weights_comes_after_others)
{
    ThreeEngines engines;
    ChoiceQuery query = ThreeEngines::query("p");
    const std::string home = engines.choose(query).endpointId;
    engines.selector.onWeightsUnknown(home, "loom");
    for (const double randomDraw : {0.0, 0.99}) {
        query.randomDraw = randomDraw;
        query.newestWeights = 2;
        cr_assert(engines.choose(query).endpointId != home);
    }
    engines.selector.onWeightsLoaded(home, "loom", 1);
    cr_assert(engines.choose(query).endpointId == home);
}

// A request must not begin on weights whose timeout is over; without other engines it is refused.
Test(endpointselector, no_request_begins_on_weights_after_their_timeout)
{
    ThreeEngines engines;
    ChoiceQuery query = ThreeEngines::query("p");
    query.newestWeights = 3;
    query.minWeights = 2;
    cr_assert(not(engines.selector.choose(query, Start).has_value()));
    engines.selector.onWeightsLoaded("engine-b", "loom", 2);
    engines.selector.avoid("engine-b", Start + Millis(500));
    cr_assert(engines.choose(query).endpointId == "engine-b");
}

// A stream resumes on the weights that it began on, but not longer than other requests may begin
// on them: the rest of it is a new run.
Test(endpointselector, a_stream_resumes_on_old_weights_only_until_their_timeout)
{
    ThreeEngines engines;
    ChoiceQuery query = ThreeEngines::query("p");
    query.newestWeights = 3;
    query.requiredWeights = 1;
    query.minWeights = 1;
    cr_assert(engines.choose(query).weightsVersion == 1);
    query.minWeights = 2;
    cr_assert(not(engines.selector.choose(query, Start).has_value()));
    engines.selector.onWeightsLoaded("engine-b", "loom", 2);
    cr_assert(not(engines.selector.choose(query, Start).has_value()));
}

// The weights of an engine are not known, and old ones are no longer allowed: only the engine can
// refuse the request.
Test(endpointselector, unknown_weights_require_the_newest_once_old_ones_are_not_allowed)
{
    EndpointSelector selector({"a", {{"a", "ra"}}}, {});
    selector.onChange({EndpointChange::Kind::Joined, engine("engine-a", "a", 0)});
    ChoiceQuery query = ThreeEngines::query("part");
    query.newestWeights = 3;
    query.oldWeightsLimits = OldWeightsLimits({{2, Start - Millis(1)}, {3, Start + Millis(900)}});
    const auto allowed = selector.choose(query, Start);
    cr_assert(allowed->requiredWeights == 0);
    query.minWeights = 2;
    const auto refusedByEngine = selector.choose(query, Start);
    cr_assert(refusedByEngine->requiredWeights == 3);
    cr_assert(not(refusedByEngine->startLimit.has_value()));
}

// Each of 95 instances sees a hundredth of the requests and cannot know what the engines still
// hold. Without the store, an engine other than the home asked an engine that this instance had
// sent the prompt to, which had often evicted it.
Test(endpointselector, an_engine_near_a_store_fetches_from_it_and_sends_to_it)
{
    ThreeEngines engines;
    const Address near{"10.9.0.1", 8000};
    const Address far{"10.9.0.2", 8000};
    engines.selector.setCacheStores({{far, "c", 140'000}, {near, "a", 140'000}});
    int nearChoices = 0;
    for (int part = 0; part < 60; ++part) {
        const ChoiceQuery query = ThreeEngines::query("part-" + std::to_string(part));
        const Choice choice = engines.choose(query);
        if (choice.endpointId == "engine-b") {
            // A transfer between regions takes longer than reading the prompt.
            cr_assert(choice.source != near && choice.source != far);
            cr_assert(not(choice.target.has_value()));
            continue;
        }
        const Address &nearest = choice.endpointId == "engine-a" ? near : far;
        cr_assert(choice.source == nearest);
        cr_assert(choice.target == nearest);
        ++nearChoices;
    }
    cr_assert(nearChoices > 20);
}

Test(endpointselector, a_store_behind_a_slow_link_is_not_used)
{
    ThreeEngines engines;
    const Address slow{"10.9.0.1", 8000};
    engines.selector.setCacheStores({{slow, "a", 1000}, {slow, "b", 1000}, {slow, "c", 0}});
    for (int part = 0; part < 20; ++part) {
        const Choice choice = engines.choose(ThreeEngines::query("part-" + std::to_string(part)));
        cr_assert(choice.source != slow);
        cr_assert(not(choice.target.has_value()));
    }
}

// Guards against copies of a prompt on many engines: a fetch is fast, but each copy evicts others.
Test(endpointselector, a_prompt_stays_at_its_home_while_the_home_is_a_little_busier)
{
    ThreeEngines engines;
    const ChoiceQuery query = ThreeEngines::query("part");
    const std::string home = engines.choose(query).endpointId;
    for (const char *id : {"engine-a", "engine-b", "engine-c"})
        engines.selector.onLoadReport(id, {id == home ? 12 : 0, id == home ? 3 : 0}, Start);
    engines.selector.onSent(home, query.chain, 6000, Start);
    engines.selector.onPrefillDone(home, 6000);
    cr_assert(engines.choose(query).endpointId == home);
}
