#include "admission/queue.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::hours(1)};

struct Fixture
{
    explicit Fixture(QueueBounds bounds = {})
        : queue(bounds)
    { }

    std::optional<std::uint64_t> add(const std::string &name, int rank, std::int64_t tokens = 100,
                                     Millis time = Millis(1000),
                                     const std::string &organisation = "weavers")
    {
        return this->queue.add(
            {organisation, rank, tokens, 10, Start + time}, [this, name](QueueExit exit) {
                (exit == QueueExit::Turn ? this->served : this->displaced).push_back(name);
            });
    }

    AdmissionQueue queue;
    std::vector<std::string> served;
    std::vector<std::string> displaced;
};

} // namespace

Test(queue, urgent_requests_come_first_and_then_those_with_the_least_time)
{
    Fixture fixture;
    fixture.add("late", 1, 100, Millis(900));
    fixture.add("soon", 1, 100, Millis(300));
    fixture.add("urgent", 0, 100, Millis(2000));
    for (int count = 0; count < 3; ++count)
        fixture.queue.releaseNext();
    cr_assert(fixture.served == (std::vector<std::string>{"urgent", "soon", "late"}));
    fixture.queue.releaseNext();
    cr_assert(fixture.served.size() == 3U);
    cr_assert(fixture.queue.bytes() == 0U);
}

// One organisation sends ten times as many requests as the other. Guards against the other waiting
// behind all of them.
Test(queue, a_flood_of_one_organisation_does_not_hold_up_another)
{
    Fixture fixture;
    for (int count = 0; count < 100; ++count)
        fixture.add("flood", 1, 100, Millis(500), "weavers");
    for (int count = 0; count < 10; ++count)
        fixture.add("other", 1, 100, Millis(2000), "dyers");
    for (int count = 0; count < 30; ++count)
        fixture.queue.releaseNext();
    cr_assert(std::count(fixture.served.begin(), fixture.served.end(), "other") == 10);
}

// Guards against large requests and less urgent ones that wait for ever behind new urgent ones.
Test(queue, some_turns_go_to_large_requests_and_to_long_waits)
{
    Fixture fixture;
    fixture.add("old", 3);
    fixture.add("large", 2, 50'000);
    for (int count = 0; count < 16; ++count) {
        fixture.add("urgent", 0);
        fixture.queue.releaseNext();
    }
    cr_assert(std::count(fixture.served.begin(), fixture.served.end(), "old") == 1);
    cr_assert(std::count(fixture.served.begin(), fixture.served.end(), "large") == 1);
}

Test(queue, it_is_bounded_and_the_least_urgent_leave_for_more_urgent_ones)
{
    Fixture fixture({3, 1000});
    fixture.add("first", 1);
    fixture.add("second", 2);
    fixture.add("third", 2);
    cr_assert(not(fixture.add("equal", 2).has_value()));
    cr_assert(fixture.add("urgent", 0).has_value());
    cr_assert(fixture.displaced == std::vector<std::string>{"third"});
    cr_assert(fixture.queue.size() == 3U);
    Fixture small({100, 25});
    small.add("first", 1);
    small.add("second", 1);
    cr_assert(not(small.add("third", 1).has_value()));
    cr_assert(small.queue.bytes() == 20U);
}

Test(queue, a_caller_that_leaves_also_leaves_the_queue)
{
    Fixture fixture;
    const auto number = fixture.add("gone", 0);
    fixture.add("next", 1);
    fixture.queue.remove(number.value());
    fixture.queue.remove(number.value());
    fixture.queue.releaseNext();
    cr_assert(fixture.served == std::vector<std::string>{"next"});
    cr_assert(fixture.queue.bytes() == 0U);
    cr_assert(fixture.queue.sizeByRank() == (std::map<int, std::size_t>{{0, 0}, {1, 0}}));
}
