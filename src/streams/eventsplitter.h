#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits a stream of server-sent events without changing their bytes.
namespace lavenderhall {

/// An event as it was received.
struct RawEvent
{
    std::string bytes; ///< including the blank line that ends the event
    std::string id; ///< "" if the event has none

    bool operator==(const RawEvent &) const = default;
};

/// Returns the number of an event whose id is \a text; nothing if the id is not a number.
std::optional<std::int64_t> parseEventNumber(std::string_view text);

/// Incremental splitter. Events are returned only when they are complete.
class EventSplitter
{
public:
    /// Appends \a bytes and returns the events that they complete.
    std::vector<RawEvent> feed(std::string_view bytes);
    /// Whether the incomplete event is longer than any event may be, as of a stream of bytes in
    /// which no event ever ends.
    bool isEventTooLong() const;
    /// Bytes received of an event that is not complete.
    const std::string &incompleteEvent() const { return this->pending; }
    /// Discards an incomplete event.
    void reset();

private:
    void endLine(std::vector<RawEvent> &events);

    std::string pending;
    std::size_t lineStart = 0; ///< offset of the current line in pending
    std::string id; ///< of the incomplete event
};

} // namespace lavenderhall
