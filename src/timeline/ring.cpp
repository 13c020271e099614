#include "timeline/ring.h"

#include "base/clock.h"

namespace lavenderhall {

const char *toString(EventKind kind)
{
    switch (kind) {
    case EventKind::RequestArrived:
        return "request_arrived";
    case EventKind::RequestRefused:
        return "request_refused";
    case EventKind::EndpointChosen:
        return "endpoint_chosen";
    case EventKind::AttemptFailed:
        return "attempt_failed";
    case EventKind::FirstToken:
        return "first_token";
    case EventKind::StreamResumed:
        return "stream_resumed";
    case EventKind::RequestDone:
        return "request_done";
    case EventKind::ConfigInForce:
        return "config_in_force";
    case EventKind::ConfigRefused:
        return "config_refused";
    case EventKind::KeyWithdrawn:
        return "key_withdrawn";
    case EventKind::EndpointLeaving:
        return "endpoint_leaving";
    case EventKind::EndpointSuspected:
        return "endpoint_suspected";
    case EventKind::PeerUp:
        return "peer_up";
    case EventKind::PeerDown:
        return "peer_down";
    case EventKind::RightsGained:
        return "rights_gained";
    case EventKind::RightsLost:
        return "rights_lost";
    case EventKind::ClaimMade:
        return "claim_made";
    case EventKind::OrderSent:
        return "order_sent";
    case EventKind::DrainBegan:
        return "drain_began";
    case EventKind::ProcessStarted:
        return "process_started";
    case EventKind::ProcessStopped:
        return "process_stopped";
    }
    return "unknown";
}

Json toJson(const TimelineEvent &event, const std::string &instance)
{
    Json json{{"wall_ms", event.timestamp.wallMillis},
              {"counter", event.timestamp.counter},
              {"instance", instance},
              {"kind", toString(event.kind)}};
    if (!event.request.empty())
        json["request"] = event.request;
    if (!event.organisation.empty())
        json["organisation"] = event.organisation;
    for (const LogField &field : event.fields)
        json["fields"][field.key] = field.value;
    return json;
}

void TimelineRing::add(EventKind kind, std::string request, std::string organisation,
                       std::vector<LogField> fields)
{
    const std::lock_guard lock(this->mutex);
    TimelineEvent event;
    event.timestamp = this->clock.tick(wallMillis());
    event.kind = kind;
    event.request = std::move(request);
    event.organisation = std::move(organisation);
    event.fields = std::move(fields);
    this->events.push_back(std::move(event));
    if (this->events.size() > this->capacity)
        this->events.pop_front();
}

std::string TimelineRing::toJsonLines(const TimelineFilter &filter) const
{
    const std::lock_guard lock(this->mutex);
    std::string lines;
    for (const TimelineEvent &event : this->events) {
        if (!filter.request.empty() && event.request != filter.request)
            continue;
        if (!filter.organisation.empty() && event.organisation != filter.organisation)
            continue;
        if (!filter.kind.empty() && filter.kind != toString(event.kind))
            continue;
        lines += writeJson(toJson(event, this->instanceName)) + "\n";
    }
    return lines;
}

void TimelineRing::observe(HlcTimestamp received)
{
    const std::lock_guard lock(this->mutex);
    this->clock.observe(received);
}

HlcTimestamp TimelineRing::latest() const
{
    const std::lock_guard lock(this->mutex);
    return this->clock.latest();
}

} // namespace lavenderhall
