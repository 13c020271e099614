#include "streams/eventsplitter.h"

#include "base/number.h"

namespace lavenderhall {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::size_t MaxEventBytes = 1U << 20U;

} // namespace

std::optional<std::int64_t> parseEventNumber(std::string_view text)
{
    return parseInteger(text);
}

std::vector<RawEvent> EventSplitter::feed(std::string_view bytes)
{
    std::vector<RawEvent> events;
    for (const char c : bytes) {
        this->pending += c;
        if (c == '\n')
            this->endLine(events);
    }
    return events;
}

bool EventSplitter::isEventTooLong() const
{
    return this->pending.size() > MaxEventBytes;
}

void EventSplitter::endLine(std::vector<RawEvent> &events)
{
    std::string_view line = std::string_view(this->pending).substr(this->lineStart);
    line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.starts_with(IdField)) {
        line.remove_prefix(IdField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        this->id = line;
    } else if (line.empty()) {
        events.push_back({std::move(this->pending), std::move(this->id)});
        return this->reset();
    }
    this->lineStart = this->pending.size();
}

void EventSplitter::reset()
{
    this->pending.clear();
    this->id.clear();
    this->lineStart = 0;
}

} // namespace lavenderhall
