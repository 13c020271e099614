#include "router/attempts.h"

#include "base/log.h"

#include <utility>

namespace lavenderhall {

CallAttempts::CallAttempts(RouterContext &context, const CallerRequest &caller, int maxRuns)
    : context(context)
    , caller(caller)
    , retryState(caller.route.isRepeatable, maxRuns)
{ }

void CallAttempts::begin(const std::string &endpoint, std::int64_t uncachedTokens)
{
    if (this->attemptCount == 0)
        this->context.retryBudget.onRequest(this->caller.route.name, monoNow());
    else if (this->retryState.hasReachedEndpoint())
        this->context.retryBudget.onRetry(this->caller.route.name, monoNow());
    ++this->attemptCount;
    this->currentEndpoint = endpoint;
    this->triedEndpoints.insert(endpoint);
    this->pendingPrefillTokens = uncachedTokens;
    this->context.endpointTable.onStarted(endpoint, uncachedTokens);
}

void CallAttempts::onPrefilled()
{
    if (this->pendingPrefillTokens > 0)
        this->context.endpointTable.onPrefilled(this->currentEndpoint,
                                                std::exchange(this->pendingPrefillTokens, 0));
}

RetryDecision CallAttempts::onFailed(AttemptOutcome attemptOutcome, const std::string &reason,
                                     bool hasCandidate)
{
    this->reportFailure(reason);
    this->endAttempt(false);
    return this->retryState.onAttemptEnd(attemptOutcome, this->retryConditions(hasCandidate));
}

bool CallAttempts::onInterrupted(const std::string &reason, bool hasCandidate)
{
    this->reportFailure(reason);
    this->endAttempt(false);
    return this->retryState.mayResume(this->retryConditions(hasCandidate));
}

void CallAttempts::finish(bool hasAnswer)
{
    this->hasAnswered = this->hasAnswered || hasAnswer;
    this->hasAbandonedAttempt = this->hasAbandonedAttempt || !this->currentEndpoint.empty();
    this->endAttempt(true);
}

// Whether an attempt in progress has already sent bytes is not known here, so it counts as sent.
RunOutcome CallAttempts::outcome() const
{
    if (this->hasAnswered)
        return RunOutcome::Ran;
    const bool mayHaveBeenSent = this->hasAbandonedAttempt || !this->currentEndpoint.empty();
    return this->retryState.onTimeUp(mayHaveBeenSent) == RetryDecision::Refuse
        ? RunOutcome::NotRun
        : RunOutcome::Unknown;
}

// Time is always left, since the call's own timer ends the call at its deadline.
RetryConditions CallAttempts::retryConditions(bool hasCandidate)
{
    return {this->context.retryBudget.allowsRetry(this->caller.route.name, monoNow()), hasCandidate,
            true};
}

void CallAttempts::endAttempt(bool hasSucceeded)
{
    if (this->currentEndpoint.empty())
        return;
    this->onPrefilled();
    this->context.endpointTable.onFinished(this->currentEndpoint);
    if (hasSucceeded) {
        this->context.endpointTable.onSuccess(this->currentEndpoint);
    } else {
        this->context.endpointTable.onFailure(this->currentEndpoint, monoNow());
        this->context.metrics.countAttemptFailure(this->currentEndpoint);
    }
    this->currentEndpoint.clear();
}

void CallAttempts::reportFailure(const std::string &reason) const
{
    logEvent(LogLevel::Warning, LineClass::Failure, "attempt_failed",
             {{"request", this->caller.id},
              {"route", this->caller.route.name},
              {"endpoint", this->currentEndpoint},
              {"attempt", this->attemptCount},
              {"reason", reason}});
    this->context.timeline.add(EventKind::AttemptFailed, this->caller.id, this->caller.organisation,
                               {{"endpoint", this->currentEndpoint}, {"reason", reason}});
}

} // namespace lavenderhall
