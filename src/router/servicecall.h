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

/// Sends the request to an endpoint of the service and returns the answer as a whole. A call that
/// must not be repeated and has an idempotency key is claimed in the store first, so that it runs
/// at most once in the fleet.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using DoneHandler = std::function<void(const ServiceCall &)>;

    /// \a path is the path with the query to send to the service. \a onDone is called once when the
    /// call has ended.
    ServiceCall(RouterContext &context, CallerRequest caller, std::string path, DoneHandler onDone);

    /// Starts the call, once its tokens are granted.
    void start();
    /// Ends the call at once with \a error, whose outcome is replaced if the request may have run.
    void stop(ErrorResponse error);

    /// Sets the id of the pending request for tokens, which is cancelled if the caller disconnects.
    void onAdmissionRequested(std::uint64_t tokenRequestId);
    const CallerRequest &request() const { return this->caller; }

private:
    bool needsClaim() const;
    void beginClaim(const std::string &idempotencyKey);
    void executeClaimStep(ClaimStep step);
    void refuseClaim(ClaimRefusal reason);
    void replay(const ClaimRecord &record);
    void recordOutcome(int answerStatus, RunOutcome outcome);
    std::vector<Candidate> rankedEndpoints() const;
    void startAttempt();
    http::CallRequest buildCall(const EndpointView &view) const;
    void onHead(int code, const http::Headers &headers);
    void onEnd();
    void onAttemptFailed(const http::CallFailure &failure);
    void cancelCall();
    /// \a answerStatus is 0 if the caller has got no answer.
    void finish(int answerStatus, RunOutcome outcome);

    RouterContext &context;
    CallerRequest caller;
    std::string path;
    DoneHandler onDone;
    http::CallPtr call;
    http::Timer deadlineTimer;
    CallAttempts attempts;
    http::Response answer; ///< of the current attempt's endpoint
    std::shared_ptr<ClaimFlow> claim; ///< null if none is needed or its outcome needs no record
    bool isAdmitted = false;
    bool isFinished = false;
};

} // namespace lavenderhall
