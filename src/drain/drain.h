#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <optional>

/// Decides what an instance that stops still begins, and when its process ends.
namespace lavenderhall {

/// After this time the caller of a request that is refused by a drain may retry: at once, since
/// another instance will get it.
inline constexpr Millis StoppingRetryAfter{20};

/// Lengths of the parts of a drain, each from its start.
struct DrainTimings
{
    Millis acceptTime{0}; ///< new requests are accepted
    Millis beginTime{0}; ///< accepted requests are sent to endpoints, whenever they would end
    Millis answerTime{0}; ///< requests in progress may finish
    Millis stopTime{0}; ///< the process may run

    bool operator==(const DrainTimings &) const = default;
};

/// Returns the timings of an instance that is killed \a grace after it was asked to stop, and that
/// gets requests until the balancer has noticed.
DrainTimings drainTimingsOf(Millis grace);

/// The parts of a drain, in their order.
enum class DrainPhase {
    Serving, ///< there is no drain
    Accepting, ///< the balancer has not noticed yet
    Refusing, ///< new requests are refused, those in progress finish
    Closing, ///< connections are closed
    Ended, ///< the process may end
};

/// How a stop ended a request.
enum class StopOutcome {
    Refused, ///< when it arrived
    NotBegun, ///< it had waited, and was not sent to an endpoint
    Unknown, ///< it may have run, and its caller got no answer of an endpoint
    Cut, ///< its answer had begun
};

inline constexpr std::array StopOutcomes{StopOutcome::Refused, StopOutcome::NotBegun,
                                         StopOutcome::Unknown, StopOutcome::Cut};

/// Returns the name in metrics and log lines.
const char *toString(StopOutcome outcome);

/// What is still open in an instance.
struct OpenWork
{
    bool isIdle = false; ///< all answers have been sent to their last byte
    std::size_t connections = 0; ///< that callers or this side have not closed

    bool operator==(const OpenWork &) const = default;
};

/// The drain of one instance. Every decision depends on the time that is passed in, so that none
/// waits for a timer.
class Drain
{
public:
    /// Begins, unless it has begun. Its times run from \a since, which may lie in the past.
    void begin(const DrainTimings &drainTimings, MonoTime since);
    /// Ends requests in progress from \a now on, and the process soon after.
    void hurry(MonoTime now);

    /// Returns when the drain began, if it has.
    const std::optional<MonoTime> &beganAt() const { return this->startedAt; }
    /// Returns whether a request that arrives at \a now is refused.
    bool refusesNew(MonoTime now) const;
    /// Returns whether an accepted request that has not run is refused at \a now instead of being
    /// sent to an endpoint. Its own time ends at \a deadline.
    bool refusesToBegin(MonoTime deadline, MonoTime now) const;
    /// Returns when requests in progress are ended; \a deadline if that is sooner.
    MonoTime answerLimit(MonoTime deadline) const;
    /// Returns whether requests in progress are ended.
    bool endsRequests(MonoTime now) const;

    /// Goes to the phase that is due at \a now, and returns it.
    DrainPhase advance(const OpenWork &work, MonoTime now);
    DrainPhase phase() const { return this->currentPhase; }

private:
    /// Returns whether \a time has passed since the drain began.
    bool isOver(Millis time, MonoTime now) const;
    DrainPhase nextPhase(const OpenWork &work, MonoTime now) const;

    DrainTimings timings;
    std::optional<MonoTime> startedAt;
    DrainPhase currentPhase = DrainPhase::Serving;
    MonoTime phaseBeganAt{};
};

} // namespace lavenderhall
