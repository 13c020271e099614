#include "store/mirror.h"
#include "store/objectwatcher.h"
#include "store/watchpolicy.h"

#include "http/server.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

ObjectEvent event(std::string name, std::int64_t revision, bool isDeleted = false)
{
    return {{std::move(name), revision, Json(revision)}, isDeleted};
}

using Revisions = std::vector<std::int64_t>;
using Flags = std::vector<bool>;

constexpr std::uint16_t StorePort = 18111;

// Codec of the scripted store: the path names the call, the body of an answer is a revision.
http::CallRequest requestFor(std::string path)
{
    http::CallRequest request;
    request.path = std::move(path);
    return request;
}

const ObjectCodec ScriptCodec{
    [](const std::string &, const std::string &) { return requestFor("/list"); },
    [](const std::string &, std::int64_t revision, Millis) {
        return requestFor("/watch/" + std::to_string(revision));
    },
    [](const std::string &, const std::string &) { return requestFor("/read"); },
    [](const std::string &, const StoredObject &) { return requestFor("/create"); },
    [](const std::string &, const StoredObject &) { return requestFor("/replace"); },
    [](const std::string &, const StoredObject &) { return requestFor("/replace-status"); },
    [](const http::Response &response) {
        ObjectPage page;
        page.status = response.status == 200 ? StoreStatus::Ok : StoreStatus::Down;
        page.revision = std::atoll(response.body.c_str());
        page.objects = {{"a", page.revision, Json(1)}};
        return page;
    },
    [](const http::Response &response) {
        ObjectChanges changes;
        changes.status = response.status == 200 ? StoreStatus::Ok
            : response.status == 410            ? StoreStatus::Compacted
                                                : StoreStatus::Down;
        changes.revision = std::atoll(response.body.c_str());
        changes.era = eraOf(changes.revision);
        changes.events = {event("a", changes.revision)};
        return changes;
    },
    [](const http::Response &) { return ObjectReply{}; },
};

/// Store that answers calls in the order of a script and leaves those after its end unanswered,
/// with an ObjectWatcher that records what it reports.
struct ScriptedStore
{
    http::Loop loop;
    std::vector<http::Response> script;
    std::size_t nextAnswer = 0;
    std::vector<std::string> requestedPaths;
    std::vector<http::ExchangePtr> pendingWatches;
    http::Server server;
    ObjectClient client;
    std::vector<std::int64_t> listedRevisions;
    std::vector<bool> unreachableFlags;
    std::vector<std::int64_t> eventRevisions;
    ObjectWatcher watcher;

    explicit ScriptedStore(std::vector<http::Response> answers)
        : script(std::move(answers))
        , server(this->loop, {"127.0.0.1", StorePort}, http::limitsWithMaxBody(1000),
                 [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
        , client(this->loop, {"127.0.0.1", StorePort}, ScriptCodec)
        , watcher(this->loop, this->client, "kind",
                  {[this](const auto &, std::int64_t revision, bool wasUnreachable) {
                       this->listedRevisions.push_back(revision);
                       this->unreachableFlags.push_back(wasUnreachable);
                   },
                   [this](const std::vector<ObjectEvent> &events) {
                       this->eventRevisions.push_back(events.front().object.revision);
                   }},
                  1)
    {
        this->watcher.start();
        this->loop.runFor(Millis(1500));
    }

    void serve(const http::ExchangePtr &exchange)
    {
        this->requestedPaths.push_back(exchange->request().path);
        if (this->nextAnswer < this->script.size())
            return exchange->respond(this->script[this->nextAnswer++]);
        this->pendingWatches.push_back(exchange);
    }
};

} // namespace

Test(mirror, an_object_never_returns_to_an_older_revision)
{
    ObjectMirror mirror;
    cr_assert(mirror.applyEvents({event("a", 5), event("b", 6)}).size() == 2U);
    cr_assert(mirror.applyEvents({event("a", 4), event("a", 5), event("b", 7, true)}).size() == 1U);
    cr_assert(mirror.applyEvents({event("b", 6)}).empty());
    cr_assert(mirror.revision() == 7);
}

Test(mirror, returns_the_changes_after_a_revision)
{
    ObjectMirror mirror;
    mirror.applyEvents({event("a", 5), event("b", 6), event("c", 7), event("b", 9, true)});
    const auto missed = mirror.eventsAfter(6);
    cr_assert(missed.size() == 2U);
    cr_assert(missed[0] == event("b", 9, true));
    cr_assert(missed[1] == event("c", 7));
}

Test(mirror, a_list_drops_the_objects_that_it_does_not_contain)
{
    ObjectMirror mirror;
    mirror.applyEvents({event("a", 5), event("b", 6)});
    mirror.applyList({{"a", 5, Json(5)}, {"c", 8, Json(8)}}, 9);
    cr_assert(mirror.eventsAfter(0).size() == 2U);
    cr_assert(mirror.revision() == 9);
}

// The list of an instance that has just started arrives after newer changes. Guards against a
// removal that only this list shows, and that is never noticed.
Test(mirror, a_list_removes_what_it_lacks_although_newer_changes_are_known)
{
    ObjectMirror mirror;
    mirror.applyEvents({event("removed", 5), event("stays", 6), event("newer", 12)});
    mirror.applyList({{"stays", 6, Json(6)}}, 10);
    cr_assert(mirror.eventsAfter(0).size() == 2U);
    cr_assert(mirror.eventsAfter(10) == std::vector<ObjectEvent>{event("newer", 12)});
    cr_assert(mirror.revision() == 12);
}

// Guards against an object that comes back from the copy of an instance that lags behind.
Test(mirror, an_object_that_a_list_lacked_comes_back_only_by_a_newer_change)
{
    ObjectMirror mirror;
    mirror.applyList({{"a", 3, Json(3)}}, 4);
    mirror.applyList({}, 10);
    cr_assert(mirror.applyEvents({event("a", 3), event("a", 7), event("b", 9)}).empty());
    cr_assert(mirror.applyList({{"a", 7, Json(7)}}, 8).empty());
    cr_assert(mirror.applyEvents({event("a", 11)}).size() == 1U);
}

// Guards against an offer of "all changes" by an instance that does not know of the removals before
// its list.
Test(mirror, changes_before_a_list_are_not_known_one_by_one)
{
    ObjectMirror mirror;
    mirror.applyEvents({event("a", 5)});
    cr_assert(mirror.hasAllEventsAfter(0));
    mirror.applyList({{"b", 7, Json(7)}}, 9);
    cr_assert(not(mirror.hasAllEventsAfter(8)));
    cr_assert(mirror.hasAllEventsAfter(9));
    cr_assert(mirror.revision() == 9);
    cr_assert(mirror.changeRevision() == 7);
    // The oldest removals are not kept for ever.
    for (int number = 0; number < 1001; ++number)
        mirror.applyEvents({event("gone-" + std::to_string(number), 10 + number, true)});
    cr_assert(not(mirror.hasAllEventsAfter(9)));
    cr_assert(mirror.hasAllEventsAfter(10));
    cr_assert(mirror.listRevision() == 9);
}

// The store has lost its last seconds and gives out the same counters again.
Test(mirror, objects_of_a_new_era_replace_those_with_higher_counters)
{
    ObjectMirror mirror;
    mirror.applyList({{"a", storeRevision(1, 90), Json(1)}, {"b", storeRevision(1, 95), Json(1)}},
                     storeRevision(1, 95));
    const std::int64_t newRevision = storeRevision(2, 40);
    mirror.applyList({{"a", newRevision, Json(2)}}, newRevision);
    cr_assert(mirror.revision() == newRevision);
    // A late event of the era before changes nothing.
    cr_assert(mirror.applyEvents({event("a", storeRevision(1, 99))}).empty());
    const auto known = mirror.eventsAfter(storeRevision(1, 95));
    cr_assert(known.size() == 1U);
    cr_assert(known.front().object.revision == newRevision);
}

Test(objectwatcher, lists_again_when_the_store_has_come_back_older)
{
    const std::string before = std::to_string(storeRevision(1, 100));
    const std::string after = std::to_string(storeRevision(2, 60));
    const ScriptedStore store({{200, {}, before}, {200, {}, after}, {200, {}, after}});
    cr_assert(store.requestedPaths[2] == "/list");
    cr_assert(store.listedRevisions == Revisions({storeRevision(1, 100), storeRevision(2, 60)}));
    // Endpoints may not have written their entries again.
    cr_assert(store.unreachableFlags == Flags({false, true}));
    cr_assert(store.eventRevisions.empty());
    cr_assert(store.requestedPaths[3] == "/watch/" + after);
}

Test(objectwatcher, lists_first_and_then_watches_from_the_lists_revision)
{
    const ScriptedStore store({{200, {}, "10"}, {200, {}, "12"}});
    cr_assert(store.requestedPaths[0] == "/list");
    cr_assert(store.requestedPaths[1] == "/watch/10");
    cr_assert(store.requestedPaths[2] == "/watch/12");
    cr_assert(store.listedRevisions == Revisions({10}));
    cr_assert(store.eventRevisions == Revisions({12}));
}

Test(objectwatcher, lists_again_when_the_history_is_compacted)
{
    const ScriptedStore store({{200, {}, "10"}, {410, {}, ""}, {200, {}, "20"}});
    cr_assert(store.listedRevisions == Revisions({10, 20}));
    cr_assert(store.unreachableFlags == Flags({false, false}));
}

Test(objectwatcher, marks_the_list_after_an_outage_and_ignores_an_older_one)
{
    const ScriptedStore store({{200, {}, "10"},
                               {503, {}, ""},
                               {503, {}, ""},
                               {200, {}, "9"},
                               {503, {}, ""},
                               {200, {}, "15"}});
    cr_assert(store.listedRevisions == Revisions({10, 15}));
    cr_assert(store.unreachableFlags == Flags({false, true}));
}

// An instance without heartbeats from others watches the store itself and stops once heartbeats
// have arrived regularly for a while. An instance that is assigned to watch always does.
Test(watchpolicy, watches_only_while_no_heartbeats_arrive_or_on_duty)
{
    const MonoTime start{};
    const auto at = [&](int millis) { return start + Millis(millis); };
    WatchPolicy policy(start);
    cr_assert(policy.shouldWatch(false, at(0)));
    int switches = 0;
    bool wasWatching = true;
    for (int now = 0; now <= 60'000; now += 100) {
        // Heartbeats arrive every 500 ms, except during an outage with a single one in its middle.
        const bool isOutage = now >= 20'000 && now < 30'000 && now != 25'000;
        if (now % 500 == 0 && !isOutage)
            policy.onHeartbeat({"watcher", false, true}, at(now));
        const bool isWatching = policy.shouldWatch(false, at(now));
        cr_assert(policy.shouldWatch(true, at(now)));
        switches += isWatching != wasWatching ? 1 : 0;
        wasWatching = isWatching;
        if (now > 2500 && now < 20'000)
            cr_assert(not(isWatching));
        if (now > 22'000 && now < 30'000)
            cr_assert(isWatching);
    }
    cr_assert(switches == 3);
}

// A watcher is killed again and again, and starts with a list that it never gets to send. Guards
// against an instance that relies on its heartbeats all the while.
Test(watchpolicy, heartbeats_of_more_than_is_known_here_do_not_count)
{
    const MonoTime start{};
    WatchPolicy policy(start);
    for (int now = 0; now <= 5000; now += 500)
        policy.onHeartbeat({"watcher", false, true}, start + Millis(now));
    cr_assert(not(policy.shouldWatch(false, start + Millis(5000))));
    for (int now = 5500; now <= 7000; now += 500)
        policy.onHeartbeat({"watcher", false, false}, start + Millis(now));
    cr_assert(policy.shouldWatch(false, start + Millis(7000)));
    cr_assert(not(policy.mayStoreHaveBeenLost(start + Millis(7000))));
}

// Guards against an endpoint that is kept for longer, as if the store had been away, because the
// instances that watch the store were killed.
Test(watchpolicy, only_watchers_without_contact_are_a_sign_of_an_outage)
{
    const MonoTime start{};
    const auto at = [&](int millis) { return start + Millis(millis); };
    WatchPolicy policy(start);
    cr_assert(not(policy.mayStoreHaveBeenLost(at(0))));
    policy.onHeartbeat({"first", false, true}, at(0));
    policy.onHeartbeat({"second", true, false}, at(0));
    cr_assert(not(policy.mayStoreHaveBeenLost(at(2000))));
    policy.onHeartbeat({"first", true, false}, at(2500));
    policy.onHeartbeat({"second", true, false}, at(2500));
    cr_assert(policy.mayStoreHaveBeenLost(at(4000)));
    // Neither has been heard of for long.
    cr_assert(not(policy.mayStoreHaveBeenLost(at(9000))));
}

Test(objectwatcher, ignores_answers_after_stop_and_lists_again_after_start)
{
    ScriptedStore store({{200, {}, "10"}, {200, {}, "12"}});
    store.watcher.stop();
    const std::size_t callsBefore = store.requestedPaths.size();
    store.pendingWatches.front()->respond({200, {}, "14"});
    store.loop.runFor(Millis(300));
    cr_assert(store.eventRevisions == Revisions({12}));
    cr_assert(store.requestedPaths.size() == callsBefore);
    store.script.push_back({200, {}, "20"});
    store.watcher.start(true);
    store.watcher.start(true);
    store.loop.runFor(Millis(300));
    cr_assert(store.listedRevisions == Revisions({10, 20}));
    cr_assert(store.unreachableFlags == Flags({false, true}));
}

// A watch may wait for seconds while nothing changes, which does not make the watcher outdated. An
// overdue watch does, and so does a list that has not arrived yet.
Test(objectwatcher, is_current_while_its_watch_waits_and_not_when_it_is_overdue)
{
    ScriptedStore store({{200, {}, "10"}});
    cr_assert(store.watcher.isCurrent());
    store.loop.runFor(Millis(1600));
    cr_assert(store.watcher.isCurrent());
    store.loop.runFor(Millis(900));
    cr_assert(not(store.watcher.isCurrent()));
    store.watcher.stop();
    cr_assert(not(store.watcher.isCurrent()));
    store.watcher.start();
    cr_assert(not(store.watcher.isCurrent()));
}

// When a fleet starts, dozens of endpoints register within a second or two. Each change must not
// cost a call to the store.
Test(objectwatcher, batches_changes_in_quick_succession)
{
    std::vector<http::Response> answers;
    for (int revision = 10; revision < 110; ++revision)
        answers.push_back({200, {}, std::to_string(revision)});
    const ScriptedStore store(std::move(answers));
    cr_assert(store.requestedPaths.size() >= 3U && store.requestedPaths.size() <= 5U);
}
