#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

/// Decides whether a request can begin in the time that it has left.
namespace lavenderhall {

/// The load of a service's endpoints, as far as it is known here.
struct ServiceLoad
{
    std::int64_t slots = 0; ///< requests that run at once at all endpoints that do not leave
    std::int64_t taken = 0; ///< requests at these endpoints, from all instances
    std::int64_t waiting = 0; ///< of those, the ones that wait for a slot
    /// Age of the oldest report of an endpoint that has reported lately; nothing if none has.
    std::optional<Millis> newsAge;
    std::size_t endpoints = 0;
    std::size_t silentEndpoints = 0; ///< without a report, or with one that is too old

    auto operator<=>(const ServiceLoad &) const = default;
};

/// What a decision depends on.
struct AdmissionInputs
{
    double expectedMillis = 0; ///< until the first event at the best endpoint
    /// Until the requests of its own and more urgent ranks that wait have begun.
    std::optional<double> backlogMillis;
    double answerMillis = 0; ///< from the first event to the end of the answer, a low estimate
    Millis timeLeft{0};
    bool mayHaveRun = false;
    ServiceLoad load;
};

/// Whether the request is expected to begin too late. False if too little is known.
bool startsTooLate(const AdmissionInputs &inputs);

} // namespace lavenderhall
