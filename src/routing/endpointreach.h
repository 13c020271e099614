#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <string>

/// Whether this instance still reaches the endpoints of a service.
///
/// A cut between an instance and all endpoints shows as refused or hanging connections, or as
/// silence, while callers keep sending on the connections that they have. A single endpoint that
/// crashes, is slow or is silent for a second looks the same from here, but others answer then.
namespace lavenderhall {

/// Keeps the last outcome of each endpoint of each service, for a few seconds.
class EndpointReach
{
public:
    /// An attempt at the endpoint failed without a sign of it.
    void onUnreachable(const std::string &service, const std::string &endpointId, MonoTime now);
    /// The endpoint has sent something.
    void onHeard(const std::string &service, const std::string &endpointId, MonoTime now);
    /// Whether no endpoint of the service, which has \a endpoints of them, has been heard of late,
    /// while attempts at several have failed.
    bool isCutOff(const std::string &service, std::size_t endpoints, MonoTime now) const;
    /// Returns when any endpoint of the service was last heard of.
    MonoTime lastHeard(const std::string &service) const;
    /// Whether a request should try the endpoints although they are out of reach. Returns true once
    /// in a while, and far less often for requests that are lost if an endpoint does not answer
    /// (\a mayRepeat is false).
    bool takeProbe(const std::string &service, bool mayRepeat, MonoTime now);

private:
    struct Outcome
    {
        MonoTime at{};
        bool isHeard = false;
    };
    struct Service
    {
        std::map<std::string, Outcome> endpoints; ///< last outcome by id
        MonoTime lastHeard{};
        MonoTime lastProbe{};
    };

    void record(const std::string &service, const std::string &endpointId, Outcome outcome);

    std::map<std::string, Service> services;
};

} // namespace lavenderhall
