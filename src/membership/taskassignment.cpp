#include "membership/taskassignment.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

namespace {

/// Whether \a first ranks above \a second for the task with \a taskHash.
bool isRankedAbove(const std::string &first, const std::string &second, std::uint64_t taskHash)
{
    const std::uint64_t firstWeight = hash64(first, taskHash);
    const std::uint64_t secondWeight = hash64(second, taskHash);
    return firstWeight > secondWeight || (firstWeight == secondWeight && first < second);
}

} // namespace

bool isAssigned(const std::string &self, const std::vector<std::string> &others,
                std::string_view task, std::size_t count)
{
    const std::uint64_t taskHash = hash64(task, 0);
    const auto higherRanked
        = std::count_if(others.begin(), others.end(), [&](const std::string &other) {
              return isRankedAbove(other, self, taskHash);
          });
    return static_cast<std::size_t>(higherRanked) < count;
}

const std::string &assignee(const std::vector<std::string> &names, std::string_view task)
{
    const std::uint64_t taskHash = hash64(task, 0);
    return *std::min_element(names.begin(), names.end(),
                             [taskHash](const std::string &left, const std::string &right) {
                                 return isRankedAbove(left, right, taskHash);
                             });
}

} // namespace lavenderhall
