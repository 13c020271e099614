#include "routing/endpointdirectory.h"
#include "routing/table.h"
#include "weights/versionhistory.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

ForwardRoute route(std::string name, std::string host, std::string prefix)
{
    ForwardRoute result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    result.shares = {{"one", 90}, {"two", 10}};
    return result;
}

RegisteredEndpoint entry(std::string id, std::int64_t startMillis = 1)
{
    RegisteredEndpoint result;
    result.id = std::move(id);
    result.startMillis = startMillis;
    result.service = "desk";
    result.address = {"10.0.0.1", 80};
    return result;
}

std::vector<EndpointChange::Kind> kindsOf(EndpointDirectory &directory)
{
    std::vector<EndpointChange::Kind> kinds;
    for (const EndpointChange &change : directory.takeChanges())
        kinds.push_back(change.kind);
    return kinds;
}

using Kinds = std::vector<EndpointChange::Kind>;

} // namespace

Test(table, the_longest_prefix_of_the_host_wins)
{
    TableContent content;
    content.routes
        = {route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/")};
    const RoutingTable table(content);
    cr_assert(table.findRoute("h", "/a/x")->name == "short");
    cr_assert(table.findRoute("h", "/a/b/c/d")->name == "long");
    cr_assert(table.findRoute("h:8080", "/a/b/")->name == "long");
    cr_assert(table.findRoute("h", "/a/bc")->name == "short");
    cr_assert(table.findRoute("h", "/b/") == nullptr);
    cr_assert(table.findRoute("unknown", "/a/") == nullptr);
}

Test(table, a_key_is_found_with_its_organisation)
{
    TableContent content;
    OrganisationSpec mill;
    mill.name = "mill";
    mill.keys = {"k1", "k2"};
    content.organisations = {mill};
    const RoutingTable table(content);
    cr_assert(table.findByKey("k2")->name == "mill");
    cr_assert(table.findByKey("k3") == nullptr);
    cr_assert(table.findByKey("") == nullptr);
}

Test(table, services_are_chosen_in_proportion_to_their_weights)
{
    const ForwardRoute weightedRoute = route("r", "h", "/");
    int firstCount = 0;
    for (std::uint64_t point = 0; point < 1000; ++point)
        firstCount += chooseService(weightedRoute, point) == "one" ? 1 : 0;
    cr_assert(firstCount == 900);
    ForwardRoute zeroWeightRoute = weightedRoute;
    zeroWeightRoute.shares = {{"one", 0}, {"two", 5}};
    for (std::uint64_t point = 0; point < 10; ++point)
        cr_assert(chooseService(zeroWeightRoute, point) == "two");
}

Test(directory, changes_are_reported_and_older_revisions_are_ignored)
{
    EndpointDirectory directory;
    directory.put(entry("a"), 5);
    cr_assert(kindsOf(directory) == Kinds{EndpointChange::Kind::Joined});
    RegisteredEndpoint leaving = entry("a");
    leaving.isLeaving = true;
    directory.put(leaving, 7);
    cr_assert(kindsOf(directory) == Kinds{EndpointChange::Kind::Leaving});
    directory.put(entry("a"), 6);
    cr_assert(kindsOf(directory).empty());
    cr_assert(directory.find("a")->isLeaving);
    directory.put(entry("a", 2), 8);
    cr_assert(kindsOf(directory) == Kinds{EndpointChange::Kind::Restarted});
    directory.remove("a", 9);
    cr_assert(kindsOf(directory) == Kinds{EndpointChange::Kind::Gone});
    directory.put(entry("a"), 8);
    cr_assert(directory.find("a") == nullptr);
}

Test(directory, after_an_outage_a_missing_entry_is_kept_for_the_grace_period)
{
    EndpointDirectory directory;
    directory.put(entry("stays"), 1);
    directory.put(entry("lapsed"), 2);
    directory.put(entry("gone"), 3);
    directory.takeChanges();
    directory.onListed({"stays"}, 10, true, Start);
    cr_assert(kindsOf(directory).empty());
    directory.put(entry("lapsed"), 11);
    directory.onTick(Start + Millis(1900));
    cr_assert(directory.find("gone") != nullptr);
    directory.onTick(Start + Millis(2100));
    cr_assert(directory.find("gone") == nullptr);
    cr_assert(directory.find("lapsed") != nullptr);
}

Test(directory, without_an_outage_a_missing_entry_is_removed_at_once)
{
    EndpointDirectory directory;
    directory.put(entry("a"), 1);
    directory.onListed({}, 5, false, Start);
    cr_assert(directory.find("a") == nullptr);
}

// The list of another instance, which has just started, arrives after newer changes. Guards against
// an endpoint that gets requests until it ends, although it has left.
Test(directory, a_list_removes_older_entries_although_newer_ones_are_known)
{
    EndpointDirectory directory;
    directory.put(entry("left"), 3);
    directory.put(entry("stays"), 4);
    directory.put(entry("joined"), 9);
    directory.onListed({"stays"}, 5, false, Start);
    cr_assert(directory.find("left") == nullptr);
    cr_assert(directory.find("stays") != nullptr);
    cr_assert(directory.find("joined") != nullptr);
}

Test(directory, a_list_removes_no_entry_that_is_newer)
{
    EndpointDirectory directory;
    directory.put(entry("a"), 8);
    directory.onListed({}, 5, false, Start);
    cr_assert(directory.find("a") != nullptr);
}

// Versions may be named in quick succession. If the time limit of an old version started anew with
// each newer version, requests could start on it for ever.
Test(versions, the_time_limit_of_a_version_starts_with_the_first_newer_one)
{
    WeightsVersionHistory versions;
    const auto at = [](int seconds) { return Start + std::chrono::seconds(seconds); };
    constexpr Millis AllowedTime{10'000};
    cr_assert(versions.onNamed(1, at(0)));
    cr_assert(versions.onNamed(2, at(1)));
    cr_assert(versions.onNamed(3, at(5)));
    cr_assert(not(versions.onNamed(3, at(6))));
    cr_assert(not(versions.onNamed(2, at(6))));
    cr_assert(versions.onNamed(4, at(9)));
    cr_assert(versions.newest() == 4);
    cr_assert(versions.oldestAllowed(at(11), AllowedTime) == 1);
    cr_assert(versions.oldestAllowed(at(12), AllowedTime) == 2);
    cr_assert(versions.oldestAllowed(at(16), AllowedTime) == 3);
    cr_assert(versions.oldestAllowed(at(20), AllowedTime) == 4);
    cr_assert(WeightsVersionHistory().oldestAllowed(at(20), AllowedTime) == 0);
}

// The first version of a model that is named while the fleet runs gets the full time until requests
// must use it. A version that a restarted instance finds in the store was named before, so its time
// is shorter.
Test(versions, the_first_version_gets_the_full_time_unless_it_was_named_before_the_start)
{
    constexpr Millis AllowedTime{10'000};
    WeightsVersionHistory namedNow;
    namedNow.onNamed(2, Start);
    cr_assert(namedNow.oldestAllowed(Start + Millis(9000), AllowedTime) == 0);
    WeightsVersionHistory namedBefore;
    namedBefore.onNamed(2, Start, Millis(5000));
    cr_assert(namedBefore.oldestAllowed(Start + Millis(4000), AllowedTime) == 0);
    cr_assert(namedBefore.oldestAllowed(Start + Millis(6000), AllowedTime) == 2);
}
