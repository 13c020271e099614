#pragma once

#include <chrono>
#include <cstdint>

/// Clocks and units of time. Components that decide by time do not read a clock themselves: their
/// callers pass in the monotonic time, so tests can choose it.
namespace lavenderhall {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Monotonic time since boot, in microseconds. It advances while the machine is suspended, so a
/// process finds after a suspension that its leases have expired.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// Returns the current time of the boot clock.
MonoTime monoNow();

/// Returns the wall-clock time in milliseconds since 1970. Only for logs and the time line, as it
/// may be set back.
std::int64_t wallMillis();

} // namespace lavenderhall
