#include "store/groupedreads.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>

using namespace lavenderhall;

namespace {

constexpr std::int64_t Era = 3;

/// A store that answers at once and counts the calls.
struct CountingClient
{
    std::vector<std::string> names; ///< of its objects, in order
    std::size_t pageSize = 100;
    StoreStatus status = StoreStatus::Ok;
    bool namesLastObject = true; ///< each page tells where the next one begins
    int reads = 0;
    int lists = 0;

    void read(const std::string &, const std::string &name,
              const ObjectClient::ReplyHandler &handler)
    {
        ++this->reads;
        handler({this->status, StoredObject{name, 1, {}}, Era});
    }

    void list(const std::string &, const std::string &after,
              const ObjectClient::PageHandler &handler)
    {
        ++this->lists;
        ObjectPage page;
        page.status = this->status;
        page.revision = storeRevision(Era, 9);
        for (const std::string &name : this->names) {
            if (name <= after)
                continue;
            if (page.objects.size() == this->pageSize) {
                page.hasMore = true;
                break;
            }
            page.objects.push_back({name, 1, {}});
            page.lastName = this->namesLastObject ? name : "";
        }
        handler(page);
    }
};

/// Grouped reads whose turns of the event loop the test ends by itself.
struct Fixture
{
    CountingClient client;
    std::vector<std::function<void()>> posted;
    GroupedReads<CountingClient> reads{client, "limits", [this](std::function<void()> task) {
                                           posted.push_back(std::move(task));
                                       }};
    std::map<std::string, ObjectReply> replies{};

    void read(const std::string &name)
    {
        this->reads.read(name, [this, name](const ObjectReply &reply) {
            cr_assert(not(this->replies.contains(name)), "%s is answered twice", name.c_str());
            this->replies[name] = reply;
        });
    }
    void endTurn()
    {
        for (const auto &task : std::exchange(this->posted, {}))
            task();
    }
};

} // namespace

// Guards against a call for each record where a process starts: a fleet of 90 instances made over a
// thousand calls within a second.
Test(groupedreads, reads_of_one_turn_take_one_list)
{
    Fixture fixture;
    fixture.client.names = {"a.1", "a.2", "a.3", "b.1"};
    fixture.client.pageSize = 2;
    for (const char *name : {"a.1", "a.2", "a.3", "a.4"})
        fixture.read(name);
    cr_assert(fixture.client.lists == 0);
    fixture.endTurn();
    cr_assert(fixture.client.lists == 2);
    cr_assert(fixture.client.reads == 0);
    cr_assert(fixture.replies.size() == 4);
    cr_assert(fixture.replies["a.3"].object->name == "a.3");
    cr_assert(fixture.replies["a.3"].era == Era);
    cr_assert(fixture.replies["a.4"].status == StoreStatus::NotFound);
}

// A single record is read by itself: a list would have the records of all regions.
Test(groupedreads, few_reads_are_made_one_by_one)
{
    Fixture fixture;
    fixture.read("a.1");
    fixture.read("a.2");
    fixture.endTurn();
    cr_assert(fixture.client.reads == 2);
    cr_assert(fixture.client.lists == 0);
    cr_assert(fixture.replies.size() == 2);
}

// A store that fails must not make a record count as missing: the seat would be taken anew.
Test(groupedreads, a_failed_list_is_no_missing_object)
{
    for (const StoreStatus status :
         {StoreStatus::Down, StoreStatus::Limited, StoreStatus::Unknown}) {
        Fixture fixture;
        fixture.client.status = status;
        for (const char *name : {"a.1", "a.2", "a.3"})
            fixture.read(name);
        fixture.endTurn();
        cr_assert(fixture.replies.size() == 3);
        cr_assert(fixture.replies["a.2"].status == status);
        cr_assert(not(fixture.replies["a.2"].object.has_value()));
    }
}

// Guards against a record that counts as missing because the list that lacks it is not whole.
Test(groupedreads, objects_of_an_incomplete_list_are_read_one_by_one)
{
    Fixture fixture;
    fixture.client.names = {"a.1", "a.2", "a.3"};
    fixture.client.pageSize = 2;
    fixture.client.namesLastObject = false;
    for (const char *name : {"a.1", "a.2", "a.3"})
        fixture.read(name);
    fixture.endTurn();
    cr_assert(fixture.client.lists == 1);
    cr_assert(fixture.client.reads == 3);
    cr_assert(fixture.replies["a.3"].object->name == "a.3");
}
