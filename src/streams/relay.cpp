#include "streams/relay.h"

#include "base/number.h"

namespace lavenderhall {

namespace {

/// Returns the number of an event id "REQUEST:NUMBER", or -1 if the id is malformed or of a request
/// other than \a requestId.
std::int64_t numberInId(std::string_view id, std::string_view requestId)
{
    if (!id.starts_with(requestId) || id.size() <= requestId.size() + 1
        || id[requestId.size()] != ':')
        return -1;
    return parseInteger(id.substr(requestId.size() + 1)).value_or(-1);
}

RelayAction interrupted(std::string reason)
{
    return {RelayStep::Interrupted, "", std::move(reason)};
}

} // namespace

RelayAction StreamRelay::onBytes(std::string_view bytes)
{
    RelayAction result;
    if (this->complete)
        return {RelayStep::Complete, "", ""};
    const auto parsed = toOutcome([&] { return this->parser.feed(bytes); });
    if (const auto *error = std::get_if<Error>(&parsed))
        return interrupted(error->message());
    for (const SseEvent &event : std::get<std::vector<SseEvent>>(parsed)) {
        RelayAction action = this->onEvent(event);
        result.forward += action.forward;
        result.step = action.step;
        result.reason = std::move(action.reason);
        if (result.step != RelayStep::Continue)
            break;
    }
    return result;
}

RelayAction StreamRelay::onEvent(const SseEvent &event)
{
    const std::int64_t number = numberInId(event.id, this->requestId);
    if (number < 0)
        return interrupted("an event of another request arrived");
    // A resumed engine may repeat forwarded events. Missing events arrive only after a resume.
    if (number <= this->lastForwarded)
        return {};
    if (number > this->lastForwarded + 1)
        return interrupted("events are missing");
    this->lastForwarded = number;
    this->complete = event.data == StreamEndMark;
    return {this->complete ? RelayStep::Complete : RelayStep::Continue, toWire(event), ""};
}

RelayAction StreamRelay::onAttemptEnded(std::string_view reason)
{
    if (this->complete)
        return {RelayStep::Complete, "", ""};
    return interrupted(std::string(reason));
}

void StreamRelay::onAttemptStarted()
{
    this->parser = SseParser();
}

std::string StreamRelay::lastEventId() const
{
    if (this->lastForwarded == 0)
        return {};
    return this->requestId + ":" + std::to_string(this->lastForwarded);
}

} // namespace lavenderhall
