#include "store/objectwatcher.h"
#include "store/mirror.h"
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

// A form of calls for a stand-in that answers from a script: the path says what is asked.
http::CallRequest call(std::string path)
{
    http::CallRequest made;
    made.path = std::move(path);
    return made;
}

const ObjectCodec ScriptForm{
    [](const std::string &, const std::string &) { return call("/list"); },
    [](const std::string &, std::int64_t revision, Millis) {
        return call("/watch/" + std::to_string(revision));
    },
    [](const std::string &, const std::string &) { return call("/read"); },
    [](const std::string &, const StoredObject &) { return call("/create"); },
    [](const std::string &, const StoredObject &) { return call("/replace"); },
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
        changes.events = {event("a", changes.revision)};
        return changes;
    },
    [](const http::Response &) { return ObjectReply{}; },
};

/// Answers list and watch calls in the order of a script; after its end, watches hang.
struct Scripted
{
    http::Loop loop;
    std::vector<http::Response> script;
    std::size_t next = 0;
    std::vector<std::string> asked;
    std::vector<http::ExchangePtr> hanging;
    http::Server server;
    ObjectClient client;
    std::vector<std::int64_t> listed;
    std::vector<bool> away;
    std::vector<std::int64_t> seen;
    ObjectWatcher feed;

    explicit Scripted(std::vector<http::Response> answers)
        : script(std::move(answers))
        , server(this->loop, {"127.0.0.1", StorePort}, http::limitsOf(1000),
                 [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
        , client(this->loop, {"127.0.0.1", StorePort}, ScriptForm)
        , feed(this->loop, this->client, "kind",
               {[this](const auto &, std::int64_t revision, bool wasAway) {
                    this->listed.push_back(revision);
                    this->away.push_back(wasAway);
                },
                [this](const std::vector<ObjectEvent> &events) {
                    this->seen.push_back(events.front().object.revision);
                }},
               1)
    {
        this->feed.start();
        this->loop.runFor(Millis(1500));
    }

    void serve(const http::ExchangePtr &exchange)
    {
        this->asked.push_back(exchange->request().path);
        if (this->next < this->script.size())
            return exchange->respond(this->script[this->next++]);
        this->hanging.push_back(exchange);
    }
};

} // namespace

Test(mirror, an_object_never_goes_back)
{
    ObjectMirror mirror;
    cr_assert(mirror.applyEvents({event("a", 5), event("b", 6)}).size() == 2U);
    cr_assert(mirror.applyEvents({event("a", 4), event("a", 5), event("b", 7, true)}).size() == 1U);
    cr_assert(mirror.applyEvents({event("b", 6)}).empty());
    cr_assert(mirror.revision() == 7);
}

Test(mirror, tells_what_another_instance_has_missed)
{
    ObjectMirror mirror;
    mirror.applyEvents({event("a", 5), event("b", 6), event("c", 7), event("b", 9, true)});
    const auto missed = mirror.eventsAfter(6);
    cr_assert(missed.size() == 2U);
    cr_assert(missed[0] == event("b", 9, true));
    cr_assert(missed[1] == event("c", 7));
}

Test(mirror, a_list_forgets_what_it_does_not_name)
{
    ObjectMirror mirror;
    mirror.applyEvents({event("a", 5), event("b", 6)});
    mirror.applyList({{"a", 5, Json(5)}, {"c", 8, Json(8)}});
    cr_assert(mirror.eventsAfter(0).size() == 2U);
    cr_assert(mirror.revision() == 8);
}

Test(kindfeed, lists_first_and_then_watches_from_the_lists_revision)
{
    const Scripted scripted({{200, {}, "10"}, {200, {}, "12"}});
    cr_assert(scripted.asked[0] == "/list");
    cr_assert(scripted.asked[1] == "/watch/10");
    cr_assert(scripted.asked[2] == "/watch/12");
    cr_assert(scripted.listed == Revisions({10}));
    cr_assert(scripted.seen == Revisions({12}));
}

Test(kindfeed, reads_all_again_when_the_history_is_gone)
{
    const Scripted scripted({{200, {}, "10"}, {410, {}, ""}, {200, {}, "20"}});
    cr_assert(scripted.listed == Revisions({10, 20}));
    cr_assert(scripted.away == Flags({false, false}));
}

Test(kindfeed, tells_a_list_after_an_outage_from_others_and_takes_no_older_one)
{
    const Scripted scripted({{200, {}, "10"},
                             {503, {}, ""},
                             {503, {}, ""},
                             {200, {}, "9"},
                             {503, {}, ""},
                             {200, {}, "15"}});
    cr_assert(scripted.listed == Revisions({10, 15}));
    cr_assert(scripted.away == Flags({false, true}));
}

// One that hears nothing follows the store itself; one that is told for a while that others do
// stops; one on duty always does.
Test(watchduty, follows_the_store_only_as_long_as_nobody_else_does)
{
    const MonoTime start{};
    const auto at = [&](int millis) { return start + Millis(millis); };
    WatchPolicy duty(start);
    cr_assert(duty.shouldWatch(false, at(0)));
    int switches = 0;
    bool wasWatching = true;
    for (int now = 0; now <= 60'000; now += 100) {
        // Beats come each half second, but for an outage, and one alone in its middle.
        const bool isOutage = now >= 20'000 && now < 30'000 && now != 25'000;
        if (now % 500 == 0 && !isOutage)
            duty.onBeat(at(now));
        const bool isWatching = duty.shouldWatch(false, at(now));
        cr_assert(duty.shouldWatch(true, at(now)));
        switches += isWatching != wasWatching ? 1 : 0;
        wasWatching = isWatching;
        if (now > 2500 && now < 20'000)
            cr_assert(not(isWatching));
        if (now > 22'000 && now < 30'000)
            cr_assert(isWatching);
    }
    cr_assert(switches == 3);
}

Test(kindfeed, one_that_is_stopped_says_nothing_more_and_starts_with_a_list)
{
    Scripted scripted({{200, {}, "10"}, {200, {}, "12"}});
    scripted.feed.stop();
    const std::size_t asked = scripted.asked.size();
    scripted.hanging.front()->respond({200, {}, "14"});
    scripted.loop.runFor(Millis(300));
    cr_assert(scripted.seen == Revisions({12}));
    cr_assert(scripted.asked.size() == asked);
    scripted.script.push_back({200, {}, "20"});
    scripted.feed.start(true);
    scripted.feed.start(true);
    scripted.loop.runFor(Millis(300));
    cr_assert(scripted.listed == Revisions({10, 20}));
    cr_assert(scripted.away == Flags({false, true}));
}

// A watch of a quiet kind waits for seconds: that is no doubt. One that is overdue is, and so is
// one whose list is not there yet.
Test(kindfeed, is_current_while_its_watch_waits_and_not_when_it_is_overdue)
{
    Scripted scripted({{200, {}, "10"}});
    cr_assert(scripted.feed.isCurrent());
    scripted.loop.runFor(Millis(1600));
    cr_assert(scripted.feed.isCurrent());
    scripted.loop.runFor(Millis(900));
    cr_assert(not(scripted.feed.isCurrent()));
    scripted.feed.stop();
    cr_assert(not(scripted.feed.isCurrent()));
    scripted.feed.start();
    cr_assert(not(scripted.feed.isCurrent()));
}

// The load pattern of a fleet that starts: dozens of endpoints register within a second or two.
Test(kindfeed, changes_in_quick_succession_cost_few_calls)
{
    std::vector<http::Response> answers;
    for (int revision = 10; revision < 110; ++revision)
        answers.push_back({200, {}, std::to_string(revision)});
    const Scripted scripted(std::move(answers));
    cr_assert(scripted.asked.size() >= 5U && scripted.asked.size() <= 8U);
}
