#pragma once

#include "router/context.h"
#include "routing/retrystate.h"

#include <set>
#include <string>

/// The attempts of one call at endpoints.
namespace lavenderhall {

/// Keeps which endpoints were tried, what may follow, and tells the endpoint table how each did.
class CallAttempts
{
public:
    /// \a maxRuns bounds the attempts that may have run. \a caller must outlive this.
    CallAttempts(RouterContext &context, const CallerRequest &caller, int maxRuns);

    /// An attempt at \a endpoint starts; \a missingTokens of its prompt are to be read there.
    void begin(const std::string &endpoint, std::int64_t missingTokens);
    /// The endpoint has read the prompt.
    void onPromptRead();
    /// The attempt under way failed before any of its answer was passed on.
    RetryDecision onFailed(AttemptOutcome end, const std::string &reason, bool hasCandidate);
    /// The stream under way broke off after part of it was passed on. Whether it may go on
    /// elsewhere.
    bool mayResume(const std::string &reason, bool hasCandidate);
    /// The call is over: its attempt under way, if any, has ended with an answer or is given up.
    void finish(bool hasAnswer);

    /// What is known if the call ends now.
    RunOutcome outcome() const;
    const std::string &endpoint() const { return this->current; }
    const std::set<std::string> &tried() const { return this->names; }
    int count() const { return this->begun; }

private:
    RetryConditions chance(bool hasCandidate);
    void release(bool succeeded);
    void report(const std::string &reason) const;

    RouterContext &context;
    const CallerRequest &caller;
    RetryState run;
    std::string current; ///< endpoint of the attempt under way, "" between attempts
    std::set<std::string> names;
    std::int64_t unreadTokens = 0;
    int begun = 0;
    bool hasRun = false; ///< an attempt ended with an answer
    bool wasAbandoned = false; ///< an attempt was given up under way
};

} // namespace lavenderhall
