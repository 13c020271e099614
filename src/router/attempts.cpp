#include "router/attempts.h"

#include "base/log.h"

#include <utility>

namespace lavenderhall {

CallAttempts::CallAttempts(RouterContext &context, const CallerRequest &caller, int maxRuns)
    : context(context)
    , caller(caller)
    , run(caller.route.isRepeatable, maxRuns)
{ }

void CallAttempts::begin(const std::string &endpoint, std::int64_t missingTokens)
{
    if (this->begun == 0)
        this->context.retryBudget.onRequest(this->caller.route.name, monoNow());
    else if (this->run.hasReachedEndpoint())
        this->context.retryBudget.onRetry(this->caller.route.name, monoNow());
    ++this->begun;
    this->current = endpoint;
    this->names.insert(endpoint);
    this->unreadTokens = missingTokens;
    this->context.endpointTable.onStarted(endpoint, missingTokens);
}

void CallAttempts::onPromptRead()
{
    if (this->unreadTokens > 0)
        this->context.endpointTable.onPrefilled(this->current,
                                                std::exchange(this->unreadTokens, 0));
}

RetryDecision CallAttempts::onFailed(AttemptOutcome end, const std::string &reason,
                                     bool hasCandidate)
{
    this->report(reason);
    this->release(false);
    return this->run.onAttemptEnd(end, this->chance(hasCandidate));
}

bool CallAttempts::mayResume(const std::string &reason, bool hasCandidate)
{
    this->report(reason);
    this->release(false);
    return this->run.mayResume(this->chance(hasCandidate));
}

void CallAttempts::finish(bool hasAnswer)
{
    this->hasRun = this->hasRun || hasAnswer;
    this->wasAbandoned = this->wasAbandoned || !this->current.empty();
    this->release(true);
}

// Whether an attempt in progress has sent anything is not known here, so it counts as sent.
RunOutcome CallAttempts::outcome() const
{
    if (this->hasRun)
        return RunOutcome::Ran;
    const bool isSent = this->wasAbandoned || !this->current.empty();
    return this->run.onTimeUp(isSent) == RetryDecision::Refuse ? RunOutcome::NotRun
                                                               : RunOutcome::Unknown;
}

// The call's own timer ends it when its time is over.
RetryConditions CallAttempts::chance(bool hasCandidate)
{
    return {this->context.retryBudget.allowsRetry(this->caller.route.name, monoNow()), hasCandidate,
            true};
}

void CallAttempts::release(bool succeeded)
{
    if (this->current.empty())
        return;
    this->onPromptRead();
    this->context.endpointTable.onFinished(this->current);
    if (succeeded) {
        this->context.endpointTable.onSuccess(this->current);
    } else {
        this->context.endpointTable.onFailure(this->current, monoNow());
        this->context.metrics.countAttemptFailure(this->current);
    }
    this->current.clear();
}

void CallAttempts::report(const std::string &reason) const
{
    logEvent(LogLevel::Warning, "attempt_failed",
             {{"request", this->caller.id},
              {"route", this->caller.route.name},
              {"endpoint", this->current},
              {"attempt", this->begun},
              {"reason", reason}});
    this->context.timeline.add(EventKind::AttemptFailed, this->caller.id, this->caller.organisation,
                               {{"endpoint", this->current}, {"reason", reason}});
}

} // namespace lavenderhall
