#include "routing/endpointdirectory.h"
#include "routing/table.h"
#include "routing/weightsversionhistory.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

ForwardRoute route(std::string name, std::string host, std::string prefix)
{
    ForwardRoute made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.shares = {{"one", 90}, {"two", 10}};
    return made;
}

RegisteredEndpoint entry(std::string id, std::int64_t born = 1)
{
    RegisteredEndpoint made;
    made.id = std::move(id);
    made.startMillis = born;
    made.service = "desk";
    made.address = {"10.0.0.1", 80};
    return made;
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

Test(table, keys_lead_to_their_organisation)
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

Test(table, a_split_follows_its_weights)
{
    const ForwardRoute split = route("r", "h", "/");
    int first = 0;
    for (std::uint64_t point = 0; point < 1000; ++point)
        first += chooseService(split, point) == "one" ? 1 : 0;
    cr_assert(first == 900);
    ForwardRoute nothing = split;
    nothing.shares = {{"one", 0}, {"two", 5}};
    for (std::uint64_t point = 0; point < 10; ++point)
        cr_assert(chooseService(nothing, point) == "two");
}

Test(directory, changes_are_told_and_old_news_is_left_out)
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

Test(directory, after_an_outage_a_missing_entry_has_time_to_come_back)
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

Test(directory, without_an_outage_a_missing_entry_is_gone)
{
    EndpointDirectory directory;
    directory.put(entry("a"), 1);
    directory.onListed({}, 5, false, Start);
    cr_assert(directory.find("a") == nullptr);
}

Test(directory, an_older_list_removes_nothing)
{
    EndpointDirectory directory;
    directory.put(entry("a"), 8);
    directory.onListed({}, 5, false, Start);
    cr_assert(directory.find("a") != nullptr);
}

// The load pattern of versions named in quick succession: the time of each old version runs from
// the first one after it, not from the newest.
Test(namings, a_version_is_too_old_from_the_first_newer_one_on)
{
    WeightsVersionHistory namings;
    const auto at = [](int seconds) { return Start + std::chrono::seconds(seconds); };
    constexpr Millis Time{10'000};
    cr_assert(namings.onNamed(1, at(0)));
    cr_assert(namings.onNamed(2, at(1)));
    cr_assert(namings.onNamed(3, at(5)));
    cr_assert(not(namings.onNamed(3, at(6))));
    cr_assert(not(namings.onNamed(2, at(6))));
    cr_assert(namings.onNamed(4, at(9)));
    cr_assert(namings.newest() == 4);
    cr_assert(namings.oldestAllowed(at(11), Time) == 1);
    cr_assert(namings.oldestAllowed(at(12), Time) == 2);
    cr_assert(namings.oldestAllowed(at(16), Time) == 3);
    cr_assert(namings.oldestAllowed(at(20), Time) == 4);
    cr_assert(WeightsVersionHistory().oldestAllowed(at(20), Time) == 0);
}

// Weights that were never named before, on a fleet that has run for a while: their time begins
// when they are named. What a restarted instance finds counts as older.
Test(namings, the_first_naming_has_its_whole_time_unless_it_was_found)
{
    constexpr Millis Time{10'000};
    WeightsVersionHistory seen;
    seen.onNamed(2, Start);
    cr_assert(seen.oldestAllowed(Start + Millis(9000), Time) == 0);
    WeightsVersionHistory found;
    found.onNamed(2, Start, Millis(5000));
    cr_assert(found.oldestAllowed(Start + Millis(4000), Time) == 0);
    cr_assert(found.oldestAllowed(Start + Millis(6000), Time) == 2);
}
