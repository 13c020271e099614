#include "base/descriptorplan.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <sys/resource.h>

using namespace lavenderhall;

namespace {

std::size_t neededBy(const DescriptorPlan &plan)
{
    constexpr std::size_t Own = 40;
    constexpr std::size_t PerPeer = 3;
    return Own + plan.callers + plan.relays + 2 * plan.admin + plan.endpoints
        + PerPeer * plan.peers;
}

} // namespace

// Guards against a use of descriptors that takes what another one needs.
Test(descriptorplan, all_uses_together_stay_below_the_limit)
{
    for (std::size_t limit = MinDescriptors; limit <= 70'000; ++limit) {
        const DescriptorPlan plan = planDescriptors(limit);
        cr_assert(neededBy(plan) + limit / 40 <= limit, "%zu", limit);
        cr_assert(plan.endpoints + 1 >= plan.callers + plan.relays, "%zu", limit);
    }
}

Test(descriptorplan, each_use_has_room_under_any_limit)
{
    for (std::size_t limit = 0; limit <= MinDescriptors; ++limit) {
        const DescriptorPlan plan = planDescriptors(limit);
        cr_assert(plan.callers > 1 && plan.relays > 0 && plan.admin > 1 && plan.endpoints > 1
                      && plan.peers > 1,
                  "%zu", limit);
    }
}

Test(descriptorplan, files_keep_what_the_platform_reserves_for_them)
{
    cr_assert(neededBy(planDescriptors(4100)) <= 4100U - 200U);
}

Test(descriptorplan, the_soft_limit_is_raised_and_the_platform_may_allow_less)
{
    const rlimit low{300, 600};
    setrlimit(RLIMIT_NOFILE, &low);
    cr_assert(prepareDescriptors(0) == planDescriptors(600));
    rlimit now{};
    getrlimit(RLIMIT_NOFILE, &now);
    cr_assert(now.rlim_cur == 600U);
    cr_assert(prepareDescriptors(400) == planDescriptors(400));
    cr_assert(prepareDescriptors(4100) == planDescriptors(600));
}
