#pragma once

#include <cstddef>
#include <cstdint>

/// How a process divides the descriptors that it may open, so that no use of them can take what
/// another one needs.
namespace lavenderhall {

/// The greatest number of connections for each use. What they need together with the process's own
/// descriptors and its files is at most the limit, from MinDescriptors on.
struct DescriptorPlan
{
    std::size_t limit = 0; ///< descriptors
    std::size_t callers = 0;
    std::size_t relays = 0; ///< from other instances, for requests that they relay
    std::size_t admin = 0; ///< at each of two admin servers
    std::size_t endpoints = 0; ///< to endpoints and to other instances, for requests
    std::size_t peers = 0; ///< other instances with which messages are exchanged

    bool operator==(const DescriptorPlan &) const = default;
};

/// Below it, each use gets a minimum, and the limit may be reached.
constexpr std::size_t MinDescriptors = 96;

DescriptorPlan planDescriptors(std::size_t limit);

/// Raises the process's soft limit of descriptors to its hard limit, where that is allowed. Returns
/// the plan for the soft limit or, if it is lower, for \a platformLimit; 0 stands for none. Logs
/// it.
DescriptorPlan prepareDescriptors(std::int64_t platformLimit);

} // namespace lavenderhall
