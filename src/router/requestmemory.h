#pragma once

#include "http/memorybudget.h"

#include <cstdint>

/// How much of a process's memory open requests and their answers may take.
namespace lavenderhall {

/// Returns the limit of the bodies of requests in bytes, if the settings allow the process \a
/// megabytes and the system an address space of \a addressBytes; 0 means that a figure is not
/// known.
std::uint64_t requestMemoryLimit(std::int64_t megabytes, std::uint64_t addressBytes);

/// Returns an account for \a bodyBytes of bodies of requests, with limits of the other kinds that
/// follow from it.
http::MemoryBudgetPtr makeMemoryBudget(std::uint64_t bodyBytes);

/// Lets the allocator return each large block to the system as soon as it is freed. Call it before
/// requests are served.
void returnLargeBlocks();

} // namespace lavenderhall
