#pragma once

#include "claims/claim.h"
#include "placement/endpointranking.h"
#include "router/attempts.h"
#include "router/context.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// One request to a plain service.
namespace lavenderhall {

class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using Done = std::function<void(const ServiceCall &)>;

    /// \a path is what goes to the service, with the query.
    ServiceCall(RouterContext &context, CallerRequest caller, std::string path, Done done);

    void start();
    /// Ends the call at once with \a refusal. If the request may have run, the outcome says so.
    void stop(Refusal refusal);

    /// Takes the number under which tokens have been asked for, so that they can go back.
    void onAdmissionAsked(std::uint64_t tokensRequest);
    const CallerRequest &request() const { return this->caller; }

private:
    bool wantsClaim() const;
    void beginClaim(const std::string &idempotencyKey);
    void takeClaimStep(ClaimStep step);
    void refuseClaim(ClaimRefusal reason);
    void replay(const ClaimRecord &record);
    void recordOutcome(int answered, RunOutcome outcome);
    std::vector<Candidate> rankedEndpoints() const;
    void startAttempt();
    http::CallRequest buildCall(const EndpointView &view) const;
    void onEnd();
    void onAttemptFailed(const http::CallFailure &failure);
    void dropCall();
    void finish(int answered, RunOutcome outcome);

    RouterContext &context;
    CallerRequest caller;
    std::string path;
    Done done;
    http::CallPtr call;
    http::Timer deadlineTimer;
    CallAttempts attempts;
    http::Response answer;
    std::shared_ptr<ClaimFlow> claim;
    bool isAdmitted = false;
    bool finished = false;
};

} // namespace lavenderhall
