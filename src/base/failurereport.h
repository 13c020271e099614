#pragma once

#include <string_view>

/// Last log line of a process that ends by a fault of its own.
namespace lavenderhall {

/// From now on, an exception that nothing catches and a signal of a fault (SIGABRT, SIGSEGV,
/// SIGBUS, SIGFPE, SIGILL) write one line "event=process_failed" to standard output before the
/// process ends as it would have without it. \a instance names the process in the line. Call it
/// once, on the main thread.
void reportFailures(std::string_view instance);

} // namespace lavenderhall
