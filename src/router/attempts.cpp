#include "router/attempts.h"

#include "base/log.h"

#include <utility>

namespace lavenderhall {

CallAttempts::CallAttempts(RouterContext &context, const CallerRequest &caller, int maxRuns)
    : context(context)
    , caller(caller)
    , run(caller.route.isRepeatable, maxRuns)
{ }

void CallAttempts::begin(const std::string &endpoint, std::int64_t uncachedTokens)
{
    if (this->attemptCount == 0)
        this->context.retryBudget.onRequest(this->caller.route.name, monoNow());
    else if (this->run.hasReachedEndpoint())
        this->context.retryBudget.onRetry(this->caller.route.name, monoNow());
    ++this->attemptCount;
    this->currentEndpoint = endpoint;
    this->triedEndpoints.insert(endpoint);
    this->pendingPrefillTokens = uncachedTokens;
    this->context.endpointTable.onStarted(endpoint, uncachedTokens);
}

void CallAttempts::onPromptRead()
{
    if (this->pendingPrefillTokens > 0)
        this->context.endpointTable.onPrefilled(this->currentEndpoint,
                                                std::exchange(this->pendingPrefillTokens, 0));
}

RetryDecision CallAttempts::onFailed(AttemptOutcome end, const std::string &reason,
                                     bool hasCandidate)
{
    this->reportFailure(reason);
    this->endAttempt(false);
    return this->run.onAttemptEnd(end, this->retryChance(hasCandidate));
}

bool CallAttempts::mayResume(const std::string &reason, bool hasCandidate)
{
    this->reportFailure(reason);
    this->endAttempt(false);
    return this->run.mayResume(this->retryChance(hasCandidate));
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
    const bool maybeSent = this->hasAbandonedAttempt || !this->currentEndpoint.empty();
    return this->run.onTimeUp(maybeSent) == RetryDecision::Refuse ? RunOutcome::NotRun
                                                                  : RunOutcome::Unknown;
}

// There is always time left, since the call's own timer ends it at its deadline.
RetryConditions CallAttempts::retryChance(bool hasCandidate)
{
    return {this->context.retryBudget.allowsRetry(this->caller.route.name, monoNow()), hasCandidate,
            true};
}

void CallAttempts::endAttempt(bool hasSucceeded)
{
    if (this->currentEndpoint.empty())
        return;
    this->onPromptRead();
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
    logEvent(LogLevel::Warning, "attempt_failed",
             {{"request", this->caller.id},
              {"route", this->caller.route.name},
              {"endpoint", this->currentEndpoint},
              {"attempt", this->attemptCount},
              {"reason", reason}});
    this->context.timeline.add(EventKind::AttemptFailed, this->caller.id, this->caller.organisation,
                               {{"endpoint", this->currentEndpoint}, {"reason", reason}});
}

} // namespace lavenderhall
