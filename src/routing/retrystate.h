#pragma once

/// Tracks the attempts of one request and decides what follows a failed one: a retry, the
/// endpoint's answer, or an error that states correctly whether the request may have run.
/// Endpoints may refuse requests, close connections early, stop answering, or report a request that
/// they have run as refused.
namespace lavenderhall {

/// The outcome of one attempt at an endpoint.
enum class AttemptOutcome {
    NeverSent, ///< no byte of the request can have reached the endpoint
    Refused, ///< the endpoint states that it has not run the request
    Broken, ///< sent without a complete answer; the request may have run
    Failed, ///< the endpoint's complete answer reports a failure
    /// The endpoint's complete answer has a status that tells callers that the request has not run,
    /// but the endpoint does not state that; it may have run.
    UnstatedRefusal,
    Succeeded, ///< the endpoint's complete answer reports success
};

/// Returns the name of \a outcome in metrics and logs.
const char *toString(AttemptOutcome outcome);

/// The conditions for a retry that do not depend on the earlier attempts.
struct RetryConditions
{
    bool hasBudget = false; ///< the retry budget allows one more
    bool hasCandidate = false; ///< another endpoint accepts requests
    bool hasTime = false; ///< enough time is left before the request's deadline
};

/// What to do with a request after an attempt.
enum class RetryDecision {
    Retry, ///< send the request to another endpoint
    PassOn, ///< pass the endpoint's answer on to the caller
    Refuse, ///< answer that the request has certainly not run, and when to retry
    Fail, ///< answer with an error that leaves open whether the request has run
};

/// The attempts of one request so far.
class RetryState
{
public:
    /// \a mayRepeat tells whether the request may be sent again although it may have run;
    /// \a maxAttempts bounds the attempts that may have run it.
    RetryState(bool mayRepeat, int maxAttempts)
        : mayRepeat(mayRepeat)
        , maxAttempts(maxAttempts)
    { }

    /// Counts an attempt that ended before any part of its answer was passed on, and returns what
    /// to do next.
    RetryDecision onAttemptEnd(AttemptOutcome outcome, RetryConditions conditions);
    /// Counts an attempt in progress that is given up without a decision on a retry: the time of
    /// the request is up, or its caller has left. It may have run.
    void onAttemptAbandoned();
    /// Returns what to answer when the request's deadline has passed. \a isSent tells whether an
    /// attempt is in progress.
    RetryDecision onTimeUp(bool isSent) const;
    /// Counts an attempt whose stream broke off after a part was passed on. Returns whether another
    /// endpoint may continue the stream.
    bool mayResume(RetryConditions conditions);

    /// Whether an endpoint may have run the request.
    bool mayHaveRun() const { return this->runCount > 0; }
    /// Whether so many further attempts may run the request.
    bool mayRunMore(int attempts) const
    {
        return this->runCount + attempts <= (this->mayRepeat ? this->maxAttempts : 1);
    }
    /// Returns the number of attempts, also of those that did not reach an endpoint.
    int attempts() const { return this->attemptCount; }
    /// Returns the number of attempts that certainly did not reach an endpoint.
    int unsentAttempts() const { return this->attemptCount - this->arrivals; }
    /// Returns the number of attempts that may have reached an endpoint.
    int reachedAttempts() const { return this->arrivals; }
    /// Returns the number of attempts that may have run the request.
    int possibleRuns() const { return this->runCount; }
    /// Whether the request has reached an endpoint, so that the next attempt counts as a retry.
    bool hasReachedEndpoint() const { return this->arrivals > 0; }

private:
    bool mayRetry(RetryConditions conditions) const;

    bool mayRepeat;
    int maxAttempts;
    int runCount = 0; ///< attempts that may have run
    int attemptCount = 0;
    int arrivals = 0; ///< attempts that reached an endpoint
};

} // namespace lavenderhall
