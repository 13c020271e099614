#pragma once

#include "router/context.h"
#include "routing/retrystate.h"

#include <set>
#include <string>

/// The attempts of one call at different endpoints.
namespace lavenderhall {

/// Records the attempts of one call, decides whether another one may follow, and reports their
/// results to the endpoint endpointTable, the retry budget, the log and the time line.
class CallAttempts
{
public:
    /// \a maxRuns bounds the number of attempts that may have been executed. \a caller must outlive
    /// this object.
    CallAttempts(RouterContext &context, const CallerRequest &caller, int maxRuns);

    /// An attempt at \a endpoint starts, which has to prefill \a uncachedTokens of the prompt.
    void begin(const std::string &endpoint, std::int64_t uncachedTokens);
    /// The endpoint has finished the prefill of the prompt.
    void onPromptRead();
    /// The current attempt failed before any part of its answer was forwarded. Returns what to do
    /// next; \a hasCandidate tells whether another endpoint takes work.
    RetryDecision onFailed(AttemptOutcome end, const std::string &reason, bool hasCandidate);
    /// The current stream was interrupted after part of it was forwarded. Returns whether another
    /// endpoint may resume it.
    bool mayResume(const std::string &reason, bool hasCandidate);
    /// The call has ended. If \a hasAnswer, the current attempt completed, otherwise it is
    /// abandoned.
    void finish(bool hasAnswer);

    /// Returns the outcome to report if the call ends now.
    RunOutcome outcome() const;
    const std::string &endpoint() const { return this->currentEndpoint; }
    const std::set<std::string> &tried() const { return this->triedEndpoints; }
    int count() const { return this->attemptCount; }

private:
    RetryConditions retryChance(bool hasCandidate);
    void endAttempt(bool hasSucceeded);
    void reportFailure(const std::string &reason) const;

    RouterContext &context;
    const CallerRequest &caller;
    RetryState run;
    std::string currentEndpoint; ///< of the attempt in progress, "" between attempts
    std::set<std::string> triedEndpoints;
    std::int64_t pendingPrefillTokens
        = 0; ///< of the current attempt, reported to the endpointTable
    int attemptCount = 0;
    bool hasAnswered = false; ///< an attempt ended with an answer
    bool hasAbandonedAttempt = false; ///< an attempt was abandoned while in progress
};

} // namespace lavenderhall
