#include "routing/retrybudget.h"
#include "routing/retrystate.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <vector>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};
constexpr RetryConditions AllConditionsMet{true, true, true};
constexpr std::array AllOutcomes{AttemptOutcome::NeverSent,       AttemptOutcome::Refused,
                                 AttemptOutcome::Broken,          AttemptOutcome::Failed,
                                 AttemptOutcome::UnstatedRefusal, AttemptOutcome::Succeeded};

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::NeverSent && outcome != AttemptOutcome::Refused;
}

} // namespace

// Tries every sequence of up to four attempt outcomes on each kind of route. Guards against a
// second run of a request that must not be repeated, and against a refusal of one that may have
// run, be it the router's or an endpoint's.
Test(retrystate, never_repeats_or_denies_a_run_in_any_sequence_of_outcomes)
{
    constexpr int Outcomes = static_cast<int>(AllOutcomes.size());
    constexpr int Sequences = Outcomes * Outcomes * Outcomes * Outcomes; // of four outcomes
    for (const bool mayRepeat : {false, true}) {
        for (int maxAttempts = 1; maxAttempts <= 3; ++maxAttempts) {
            for (int sequence = 0; sequence < Sequences; ++sequence) {
                RetryState state(mayRepeat, maxAttempts);
                int runs = 0;
                RetryDecision decision = RetryDecision::Retry;
                AttemptOutcome outcome = AttemptOutcome::NeverSent;
                for (int remaining = sequence; decision == RetryDecision::Retry;
                     remaining /= Outcomes) {
                    outcome = AllOutcomes.at(static_cast<std::size_t>(remaining % Outcomes));
                    runs += mayHaveRun(outcome) ? 1 : 0;
                    decision = state.onAttemptEnd(outcome, AllConditionsMet);
                    cr_assert(state.attempts() <= 4);
                }
                cr_assert(runs <= (mayRepeat ? maxAttempts : 1), "sequence %d", sequence);
                if (decision == RetryDecision::Refuse)
                    cr_assert(runs == 0, "sequence %d", sequence);
                if (decision == RetryDecision::Fail)
                    cr_assert(runs > 0, "sequence %d", sequence);
                if (decision == RetryDecision::PassOn)
                    cr_assert(outcome != AttemptOutcome::UnstatedRefusal, "sequence %d", sequence);
            }
        }
    }
}

Test(retrystate, a_route_may_allow_more_attempts_than_the_usual_bound)
{
    RetryState state(true, 6);
    for (int attempt = 1; attempt < 6; ++attempt)
        cr_assert(state.onAttemptEnd(AttemptOutcome::Broken, AllConditionsMet)
                  == RetryDecision::Retry);
    cr_assert(state.onAttemptEnd(AttemptOutcome::Broken, AllConditionsMet) == RetryDecision::Fail);
}

Test(retrystate, a_timeout_is_a_refusal_only_if_no_attempt_was_sent)
{
    const RetryState unsent(false, 1);
    cr_assert(unsent.onTimeUp(false) == RetryDecision::Refuse);
    cr_assert(unsent.onTimeUp(true) == RetryDecision::Fail);
    RetryState broken(true, 2);
    broken.onAttemptEnd(AttemptOutcome::Broken, AllConditionsMet);
    cr_assert(broken.onTimeUp(false) == RetryDecision::Fail);
}

// The time of a request is up while an endpoint has it. Guards against a log line which says that
// no endpoint was reached, beside the name of the one that was.
Test(retrystate, an_attempt_in_progress_counts_when_the_time_is_up)
{
    RetryState state(true, 2);
    state.onAttemptAbandoned();
    cr_assert(state.attempts() == 1);
    cr_assert(state.reachedAttempts() == 1);
    cr_assert(state.possibleRuns() == 1);
    cr_assert(state.onTimeUp(true) == RetryDecision::Fail);
}

Test(retrystate, without_budget_candidate_or_time_there_is_no_retry)
{
    for (const RetryConditions conditions :
         {RetryConditions{false, true, true}, RetryConditions{true, false, true},
          RetryConditions{true, true, false}}) {
        RetryState state(true, 3);
        cr_assert(state.onAttemptEnd(AttemptOutcome::Refused, conditions) == RetryDecision::Refuse);
        cr_assert(state.hasReachedEndpoint());
        cr_assert(state.onAttemptEnd(AttemptOutcome::Broken, conditions) == RetryDecision::Fail);
    }
}

// A crashed endpoint refuses connections. An attempt at the next one is not a repeat and must not
// use up the retry budget.
Test(retrystate, an_attempt_that_never_arrived_costs_no_budget)
{
    RetryState state(false, 1);
    cr_assert(state.onAttemptEnd(AttemptOutcome::NeverSent, {false, true, true})
              == RetryDecision::Retry);
    cr_assert(not(state.hasReachedEndpoint()));
    cr_assert(state.onAttemptEnd(AttemptOutcome::Refused, {false, true, true})
              == RetryDecision::Refuse);
}

Test(retrystate, a_stream_resumes_only_within_its_maximum_of_attempts)
{
    RetryState resumableOnce(true, 2);
    cr_assert(resumableOnce.mayResume(AllConditionsMet));
    cr_assert(not(resumableOnce.mayResume(AllConditionsMet)));
    RetryState resumableTwice(true, 3);
    cr_assert(resumableTwice.mayResume(AllConditionsMet));
    cr_assert(resumableTwice.mayResume(AllConditionsMet));
    cr_assert(not(resumableTwice.mayResume(AllConditionsMet)));
    RetryState notRepeatable(false, 2);
    cr_assert(not(notRepeatable.mayResume(AllConditionsMet)));
}

// Eight instances with uneven shares of the traffic, all of whose requests fail. Guards against a
// retry storm: in every sliding window the retries of all instances must stay within the fleet's
// budget.
Test(retrybudget, the_sum_over_instances_stays_within_the_fleets_budget)
{
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.slack = 56;
    settings.instances = 8;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        pcg32 random(seed);
        std::vector<RetryBudget> instances(8, RetryBudget(settings));
        std::vector<MonoTime> requests;
        std::vector<MonoTime> retries;
        for (int step = 0; step < 4000; ++step) {
            const MonoTime now = Start + Millis(10) * step;
            // Phases with few and with many requests alternate.
            if (random(10) >= ((step / 700) % 2 == 0 ? 8U : 1U))
                continue;
            RetryBudget &instance = instances.at(random(random(8) + 1));
            instance.onRequest("desk", now);
            requests.push_back(now);
            while (instance.allowsRetry("desk", now)) {
                instance.onRetry("desk", now);
                retries.push_back(now);
            }
        }
        const auto countWithin
            = [](const std::vector<MonoTime> &times, MonoTime from, MonoTime to) {
                  return std::count_if(times.begin(), times.end(),
                                       [&](MonoTime at) { return at >= from && at < to; });
              };
        // The budget of a retry comes from the requests in the window that ends at the retry, so
        // earlier windows count too.
        for (MonoTime from = Start; from < Start + Millis(30'000); from += Millis(250)) {
            const MonoTime to = from + settings.window;
            const auto maxRequests = std::max(
                {countWithin(requests, from, to),
                 countWithin(requests, from - settings.window / 2, to - settings.window / 2),
                 countWithin(requests, from - settings.window, from)});
            const double allowed = 0.2 * static_cast<double>(maxRequests) + 56;
            cr_assert(static_cast<double>(countWithin(retries, from, to)) <= allowed, "seed %u",
                      seed);
        }
    }
}
