#pragma once

/// Whether a request has run, what may be done after a failed attempt, and which status is
/// true at the end. Answers the load pattern of endpoints that refuse, break off and fall silent.
namespace lavenderhall {

/// How one attempt at an endpoint ended.
enum class AttemptOutcome {
    NeverSent, ///< no byte can have reached the endpoint
    Refused, ///< the endpoint states that it has not run the request
    Broken, ///< sent, and no whole answer: it may have run
    Failed, ///< the endpoint's own whole answer tells of a failure
    Succeeded,
};

const char *toString(AttemptOutcome end);

/// What one request may still use.
struct RetryConditions
{
    bool hasBudget = false; ///< the fleet's budget of repeats
    bool hasCandidate = false; ///< another endpoint takes work
    bool hasTime = false;
};

enum class RetryDecision {
    Retry,
    PassOn, ///< the endpoint's answer goes to the caller
    Refuse, ///< certainly not run: say so, and when to come back
    Fail, ///< it may have run: promise nothing
};

class RetryState
{
public:
    /// \a maxAttempts bounds the endpoints that the request may run on.
    RetryState(bool mayRepeat, int maxAttempts)
        : mayRepeat(mayRepeat)
        , maxAttempts(maxAttempts)
    { }

    /// An attempt ended before any of its answer was passed on.
    RetryDecision onAttemptEnd(AttemptOutcome end, RetryConditions chance);
    /// Time is up, whatever is under way. \a isSent tells whether an attempt is.
    RetryDecision onTimeUp(bool isSent) const;
    /// A stream broke off after part of it was passed on. Whether it may go on elsewhere.
    bool mayResume(RetryConditions chance);

    bool mayHaveRun() const { return this->runs > 0; }
    int attempts() const { return this->total; }
    /// Whether an endpoint has got the request: the next attempt would be a repeat there.
    bool hasReachedEndpoint() const { return this->arrivals > 0; }

private:
    bool mayRetry(RetryConditions chance) const;

    bool mayRepeat;
    int maxAttempts;
    int runs = 0; ///< attempts that may have run
    int total = 0;
    int arrivals = 0; ///< attempts that reached an endpoint
};

} // namespace lavenderhall
