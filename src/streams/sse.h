#pragma once

#include "base/errors.h"

#include <string>
#include <string_view>
#include <vector>

/// Server-sent events: parser and serialisation.
namespace lavenderhall {

/// The fields of an event that are used here; others are ignored.
struct SseEvent
{
    std::string id; ///< "" if the event has none
    std::string data; ///< lines separated by LF

    bool operator==(const SseEvent &) const = default;
};

/// Returns \a event in the wire format, with the blank line that ends it.
std::string toWire(const SseEvent &event);

/// Incremental parser of an event stream. An event is returned only when the blank line that ends
/// it has arrived, so an interrupted stream never yields an incomplete event.
class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes = 1U << 20U)
        : maxEventBytes(maxEventBytes)
    { }

    /// Parses \a bytes and returns the events that they complete. An event longer than
    /// \a maxEventBytes is a LimitExceeded error, after which the parser must not be used.
    Result<std::vector<SseEvent>> feed(std::string_view bytes);

private:
    void processLine(std::string_view line, std::vector<SseEvent> &events);

    std::size_t maxEventBytes;
    std::string line; ///< the incomplete last line
    std::string data; ///< of the incomplete event
    std::string id; ///< of the incomplete event
    bool hasData = false; ///< the incomplete event has a data line, possibly an empty one
    bool endedWithCarriageReturn = false; ///< the last byte was a CR
};

} // namespace lavenderhall
