#include "routing/retrystate.h"

namespace lavenderhall {

namespace {

// Refusals cost an endpoint little, but a request that all endpoints refuse must end.
constexpr int MaxTries = 4;

} // namespace

const char *toString(AttemptOutcome end)
{
    switch (end) {
    case AttemptOutcome::NeverSent:
        return "never_sent";
    case AttemptOutcome::Refused:
        return "refused";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Succeeded:
        return "succeeded";
    }
    return "unknown";
}

bool RetryState::mayRetry(RetryConditions chance) const
{
    const bool isPaid = chance.hasBudget || !this->hasReachedEndpoint();
    return this->total < MaxTries && this->runs < this->maxAttempts && isPaid && chance.hasCandidate
        && chance.hasTime;
}

RetryDecision RetryState::onAttemptEnd(AttemptOutcome end, RetryConditions chance)
{
    ++this->total;
    if (end != AttemptOutcome::NeverSent)
        ++this->arrivals;
    switch (end) {
    case AttemptOutcome::Succeeded:
        ++this->runs;
        return RetryDecision::PassOn;
    case AttemptOutcome::Failed:
        ++this->runs;
        return this->mayRepeat && this->mayRetry(chance) ? RetryDecision::Retry
                                                         : RetryDecision::PassOn;
    case AttemptOutcome::Broken:
        ++this->runs;
        return this->mayRepeat && this->mayRetry(chance) ? RetryDecision::Retry
                                                         : RetryDecision::Fail;
    case AttemptOutcome::NeverSent:
    case AttemptOutcome::Refused:
        break;
    }
    if (this->mayRetry(chance))
        return RetryDecision::Retry;
    return this->mayHaveRun() ? RetryDecision::Fail : RetryDecision::Refuse;
}

RetryDecision RetryState::onTimeUp(bool isSent) const
{
    return isSent || this->mayHaveRun() ? RetryDecision::Fail : RetryDecision::Refuse;
}

bool RetryState::mayResume(RetryConditions chance)
{
    ++this->total;
    ++this->arrivals;
    ++this->runs;
    return this->mayRepeat && this->mayRetry(chance);
}

} // namespace lavenderhall
