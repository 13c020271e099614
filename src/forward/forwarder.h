#pragma once

#include "forward/forwardcall.h"

#include <memory>
#include <set>

/// Forwards callers' requests to endpoints, and the answers back.
namespace lavenderhall {

/// Accepts requests and keeps those in progress.
class Forwarder
{
public:
    /// Connects itself with \a context.
    explicit Forwarder(ForwardContext &context);

    /// Starts to process one request.
    void onRequest(const http::ExchangePtr &exchange, RequestSource source = RequestSource::Caller);
    /// Returns the number of requests in progress.
    std::size_t openCalls() const { return this->calls.size(); }
    /// Versions of weights were named, or it became known when.
    void onWeightsNamed();
    /// Parts of prompts or requests were blocked: ends those of the requests that wait at
    /// endpoints.
    void onNewBlocks();
    /// No endpoint of \a service is in reach: requests that wait there go to other instances.
    void onCutOff(const std::string &service);
    /// Ends all requests in progress.
    void stopAll();

private:
    /// Whether a request that arrives at \a now is refused as the instance stops.
    bool refusesNew(RequestSource source, MonoTime now) const;
    /// Refuses a request so that its caller, or the instance that relays it, sends it to another
    /// one.
    void refuseStopping(const http::ExchangePtr &exchange, const std::string &id,
                        RequestSource source, MonoTime now);

    ForwardContext &context;
    std::set<std::shared_ptr<ForwardCall>> calls;
};

} // namespace lavenderhall
