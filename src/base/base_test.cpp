#include "base/logbudget.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

} // namespace

Test(logbudget, lines_over_the_rate_are_counted_and_left_out)
{
    LogBudget budget(100, 50);
    int written = 0;
    for (int line = 0; line < 1000; ++line)
        written += budget.take(Start + Millis(line)) ? 1 : 0;
    cr_assert(written >= 145 && written <= 151, "%d lines", written);
    cr_assert(budget.takeLost() == static_cast<std::uint64_t>(1000 - written));
    cr_assert(budget.takeLost() == 0U);
    budget.countLost();
    cr_assert(budget.takeLost() == 1U);
}
