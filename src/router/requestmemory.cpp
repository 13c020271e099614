#include "router/requestmemory.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The rest is for the program itself, answers, and what an allocator takes beyond what is asked
// for: up to twice the size of a body that arrives in parts.
constexpr std::uint64_t RequestDivisor = 4;
constexpr int MegabyteBits = 20;

} // namespace

std::uint64_t requestMemoryLimit(std::int64_t megabytes, std::uint64_t addressBytes)
{
    const std::uint64_t stated
        = megabytes > 0 ? static_cast<std::uint64_t>(megabytes) << MegabyteBits : UINT64_MAX;
    const std::uint64_t allowed = addressBytes > 0 ? addressBytes : UINT64_MAX;
    return std::min(stated, allowed) / RequestDivisor;
}

} // namespace lavenderhall
