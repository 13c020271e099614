#include "platform.h"
#include "store/objectwatcher.h"
#include "store/pagedstore.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr Millis WatchedTime{700};

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
    ObjectWatcher watcher{this->loop, this->client, "servers", this->handlers(), 1};

    explicit Fixture(std::size_t pageSize)
        : store(this->loop, pageSize)
    { }

    ObjectWatchHandlers handlers()
    {
        ObjectWatchHandlers made;
        made.onListed = [this](const std::vector<StoredObject> &objects, std::int64_t, bool) {
            this->lists.push_back(namesOf(objects));
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
