#include "routing/retrystate.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Bounds all attempts of a request, also those that did not run it, unless its route allows more. A
// refusal costs an endpoint little, but a request that all endpoints refuse must end.
constexpr int MaxTotalAttempts = 4;

} // namespace

const char *toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NeverSent:
        return "never_sent";
    case AttemptOutcome::Refused:
        return "refused";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::UnstatedRefusal:
        return "unstated_refusal";
    case AttemptOutcome::Succeeded:
        return "succeeded";
    }
    return "unknown";
}

bool RetryState::mayRetry(RetryConditions conditions) const
{
    const bool isWithinBudget = conditions.hasBudget || !this->hasReachedEndpoint();
    return this->attemptCount < std::max(MaxTotalAttempts, this->maxAttempts)
        && this->runCount < this->maxAttempts && isWithinBudget && conditions.hasCandidate
        && conditions.hasTime;
}

RetryDecision RetryState::onAttemptEnd(AttemptOutcome outcome, RetryConditions conditions)
{
    ++this->attemptCount;
    if (outcome != AttemptOutcome::NeverSent)
        ++this->arrivals;
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        ++this->runCount;
        return RetryDecision::PassOn;
    case AttemptOutcome::Failed:
        ++this->runCount;
        return this->mayRepeat && this->mayRetry(conditions) ? RetryDecision::Retry
                                                             : RetryDecision::PassOn;
    case AttemptOutcome::UnstatedRefusal:
    case AttemptOutcome::Broken:
        ++this->runCount;
        return this->mayRepeat && this->mayRetry(conditions) ? RetryDecision::Retry
                                                             : RetryDecision::Fail;
    case AttemptOutcome::NeverSent:
    case AttemptOutcome::Refused:
        break;
    }
    if (this->mayRetry(conditions))
        return RetryDecision::Retry;
    return this->mayHaveRun() ? RetryDecision::Fail : RetryDecision::Refuse;
}

void RetryState::onAttemptAbandoned()
{
    ++this->attemptCount;
    ++this->arrivals;
    ++this->runCount;
}

RetryDecision RetryState::onTimeUp(bool isSent) const
{
    return isSent || this->mayHaveRun() ? RetryDecision::Fail : RetryDecision::Refuse;
}

bool RetryState::mayResume(RetryConditions conditions)
{
    this->onAttemptAbandoned();
    return this->mayRepeat && this->mayRetry(conditions);
}

} // namespace lavenderhall
