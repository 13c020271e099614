#include "routing/run.h"

namespace lavenderhall {

namespace {

// Refusals cost an endpoint little, but a request that all endpoints refuse must end.
constexpr int MaxTries = 4;

} // namespace

const char *toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NeverSent:
        return "never_sent";
    case AttemptEnd::Refused:
        return "refused";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Succeeded:
        return "succeeded";
    }
    return "unknown";
}

bool RunRecord::mayRetry(RetryChance chance) const
{
    const bool isPaid = chance.hasBudget || !this->hasArrived();
    return this->total < MaxTries && this->runs < this->maxAttempts && isPaid && chance.hasCandidate
        && chance.hasTime;
}

RunStep RunRecord::onAttemptEnd(AttemptEnd end, RetryChance chance)
{
    ++this->total;
    if (end != AttemptEnd::NeverSent)
        ++this->arrivals;
    switch (end) {
    case AttemptEnd::Succeeded:
        ++this->runs;
        return RunStep::PassOn;
    case AttemptEnd::Failed:
        ++this->runs;
        return this->mayRepeat && this->mayRetry(chance) ? RunStep::Retry : RunStep::PassOn;
    case AttemptEnd::Broken:
        ++this->runs;
        return this->mayRepeat && this->mayRetry(chance) ? RunStep::Retry : RunStep::Fail;
    case AttemptEnd::NeverSent:
    case AttemptEnd::Refused:
        break;
    }
    if (this->mayRetry(chance))
        return RunStep::Retry;
    return this->mayHaveRun() ? RunStep::Fail : RunStep::Refuse;
}

RunStep RunRecord::onTimeUp(bool isSent) const
{
    return isSent || this->mayHaveRun() ? RunStep::Fail : RunStep::Refuse;
}

bool RunRecord::mayResume(RetryChance chance)
{
    ++this->total;
    ++this->arrivals;
    ++this->runs;
    return this->mayRepeat && this->mayRetry(chance);
}

} // namespace lavenderhall
