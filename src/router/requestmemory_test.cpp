#include "router/requestmemory.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

Test(requestmemory, the_lower_of_the_known_limits_decides)
{
    constexpr std::uint64_t Megabyte = 1U << 20U;
    cr_assert(requestMemoryLimit(100, 0) == 25 * Megabyte);
    cr_assert(requestMemoryLimit(0, 200 * Megabyte) == 50 * Megabyte);
    cr_assert(requestMemoryLimit(100, 200 * Megabyte) == 25 * Megabyte);
    cr_assert(requestMemoryLimit(300, 200 * Megabyte) == 50 * Megabyte);
    cr_assert(requestMemoryLimit(0, 0) > std::uint64_t(1) << 40U);
}
