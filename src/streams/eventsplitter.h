#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Cuts a stream of events into whole ones without changing a byte of them.
namespace lavenderhall {

struct RawEvent
{
    std::string bytes; ///< with the closing blank line
    std::string id; ///< "" without one

    bool operator==(const RawEvent &) const = default;
};

/// Returns the number that the id \a text is, if it is one.
std::optional<std::int64_t> parseEventNumber(std::string_view text);

class EventSplitter
{
public:
    /// Takes in \a bytes and returns the events that they complete.
    std::vector<RawEvent> feed(std::string_view bytes);
    /// Bytes of an event that is not whole.
    const std::string &incompleteEvent() const { return this->pending; }
    void reset();

private:
    void endLine(std::vector<RawEvent> &events);

    std::string pending;
    std::size_t lineStart = 0;
    std::string id;
};

} // namespace lavenderhall
