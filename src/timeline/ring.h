#pragma once

#include "base/json.h"
#include "base/log.h"
#include "timeline/hlc.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// The time line of one process: a ring buffer of its latest events, for operators.
namespace lavenderhall {

/// Kinds of events; toString() returns their names in JSON.
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
    RightsGained, ///< this instance now holds a seat of the rate limits
    RightsLost, ///< this instance no longer holds the seat
    ClaimMade, ///< an idempotency key was claimed in the store
    OrderSent, ///< to an engine
    DrainBegan,
    ProcessStarted,
    ProcessStopped,
};

/// Returns the name used on the wire and in filters, e.g. "request_arrived".
const char *toString(EventKind kind);

/// One event of the time line.
struct TimelineEvent
{
    HlcStamp stamp;
    EventKind kind = EventKind::ProcessStarted;
    std::string request; ///< request id, "" if none
    std::string organisation; ///< "" if none
    std::vector<LogField> fields;
};

/// Selects events of the time line; an empty field matches all events.
struct TimelineFilter
{
    std::string request;
    std::string organisation;
    std::string kind; ///< name of an EventKind
};

/// Returns one event as a JSON object; \a instance is the name of the process that recorded it.
Json toJson(const TimelineEvent &event, const std::string &instance);

/// Records events and keeps the latest ones. All functions may be called from any thread.
class TimelineRing
{
public:
    /// Keeps at most \a capacity events.
    TimelineRing(std::string instance, std::size_t capacity)
        : instanceName(std::move(instance))
        , capacity(capacity)
    { }

    /// Appends an event with a timestamp of now and drops the oldest event if the buffer is full.
    void add(EventKind kind, std::string request, std::string organisation,
             std::vector<LogField> fields = {});
    /// Returns the events that match \a filter as JSON lines, oldest first.
    std::string toJsonLines(const TimelineFilter &filter) const;
    /// Advances the clock to a timestamp received from a peer.
    void observe(HlcStamp received);
    /// Returns the latest timestamp, to send to peers.
    HlcStamp latest() const;
    const std::string &instance() const { return this->instanceName; }

private:
    std::string instanceName;
    std::size_t capacity;
    mutable std::mutex mutex;
    HybridClock clock;
    std::deque<TimelineEvent> events;
};

} // namespace lavenderhall
