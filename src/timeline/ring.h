#pragma once

#include "base/json.h"
#include "base/log.h"
#include "timeline/hlc.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// Time line of one process: a bounded in-memory record of its latest events, for diagnosis.
namespace lavenderhall {

/// What happened. toString() returns the names that leave the process.
enum class EventKind {
    RequestArrived,
    RequestRefused,
    EndpointChosen,
    AttemptFailed,
    FirstToken,
    StreamResumed,
    RequestDone,
    ConfigInForce,
    ConfigRefused,
    KeyWithdrawn,
    EndpointLeaving,
    EndpointSuspected,
    PeerUp,
    PeerDown,
    RightsGained,
    RightsLost,
    ClaimMade,
    OrderSent,
    DrainBegan,
    ProcessStarted,
    ProcessStopped,
};

/// Returns the name of \a kind on the wire and in filters, e.g. "request_arrived".
const char *toString(EventKind kind);

/// One event of the time line.
struct TimelineEvent
{
    HlcTimestamp timestamp;
    EventKind kind = EventKind::ProcessStarted;
    std::string request; ///< request id, "" if none
    std::string organisation; ///< "" if none
    std::vector<LogField> fields;
};

/// Selects events whose fields equal those of the filter; an empty field matches all events.
struct TimelineFilter
{
    std::string request;
    std::string organisation;
    std::string kind; ///< as returned by toString(EventKind)
};

/// Returns \a event as a JSON object. \a instance names the process in which it happened.
Json toJson(const TimelineEvent &event, const std::string &instance);

/// Ring buffer of events. All members may be called from any thread.
class TimelineRing
{
public:
    /// Holds the latest \a capacity events of the process \a instance.
    TimelineRing(std::string instance, std::size_t capacity)
        : instanceName(std::move(instance))
        , capacity(capacity)
    { }

    /// Appends an event with a timestamp of now, and removes the oldest one if the ring is full.
    /// \a request and \a organisation may be "".
    void add(EventKind kind, std::string request, std::string organisation,
             std::vector<LogField> fields = {});
    /// Returns the events that match \a filter, one JSON object a line, oldest first.
    std::string toJsonLines(const TimelineFilter &filter) const;
    /// Records a timestamp received from a peer, see HybridClock::observe().
    void observe(HlcTimestamp received);
    /// Returns the latest timestamp returned or observed, to be sent to peers.
    HlcTimestamp latest() const;
    const std::string &instance() const { return this->instanceName; }

private:
    std::string instanceName;
    std::size_t capacity;
    mutable std::mutex mutex;
    HybridClock clock;
    std::deque<TimelineEvent> events; ///< oldest first
};

} // namespace lavenderhall
