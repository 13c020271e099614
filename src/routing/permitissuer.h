#pragma once

#include "base/clock.h"
#include "routing/endpointnotices.h"

#include <map>

/// Shares the limit that an endpoint has named among all instances. Each request to such an
/// endpoint needs a permit, and one instance issues all permits of an endpoint: requests come to
/// any of a hundred instances, while the limit may be one a second.
namespace lavenderhall {

/// The answer to a request for a permit.
struct PermitDecision
{
    bool isGranted = false;
    Millis wait{0}; ///< if it is refused: until another request may be granted

    auto operator<=>(const PermitDecision &) const = default;
};

/// A token bucket for each endpoint. The buckets start empty, since another instance may have
/// issued permits until a moment ago.
class PermitIssuer
{
public:
    /// Decides on one request to \a endpoint, which accepts \a requestsPerSecond.
    PermitDecision decide(const Incarnation &endpoint, double requestsPerSecond, MonoTime now);

private:
    struct Bucket
    {
        double tokens = 0;
        double refused = 0; ///< requests that were refused and are to return, one for each token
        MonoTime refilledAt{};
    };

    /// Returns the bucket of \a endpoint, and forgets those that have not been used for long.
    Bucket &bucketOf(const Incarnation &endpoint, MonoTime now);

    std::map<Incarnation, Bucket> buckets;
};

} // namespace lavenderhall
