#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Which instances do a task that a few of them do for all, without any election: each works it
/// out from the members that it knows (rendezvous hashing). Where their views differ for a while,
/// more or fewer than wanted do the task.
namespace lavenderhall {

/// Whether \a self is among the \a count of all instances that \a task falls to.
bool isOnDuty(const std::string &self, const std::vector<std::string> &others,
              std::string_view task, std::size_t count);

} // namespace lavenderhall
