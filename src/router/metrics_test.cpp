#include "router/metrics.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

// Guards against a change of the phases' numbers, which alerts and docs/OPERATIONS.md rely on.
Test(metrics, the_phase_of_the_drain_is_a_number_from_serving_to_closing)
{
    Metrics metrics;
    const auto phaseLine = [&metrics](DrainPhase phase) {
        metrics.setDrainPhase(phase);
        const std::string text = metrics.toText();
        const std::size_t at = text.find("\nlavenderhall_drain_phase ") + 1;
        return text.substr(at, text.find('\n', at) - at);
    };
    cr_assert(phaseLine(DrainPhase::Serving) == "lavenderhall_drain_phase 0");
    cr_assert(phaseLine(DrainPhase::Accepting) == "lavenderhall_drain_phase 1");
    cr_assert(phaseLine(DrainPhase::Refusing) == "lavenderhall_drain_phase 2");
    cr_assert(phaseLine(DrainPhase::Closing) == "lavenderhall_drain_phase 3");
}

// Guards against a series that begins with the first request that a stop ends, which a rate over it
// does not show.
Test(metrics, requests_that_a_stop_ended_are_counted_from_zero)
{
    Metrics metrics;
    metrics.countStopped(StopOutcome::Cut);
    const std::string text = metrics.toText();
    const std::string name = "lavenderhall_drain_ended_requests_total{outcome=";
    for (const char *series :
         {"\"refused\"} 0", "\"not_begun\"} 0", "\"unknown\"} 0", "\"cut\"} 1"})
        cr_assert(text.find(name + series) != std::string::npos, "%s", series);
}

// Guards against an alert on the first answer of another request that never fires.
Test(metrics, answers_that_do_not_count_are_counted_from_zero)
{
    Metrics metrics;
    metrics.countDiscardedAnswer(DiscardReason::Foreign);
    const std::string text = metrics.toText();
    const std::string name = "lavenderhall_discarded_answers_total{reason=";
    for (const char *series : {"\"foreign\"} 1", "\"contradictory\"} 0"})
        cr_assert(text.find(name + series) != std::string::npos, "%s", series);
}

// Guards against a record with gaps that is taken for a whole one.
Test(metrics, lost_log_lines_are_told_by_class)
{
    Metrics metrics;
    for (const LineClass lineClass : LineClasses)
        metrics.setLostLogLines(lineClass, 3);
    const std::string text = metrics.toText();
    for (const LineClass lineClass : LineClasses) {
        const std::string series
            = std::string("lavenderhall_log_lines_lost{class=\"") + toString(lineClass) + "\"} 3";
        cr_assert(text.find(series) != std::string::npos, "%s", series.c_str());
    }
}
