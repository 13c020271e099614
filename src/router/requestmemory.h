#pragma once

#include <cstdint>

/// How much of a process's memory the bodies of open requests may take.
namespace lavenderhall {

/// Returns that limit in bytes, if the settings allow the process \a megabytes and the system an
/// address space of \a addressBytes; 0 means that a figure is not known.
std::uint64_t requestMemoryLimit(std::int64_t megabytes, std::uint64_t addressBytes);

} // namespace lavenderhall
