#include "router/requestmemory.h"

#include <algorithm>
#include <malloc.h>

namespace lavenderhall {

namespace {

// The rest is for other kinds, the program itself, and what an allocator takes beyond what is asked
// for: up to twice the size of a body that arrives in parts.
constexpr std::uint64_t RequestDivisor = 4;
constexpr int MegabyteBits = 20;
constexpr int LargeBlockBytes = 128 << 10; ///< glibc's initial threshold

} // namespace

std::uint64_t requestMemoryLimit(std::int64_t megabytes, std::uint64_t addressBytes)
{
    const std::uint64_t stated
        = megabytes > 0 ? static_cast<std::uint64_t>(megabytes) << MegabyteBits : UINT64_MAX;
    const std::uint64_t allowed = addressBytes > 0 ? addressBytes : UINT64_MAX;
    return std::min(stated, allowed) / RequestDivisor;
}

// All kinds together take at most half of the process's memory, heads an eighth of it, and answers
// and backlogs three eighths each.
http::MemoryBudgetPtr makeMemoryBudget(std::uint64_t bodyBytes)
{
    using http::MemoryKind;
    auto budget = std::make_shared<http::MemoryBudget>(bodyBytes);
    budget->setTotalLimit(bodyBytes * 2);
    budget->setLimit(MemoryKind::Heads, bodyBytes / 2);
    budget->setLimit(MemoryKind::Answers, bodyBytes + bodyBytes / 2);
    budget->setLimit(MemoryKind::Backlogs, bodyBytes + bodyBytes / 2);
    return budget;
}

// By default, glibc raises this threshold to the largest block that was freed, and then keeps
// blocks of several megabytes in its heap, with gaps between them.
void returnLargeBlocks()
{
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
}

} // namespace lavenderhall
