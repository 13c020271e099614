#pragma once

#include "router/context.h"
#include "routing/retrystate.h"

#include <set>
#include <string>

/// The attempts of one call at one or more endpoints.
namespace lavenderhall {

/// Records the attempts of one call, decides whether another one may follow, and reports their
/// results to the endpoint table, the retry budget, the log and the time line.
class CallAttempts
{
public:
    /// \a maxRuns bounds the number of attempts that may have been executed. \a caller must outlive
    /// this object.
    CallAttempts(RouterContext &context, const CallerRequest &caller, int maxRuns);

    /// An attempt at \a endpoint starts, which has to prefill \a uncachedTokens of the prompt.
    void begin(const std::string &endpoint, std::int64_t uncachedTokens);
    /// The endpoint has finished the prefill of the prompt.
    void onPrefilled();
    /// The current attempt failed before any part of its answer was forwarded. Returns what to do
    /// next; \a hasCandidate tells whether another endpoint takes work.
    RetryDecision onFailed(AttemptOutcome attemptOutcome, const std::string &reason,
                           bool hasCandidate);
    /// The current stream was interrupted after part of it was forwarded. Returns whether another
    /// endpoint may resume it.
    bool onInterrupted(const std::string &reason, bool hasCandidate);
    /// The call has ended. If \a hasAnswer, the current attempt completed, otherwise it is
    /// abandoned.
    void finish(bool hasAnswer);

    /// Returns the outcome to report if the call ends now.
    RunOutcome outcome() const;
    /// Endpoint of the attempt in progress, "" between attempts.
    const std::string &endpoint() const { return this->currentEndpoint; }
    const std::set<std::string> &tried() const { return this->triedEndpoints; }
    /// Number of attempts begun.
    int count() const { return this->attemptCount; }

private:
    RetryConditions retryConditions(bool hasCandidate);
    void endAttempt(bool hasSucceeded);
    void reportFailure(const std::string &reason) const;

    RouterContext &context;
    const CallerRequest &caller;
    RetryState retryState;
    std::string currentEndpoint;
    std::set<std::string> triedEndpoints;
    /// Tokens of the current attempt whose prefill has not been reported to the endpoint table.
    std::int64_t pendingPrefillTokens = 0;
    int attemptCount = 0;
    bool hasAnswered = false; ///< an attempt ended with an answer
    bool hasAbandonedAttempt = false; ///< an attempt was abandoned while in progress
};

} // namespace lavenderhall
