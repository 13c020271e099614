#include "http/memorybudget.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <optional>

using namespace lavenderhall::http;

Test(memorybudget, shares_never_exceed_the_budget_and_come_back)
{
    const auto budget = std::make_shared<MemoryBudget>(1600);
    std::optional<MemoryShare> shares[20];
    std::size_t granted = 0;
    for (auto &share : shares) {
        share.emplace(budget);
        granted += share->grow(100) ? 1U : 0U;
    }
    cr_assert(granted == 16U);
    cr_assert(budget->usedBytes() == 1600U);
    shares[0].reset();
    cr_assert(shares[19]->grow(100));
    MemoryShare moved = std::move(*shares[19]);
    shares[19].reset();
    cr_assert(budget->usedBytes() == 1600U);
    moved.release();
    cr_assert(budget->usedBytes() == 1500U);
}

// Guards against a few large bodies that keep out all small ones.
Test(memorybudget, large_shares_leave_half_of_the_budget_to_small_ones)
{
    const auto budget = std::make_shared<MemoryBudget>(1600);
    MemoryShare first(budget);
    MemoryShare second(budget);
    MemoryShare small(budget);
    cr_assert(first.grow(100));
    cr_assert(first.grow(500));
    cr_assert(not(second.grow(301)));
    cr_assert(second.grow(300));
    cr_assert(not(first.grow(501)));
    cr_assert(budget->usedBytes() == 800U);
    cr_assert(small.grow(100));
}

Test(memorybudget, a_share_without_a_budget_has_no_limit)
{
    MemoryShare share;
    cr_assert(share.grow(SIZE_MAX));
}
