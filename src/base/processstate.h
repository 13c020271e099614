#pragma once

#include <cstdint>

/// What the process uses of the resources whose end would end it, and how much it may use.
namespace lavenderhall {

/// Resources of one process at one moment. A figure that the system does not tell is 0.
struct ProcessState
{
    std::uint64_t openDescriptors = 0;
    std::uint64_t maxDescriptors = 0; ///< soft limit
    std::uint64_t residentBytes = 0; ///< memory in use
    std::uint64_t maxAddressBytes = 0; ///< limit of the address space, 0 if there is none

    bool operator==(const ProcessState &) const = default;
};

/// Returns the state of this process. Lists /proc/self/fd, so call it every few seconds at most.
ProcessState readProcessState();

} // namespace lavenderhall
