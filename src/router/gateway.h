#pragma once

#include "router/context.h"
#include "router/modelcall.h"
#include "router/servicecall.h"

#include <map>
#include <memory>
#include <set>
#include <string>

/// HTTP interface for callers in the OpenAI dialect.
namespace lavenderhall {

/// Authenticates requests, requests tokens of the organisation's rate, and owns the calls in
/// progress.
class Gateway
{
public:
    Gateway(RouterContext &context);

    /// Starts a call for the request, or refuses it.
    void onRequest(const http::ExchangePtr &exchange);
    /// Puts a configuration in force and ends calls whose key it has withdrawn.
    void onConfig(const ActiveConfigPtr &config);
    /// Ends calls that were authenticated by a key if this instance is cut off from the fleet.
    void checkCutOff();
    std::size_t openCalls() const { return this->modelCalls.size() + this->serviceCalls.size(); }
    /// Returns the bytes of answers that callers have not read yet.
    std::size_t backlogBytes() const;
    /// Ends all calls in progress, since a drain has reached its timeout.
    void stopAll();

private:
    void serveModelList(const http::ExchangePtr &exchange, const std::string &id);
    void serveCompletion(CallerRequest caller);
    void serveService(CallerRequest caller);
    void startModelCall(CallerRequest caller, const Json &body);
    /// Starts the call when \a tokens of its organisation's rate are granted, or stops it.
    template <typename Call> void admit(const std::shared_ptr<Call> &call, double tokens);
    /// Finds the organisation of the caller. Returns false if the request was refused.
    bool authenticate(CallerRequest &caller);
    /// Refuses the request if \a content contains the key, which must not reach an endpoint.
    /// Returns whether it did.
    bool refuseIfKeyLeaked(const CallerRequest &caller, const std::string &content);
    void refuse(const CallerRequest &caller, ErrorResponse error);

    RouterContext &context;
    std::map<std::string, std::shared_ptr<ModelCall>> modelCalls; ///< by request id
    std::map<std::string, std::shared_ptr<ServiceCall>> serviceCalls; ///< by request id
};

} // namespace lavenderhall
