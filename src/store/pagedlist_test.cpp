#include "platform.h"
#include "store/objectwatcher.h"
#include "store/pagedstore.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr Millis WatchedTime{700}; ///< without a whole list
constexpr Millis WatchStart{20}; ///< from a whole list until its watch has begun
/// With retries after growing delays; a list that is read again at once makes hundreds.
constexpr int MaxListsWithRetries = 30;

std::vector<std::string> namesOf(const std::vector<StoredObject> &objects)
{
    std::vector<std::string> names;
    for (const StoredObject &object : objects)
        names.push_back(object.name);
    return names;
}

/// A watcher in front of a paged store, with what it reports.
struct Fixture
{
    http::Loop loop;
    PagedStore store;
    ObjectClient client{this->loop, this->store.address, platform::adapter().objects};
    std::vector<std::vector<std::string>> lists; ///< the names of each whole list
    std::vector<std::string> incomplete; ///< the names of the last list that was not whole
    ObjectWatcher watcher{this->loop, this->client, "servers", this->handlers(), 1};
    http::Timer stopTimer;

    explicit Fixture(std::size_t pageSize)
        : store(this->loop, pageSize)
    { }

    ObjectWatchHandlers handlers()
    {
        ObjectWatchHandlers made;
        made.onListed = [this](const std::vector<StoredObject> &objects, std::int64_t, bool) {
            this->lists.push_back(namesOf(objects));
            this->stopTimer = this->loop.after(WatchStart, [this] { this->loop.stop(); });
        };
        made.onIncompleteList = [this](const std::vector<StoredObject> &objects) {
            this->incomplete = namesOf(objects);
        };
        made.onEvents = [](const std::vector<ObjectEvent> &) {};
        return made;
    }

    void run()
    {
        this->watcher.start();
        this->loop.runFor(WatchedTime);
    }
};

/// Entries that have a name, and that cannot be read otherwise.
const std::vector<std::string> DamagedSpecs{
    "{\"address\":\"\xFF\xFE\"}", R"({"slots":1e999})", R"({"a":1,,"b":2})",
    R"({"a":"b","\u12":1})",      R"({"a":tru})",       "\x01",
};

} // namespace

// What callers saw: one entry under such a name, the last one of its page, hid all endpoints behind
// it from each instance that started, for as long as the entry was there.
Test(pagedlist, a_list_goes_on_behind_any_name)
{
    const std::vector<std::string> names{
        "b c",
        "b%",
        "b%zz",
        "b%7A",
        "b%41",
        "b&c",
        "b&after=zz",
        "b+c",
        "b#c",
        "b?c",
        "b/c",
        "b=c",
        "b\"c",
        "b\\c",
        "b;c",
        "b\xC3\xA4",
        "b\x01",
        "b\x7F",
        "b\r\nx: y",
        "b HTTP/1.1\r",
        "b\tc",
        " ",
        "&",
        "%",
        "#",
        "+",
        "?",
        std::string(3000, 'b'),
        std::string("b\0c", 3),
    };
    for (const std::string &name : names) {
        Fixture fixture(1);
        std::vector<std::string> expected{"a1", "a2", name, "bm", "c1", "c2"};
        std::sort(expected.begin(), expected.end());
        for (const std::string &entry : expected)
            fixture.store.put(entry);
        fixture.run();
        cr_expect(fixture.lists.size() == 1U, "%s: %zu whole lists", Json(name).dump().c_str(),
                  fixture.lists.size());
        cr_expect(fixture.lists.empty() || fixture.lists.front() == expected, "%s",
                  Json(name).dump().c_str());
        cr_expect(fixture.store.watches == 1);
    }
}

// A page may consist of entries of another writer alone. Guards against a list that ends there.
Test(pagedlist, a_list_goes_on_behind_a_page_without_readable_entries)
{
    for (const std::string &spec : DamagedSpecs) {
        Fixture fixture(2);
        for (const char *damaged : {"b1", "b2", "b3", "b4"})
            fixture.store.put(damaged, spec);
        fixture.store.put("c1");
        fixture.store.put("c2");
        fixture.run();
        cr_expect(fixture.lists.size() == 1U, "%s", spec.c_str());
        cr_expect(fixture.lists.empty()
                      || fixture.lists.front() == std::vector<std::string>({"c1", "c2"}),
                  "%s", spec.c_str());
    }
}

// The same for entries that lack the revision, or have a name and nothing else.
Test(pagedlist, a_list_goes_on_behind_a_page_without_revisions)
{
    Fixture fixture(2);
    fixture.store.putRaw("b1", R"({"metadata":{"name":"b1"}})");
    fixture.store.putRaw("b2", R"({"metadata":{"name":"b2","revision":"x"},"spec":7})");
    fixture.store.put("c1");
    fixture.run();
    cr_assert(fixture.lists.size() == 1U);
    cr_assert(fixture.lists.front() == std::vector<std::string>({"c1"}));
}

// Guards against endpoints that count as gone because they are behind a page without any name, and
// against a list that is read again without a pause.
Test(pagedlist, a_list_whose_next_page_has_no_beginning_is_not_whole)
{
    Fixture fixture(2);
    fixture.store.put("a1");
    fixture.store.put("a2");
    fixture.store.putRaw("b1", R"({"spec":{}})");
    fixture.store.putRaw("b2", R"({"metadata":{"name":7,"revision":5}})");
    fixture.store.put("c1");
    fixture.run();
    cr_assert(fixture.lists.empty());
    cr_assert(fixture.incomplete == std::vector<std::string>({"a1", "a2"}));
    cr_assert(fixture.store.lists > 2);
    cr_assert(fixture.store.lists <= MaxListsWithRetries);
}

// Guards against calls and memory without end.
Test(pagedlist, a_list_whose_pages_come_again_is_not_whole)
{
    Fixture fixture(2);
    fixture.store.ignoresAfter = true;
    for (const char *name : {"a1", "a2", "a3"})
        fixture.store.put(name);
    fixture.run();
    cr_assert(fixture.lists.empty());
    cr_assert(fixture.store.lists > 2);
    cr_assert(fixture.store.lists <= MaxListsWithRetries);
}

// What has been read must not be lost with the page that is refused.
Test(pagedlist, the_pages_before_a_refused_one_count)
{
    Fixture fixture(2);
    for (const char *name : {"a1", "a2", "a3"})
        fixture.store.put(name);
    fixture.store.answeredPages = 1;
    fixture.run();
    cr_assert(fixture.lists.empty());
    cr_assert(fixture.incomplete == std::vector<std::string>({"a1", "a2"}));
    fixture.store.answeredPages = 1000;
    fixture.loop.runFor(WatchedTime);
    cr_assert(fixture.lists.size() == 1U);
    cr_assert(fixture.lists.front() == std::vector<std::string>({"a1", "a2", "a3"}));
}

// Some of the entries of a page have no name. Guards against endpoints behind them that are never
// read.
Test(pagedlist, a_list_goes_on_behind_the_last_name_of_a_page)
{
    Fixture fixture(3);
    fixture.store.put("a1");
    fixture.store.putRaw("b1", R"({"metadata":{},"spec":{}})");
    fixture.store.putRaw("b2", "7");
    fixture.store.put("c1");
    fixture.store.put("c2");
    fixture.run();
    cr_assert(fixture.lists.size() == 1U);
    cr_assert(fixture.lists.front() == std::vector<std::string>({"a1", "c1", "c2"}));
}
