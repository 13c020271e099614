#pragma once

#include "base/clock.h"
#include "streams/sse.h"

#include <cstdint>
#include <string>
#include <vector>

/// Relays one streamed answer to the caller, across attempts that are interrupted.
namespace lavenderhall {

/// What the router has to do next with a stream.
enum class RelayStep {
    Continue, ///< read on
    Complete, ///< the complete answer has been forwarded
    Interrupted, ///< start an attempt that resumes after resumeAfter(), or end with an error
};

/// What to forward and what to do next, as returned by StreamRelay.
struct RelayAction
{
    RelayStep step = RelayStep::Continue;
    std::string forward; ///< bytes to send to the caller before the step is performed
    std::string reason; ///< of an interruption
};

/// State of one relayed answer. The id of each event must be "REQUEST:NUMBER" with the request's
/// id and consecutive numbers from 1. Events of another request and repeated events are never
/// forwarded. The owner decides whether another attempt is made.
class StreamRelay
{
public:
    explicit StreamRelay(std::string requestId)
        : requestId(std::move(requestId))
    { }

    /// Processes \a bytes that the engine of the current attempt has sent.
    RelayAction onBytes(std::string_view bytes);
    /// The current attempt's connection or answer ended, with or without an error.
    RelayAction onAttemptEnded(std::string_view reason);
    /// A new attempt starts. Bytes of earlier attempts must not be passed to onBytes() any more.
    void onAttemptStarted();

    /// Number of the last forwarded event, after which an engine resumes; 0 if there is none.
    std::int64_t resumeAfter() const { return this->lastForwarded; }
    /// Whether the event that ends the answer has been forwarded.
    bool isComplete() const { return this->complete; }
    /// Value of the Last-Event-ID header for a resumed attempt, "" for the first.
    std::string lastEventId() const;

private:
    RelayAction onEvent(const SseEvent &event);

    std::string requestId;
    std::int64_t lastForwarded = 0;
    bool complete = false;
    SseParser parser;
};

/// Data of the event that ends a complete answer.
inline constexpr const char *StreamEndMark = "[DONE]";

} // namespace lavenderhall
