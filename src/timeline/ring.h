#pragma once

#include "base/json.h"
#include "base/log.h"
#include "timeline/hlc.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// The time line of one process: a bounded ring of typed events.
namespace lavenderhall {

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

/// Returns the name used on the wire and in filters, e.g. "request_arrived".
const char *toString(EventKind kind);

struct TimelineEvent
{
    HlcTimestamp at;
    EventKind kind = EventKind::ProcessStarted;
    std::string request; ///< request id, "" if none
    std::string organisation; ///< "" if none
    std::vector<LogField> fields;
};

/// Filter of a look at the time line; empty fields let all pass.
struct TimelineFilter
{
    std::string request;
    std::string organisation;
    std::string kind;
};

/// Returns one event as a JSON object; \a instance names the process it happened in.
Json toJson(const TimelineEvent &event, const std::string &instance);

class TimelineRing
{
public:
    TimelineRing(std::string instance, std::size_t capacity)
        : instanceName(std::move(instance))
        , capacity(capacity)
    { }

    /// Appends an event, stamped now; the oldest goes when the ring is full. Any thread.
    void add(EventKind kind, std::string request, std::string organisation,
             std::vector<LogField> fields = {});
    /// Events that pass \a filter as JSON lines, oldest first. Any thread.
    std::string toJsonLines(const TimelineFilter &filter) const;
    /// Takes in a peer's stamp. Any thread.
    void observe(HlcTimestamp received);
    HlcTimestamp latest() const;
    const std::string &instance() const { return this->instanceName; }

private:
    std::string instanceName;
    std::size_t capacity;
    mutable std::mutex mutex;
    HybridClock clock;
    std::deque<TimelineEvent> events;
};

} // namespace lavenderhall
