#include "membership/duty.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

bool isOnDuty(const std::string &self, const std::vector<std::string> &others,
              std::string_view task, std::size_t count)
{
    const std::uint64_t key = hash64(task, 0);
    const std::uint64_t own = hash64(self, key);
    const auto ahead = std::count_if(others.begin(), others.end(), [&](const std::string &other) {
        const std::uint64_t weight = hash64(other, key);
        return weight > own || (weight == own && other < self);
    });
    return static_cast<std::size_t>(ahead) < count;
}

} // namespace lavenderhall
