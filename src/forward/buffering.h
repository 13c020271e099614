#pragma once

#include <cstddef>

/// Bounds on what is held of an answer on its way to a caller.
namespace lavenderhall {

/// An answer that is passed on as a whole is given up if it is longer.
inline constexpr std::size_t MaxBufferedBytes = 8U << 20U;
/// With more bytes waiting for the caller, reading from the sender is paused.
inline constexpr std::size_t PauseBacklogBytes = 64U << 10U;

} // namespace lavenderhall
