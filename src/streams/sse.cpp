#include "streams/sse.h"

namespace lavenderhall {

std::string toWire(const SseEvent &event)
{
    std::string wire;
    if (!event.id.empty())
        wire += "id: " + event.id + "\n";
    std::string_view remaining = event.data;
    for (;;) {
        const std::size_t end = remaining.find('\n');
        wire.append("data: ").append(remaining.substr(0, end)).append("\n");
        if (end == std::string_view::npos)
            break;
        remaining = remaining.substr(end + 1);
    }
    return wire + "\n";
}

Result<std::vector<SseEvent>> SseParser::feed(std::string_view bytes)
{
    std::vector<SseEvent> events;
    for (const char c : bytes) {
        // A line ends with CR, LF or CR LF. The LF of a CR LF is skipped here.
        const bool isLineFeedAfterReturn = this->endedWithCarriageReturn && c == '\n';
        this->endedWithCarriageReturn = false;
        if (isLineFeedAfterReturn)
            continue;
        if (c != '\n' && c != '\r') {
            this->line += c;
            if (this->line.size() + this->data.size() > this->maxEventBytes)
                return fail(ErrorCode::LimitExceeded, "parse event stream",
                            "an event is longer than " + std::to_string(this->maxEventBytes)
                                + " bytes");
            continue;
        }
        this->endedWithCarriageReturn = c == '\r';
        this->processLine(this->line, events);
        this->line.clear();
    }
    return events;
}

void SseParser::processLine(std::string_view text, std::vector<SseEvent> &events)
{
    if (text.empty()) {
        if (this->hasData)
            events.push_back({this->id, this->data});
        this->data.clear();
        this->id.clear();
        this->hasData = false;
        return;
    }
    const std::size_t colon = text.find(':');
    // A line that starts with a colon is a comment.
    if (colon == 0)
        return;
    const std::string_view field = text.substr(0, colon);
    std::string_view value;
    if (colon != std::string_view::npos)
        value = text.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "data") {
        if (this->hasData)
            this->data += '\n';
        this->data += value;
        this->hasData = true;
    } else if (field == "id") {
        this->id = value;
    }
}

} // namespace lavenderhall
