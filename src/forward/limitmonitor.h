#pragma once

#include "forward/request.h"
#include "proto/peer.pb.h"
#include "routing/endpointlimits.h"
#include "routing/permitissuer.h"

#include <cstdint>
#include <functional>
#include <map>

/// Keeps the requests of all instances together within the limits that endpoints name: tells the
/// others of the limits, and obtains a permit for each request to such an endpoint.
namespace lavenderhall {

/// What a limit monitor needs of its instance.
struct LimitMonitorHooks
{
    std::function<void(const proto::LimitNews &news)> broadcast;
    /// Sends the request to the instance that issues the permits of \a endpoint.
    std::function<void(const Incarnation &endpoint, const proto::PermitRequest &request)> ask;
    std::function<void(const proto::ProcessId &to, const proto::PermitAnswer &answer)> answer;
};

class LimitMonitor
{
public:
    /// Called with whether a request may be sent.
    using PermitHandler = std::function<void(bool isGranted)>;

    /// Keeps the limits in \a limits.
    LimitMonitor(EndpointLimits &limits, LimitMonitorHooks hooks)
        : limits(limits)
        , hooks(std::move(hooks))
    { }

    /// A successful answer to a request that was sent to \a endpoint at \a sentAt names no limit.
    void onNoneNamed(const Incarnation &endpoint, MonoTime sentAt, MonoTime now);
    /// An answer of \a endpoint names a limit.
    void onNamed(const Incarnation &endpoint, const LimitStatement &limit, MonoTime now);
    /// Handles what another instance knows.
    void onNews(const proto::LimitNews &news, MonoTime now);

    /// Whether a request to \a endpoint needs a permit.
    bool isLimited(const Incarnation &endpoint) const { return this->limits.isLimited(endpoint); }
    /// Asks for a permit to send one request to \a endpoint. \a handler is called once, possibly
    /// before this returns.
    void requestPermit(const Incarnation &endpoint, PermitHandler handler, MonoTime now);
    /// Decides on the request of an instance for a permit that this instance issues.
    void onPermitRequest(const proto::ProcessId &from, const proto::PermitRequest &request,
                         MonoTime now);
    void onPermitAnswer(const proto::PermitAnswer &answer, MonoTime now);
    /// Ends requests for permits that nobody has answered; to be called periodically.
    void onTick(MonoTime now);

private:
    struct PendingPermit
    {
        Incarnation endpoint;
        PermitHandler handler;
        MonoTime askedAt{};
    };

    void onTold(const proto::EndpointLimit &told, MonoTime now);
    /// Tells all instances what is news to them about the limit of \a endpoint.
    void tell(const Incarnation &endpoint, MonoTime now);
    /// Ends a request for a permit. If it is refused, the endpoint gets no request for \a wait.
    void settle(std::uint64_t number, bool isGranted, Millis wait, MonoTime now);

    EndpointLimits &limits;
    LimitMonitorHooks hooks;
    PermitIssuer issuer;
    std::map<std::uint64_t, PendingPermit> pending; ///< by number of the request
    std::uint64_t nextNumber = 1;
};

} // namespace lavenderhall
