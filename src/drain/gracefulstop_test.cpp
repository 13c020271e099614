#include "drain/gracefulstop.h"

#include "base/logcapture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

/// Returns the log of an instance that stops with \a openRequests in progress, whose time is over
/// after 100 ms.
std::string logOfStop(std::size_t openRequests)
{
    LogCapture log;
    http::Loop loop;
    Drain drain;
    StopHooks hooks;
    hooks.openRequests = [&] { return openRequests; };
    hooks.hasHandedOver = [] { return true; };
    hooks.loopLag = [] { return Millis(0); };
    hooks.endRequests = [&] { openRequests = 0; };
    GracefulStop stop(loop, drain, hooks);
    stop.begin({Millis(0), Millis(0), Millis(100), Millis(1000)}, "SIGTERM", monoNow());
    loop.runFor(Millis(2000));
    stop.logEnd();
    return log.text();
}

} // namespace

// Guards against a log that names "idle" as the cause of an end for which requests were broken off.
Test(gracefulstop, the_last_line_tells_that_requests_were_ended)
{
    const std::string log = logOfStop(2);
    const std::size_t ends = log.find("event=drain_ends_requests");
    const std::size_t stopped = log.find("event=stopped");
    cr_assert(ends != std::string::npos, "%s", log.c_str());
    cr_assert(stopped != std::string::npos && stopped > ends, "%s", log.c_str());
    cr_assert(log.find("cause=grace_over ended_requests=2", stopped) != std::string::npos, "%s",
              log.c_str());
}

Test(gracefulstop, an_end_without_requests_in_progress_is_idle)
{
    const std::string log = logOfStop(0);
    cr_assert(log.find("event=drain_ends_requests") == std::string::npos, "%s", log.c_str());
    cr_assert(log.find("cause=idle ended_requests=0") != std::string::npos, "%s", log.c_str());
}
