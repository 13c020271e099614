#pragma once

#include "base/log.h"

/// The part of the log that tells how a process stopped.
namespace lavenderhall {

/// Writes one line, as logEvent() does, on the stop of this process or on a request that the stop
/// ends. Such lines are few but come at once, and have a rate of their own, so that ordinary lines
/// do not displace them.
void logStopEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

} // namespace lavenderhall
