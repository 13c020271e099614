#include "membership/taskassignment.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

bool isAssigned(const std::string &self, const std::vector<std::string> &others,
                std::string_view task, std::size_t count)
{
    const std::uint64_t taskHash = hash64(task, 0);
    const std::uint64_t ownWeight = hash64(self, taskHash);
    const auto higherRanked
        = std::count_if(others.begin(), others.end(), [&](const std::string &other) {
              const std::uint64_t weight = hash64(other, taskHash);
              return weight > ownWeight || (weight == ownWeight && other < self);
          });
    return static_cast<std::size_t>(higherRanked) < count;
}

} // namespace lavenderhall
