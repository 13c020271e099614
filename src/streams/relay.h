#pragma once

#include "base/clock.h"
#include "streams/sse.h"

#include <cstdint>
#include <string>
#include <vector>

/// The logic of one streamed answer: what goes to the caller, and what to do after a cut.
namespace lavenderhall {

/// What the router is to do next with a stream.
enum class RelayStep {
    Continue, ///< go on reading
    Complete, ///< the whole answer has been forwarded
    Interrupted, ///< another attempt must go on after resumeAfter(), or the caller be told
};

struct RelayAction
{
    RelayStep step = RelayStep::Continue;
    std::string forward; ///< bytes for the caller, before the step is taken
    std::string reason; ///< of the interruption
};

/// Relays one answer, over as many attempts as it takes. Each event must carry the request's id
/// and the next number in order, "REQUEST:NUMBER" from 1; an event of another request or an
/// old number never reaches the caller. Whether there is another attempt is not decided here.
class StreamRelay
{
public:
    explicit StreamRelay(std::string requestId)
        : requestId(std::move(requestId))
    { }

    /// Takes in what the engine of the current attempt sent.
    RelayAction onBytes(std::string_view bytes);
    /// The attempt ended, whether cleanly or not.
    RelayAction onAttemptEnded(std::string_view reason);
    /// A new attempt begins; what an older one still sends must not be given in any more.
    void onAttemptStarted();

    /// Number of the last event forwarded; an engine resumes after it.
    std::int64_t resumeAfter() const { return this->forwarded; }
    bool isComplete() const { return this->complete; }
    /// Value of the Last-Event-ID header for a resumed attempt, "" for the first.
    std::string lastEventId() const;

private:
    RelayAction take(const SseEvent &event);

    std::string requestId;
    std::int64_t forwarded = 0;
    bool complete = false;
    SseParser parser;
};

/// The data of the event that ends a whole answer.
inline constexpr const char *StreamEndMark = "[DONE]";

} // namespace lavenderhall
