#include "drain/drain.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr Millis Grace{8000};
const MonoTime Start{Micros(1'000'000)};
const OpenWork Idle{true, 0};
const OpenWork Busy{false, 3};

Drain drainSince(MonoTime start)
{
    Drain drain;
    drain.begin(drainTimingsOf(Grace), start);
    return drain;
}

} // namespace

// Guards against a request that is taken long after SIGTERM and given up: the balancer's checks
// take up to 2 s, and what is sent later than 3 s after the signal must be refused, also if the
// event loop has handled the signal late.
Test(drain, a_request_taken_long_after_the_signal_is_refused_whatever_the_timers_do)
{
    const Drain drain = drainSince(Start);
    cr_assert(not(drain.refusesNew(Start)));
    cr_assert(not(drain.refusesNew(Start + Millis(2100))));
    cr_assert(drain.refusesNew(Start + Millis(2500)));
    cr_assert(drain.refusesNew(Start + Millis(60'000)));
}

Test(drain, nothing_is_refused_without_a_drain)
{
    Drain drain;
    cr_assert(not(drain.refusesNew(Start + Millis(60'000))));
    cr_assert(drain.advance(Idle, Start) == DrainPhase::Serving);
}

// Guards against a grace time that is too short for the balancer, within which no request would be
// refused.
Test(drain, a_short_grace_time_leaves_half_of_it_for_requests_in_progress)
{
    for (const int seconds : {1, 2, 4}) {
        const Millis grace = std::chrono::seconds(seconds);
        Drain drain;
        drain.begin(drainTimingsOf(grace), Start);
        cr_assert(drain.refusesNew(Start + grace / 2), "%d s", seconds);
        cr_assert(drain.endsRequests(Start + grace - Millis(500)), "%d s", seconds);
    }
}

Test(drain, a_second_begin_does_not_prolong_the_drain)
{
    Drain drain = drainSince(Start);
    drain.begin(drainTimingsOf(Grace), Start + Millis(2000));
    cr_assert(drain.refusesNew(Start + Millis(2500)));
    cr_assert(drain.beganAt().value() == Start);
}

// Guards against an end before the balancer has noticed, when new connections would meet a closed
// port.
Test(drain, an_idle_instance_accepts_until_the_balancer_has_noticed)
{
    Drain drain = drainSince(Start);
    cr_assert(drain.advance(Idle, Start + Millis(2400)) == DrainPhase::Accepting);
    cr_assert(drain.advance(Idle, Start + Millis(2500)) == DrainPhase::Refusing);
}

// Guards against an end, once an operator has pressed Ctrl-C again, before callers have their
// answers.
Test(drain, a_hurried_drain_ends_requests_at_once_and_the_process_soon_after)
{
    Drain drain = drainSince(Start);
    const MonoTime hurried = Start + Millis(1000);
    drain.hurry(hurried);
    cr_assert(drain.refusesNew(hurried));
    cr_assert(drain.endsRequests(hurried));
    cr_assert(drain.advance(Busy, hurried) == DrainPhase::Refusing);
    cr_assert(drain.advance(Busy, hurried + Millis(250)) == DrainPhase::Ended);
}

// Guards against connections that wait at an open listener while the process ends, and are reset
// without having been read.
Test(drain, the_process_ends_when_its_connections_are_closed)
{
    Drain drain = drainSince(Start);
    drain.advance(Busy, Start + Millis(2500));
    const MonoTime idleAt = Start + Millis(3000);
    cr_assert(drain.advance({true, 2}, idleAt) == DrainPhase::Closing);
    cr_assert(drain.advance({true, 2}, idleAt + Millis(50)) == DrainPhase::Closing);
    cr_assert(drain.advance({true, 0}, idleAt + Millis(100)) == DrainPhase::Ended);
}

// Guards against a caller that keeps its connection open and the process with it.
Test(drain, a_connection_that_its_caller_does_not_close_does_not_keep_the_process)
{
    Drain drain = drainSince(Start);
    drain.advance(Idle, Start + Millis(2500));
    const MonoTime closingAt = Start + Millis(2550);
    cr_assert(drain.advance({true, 1}, closingAt) == DrainPhase::Closing);
    cr_assert(drain.advance({true, 1}, closingAt + Millis(1000)) == DrainPhase::Ended);
}

// Guards against work that begins long after SIGTERM for a request that came in time and had to
// wait.
Test(drain, an_accepted_request_that_could_not_finish_does_not_begin)
{
    const Drain drain = drainSince(Start);
    const MonoTime longAfter = Start + Millis(15'000);
    cr_assert(not(drain.refusesToBegin(longAfter, Start + Millis(3900))));
    cr_assert(drain.refusesToBegin(longAfter, Start + Millis(4000)));
    cr_assert(not(drain.refusesToBegin(Start + Millis(7000), Start + Millis(6000))));
    cr_assert(drain.answerLimit(longAfter) == Start + Millis(7500));
}

Test(drain, a_request_in_progress_keeps_the_process_until_the_grace_time_is_nearly_over)
{
    Drain drain = drainSince(Start);
    drain.advance(Busy, Start + Millis(2500));
    cr_assert(drain.advance(Busy, Start + Millis(7700)) == DrainPhase::Refusing);
    cr_assert(not(drain.endsRequests(Start + Millis(7400))));
    cr_assert(drain.endsRequests(Start + Millis(7500)));
    cr_assert(drain.advance(Busy, Start + Millis(7750)) == DrainPhase::Ended);
}
