#pragma once

#include "router/context.h"
#include "router/modelcall.h"
#include "router/servicecall.h"

#include <map>
#include <memory>
#include <set>
#include <string>

/// Callers' side of an instance: from an HTTP request to a call in progress.
namespace lavenderhall {

class Gateway
{
public:
    Gateway(RouterContext &context);

    /// Takes in one request.
    void onRequest(const http::ExchangePtr &exchange);
    /// Puts a configuration in force; calls whose key is gone are ended.
    void onConfig(const ActiveConfigPtr &config);
    /// Refuses new requests from now on; those in progress go on.
    void beginDrain();
    /// Ends calls that were let in by a key, once this instance counts as cut off.
    void checkCutOff();
    bool isDraining() const { return this->draining; }
    std::size_t openCalls() const { return this->modelCalls.size() + this->serviceCalls.size(); }
    /// Bytes of answers that callers have not taken yet.
    std::size_t backlogBytes() const;
    /// Ends all calls in progress, for a drain whose deadline has passed.
    void stopAll();

private:
    void serveModels(const http::ExchangePtr &exchange, const std::string &id);
    void serveCompletion(CallerRequest caller);
    void serveService(CallerRequest caller);
    void startModelCall(CallerRequest caller, const Json &body);
    template <typename Call> void admit(const std::shared_ptr<Call> &call, double tokens);
    bool authenticate(CallerRequest &caller);
    bool leaksKey(const CallerRequest &caller, const std::string &sent);
    void refuse(const CallerRequest &caller, Refusal refusal);

    RouterContext &context;
    std::map<std::string, std::shared_ptr<ModelCall>> modelCalls;
    std::map<std::string, std::shared_ptr<ServiceCall>> serviceCalls;
    bool draining = false;
};

} // namespace lavenderhall
