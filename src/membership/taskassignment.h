#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Assigns tasks that only a few instances are to do, without an election: each instance applies
/// rendezvous hashing to the members that it knows. While the instances know different members,
/// more or fewer of them than intended do a task.
namespace lavenderhall {

/// Whether \a self is one of the \a count instances that \a task is assigned to. \a others are the
/// names of all other instances.
bool isAssigned(const std::string &self, const std::vector<std::string> &others,
                std::string_view task, std::size_t count);

/// Returns the one of \a names that \a task is assigned to; \a names must not be empty.
const std::string &assignee(const std::vector<std::string> &names, std::string_view task);

} // namespace lavenderhall
