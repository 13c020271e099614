#include "routing/retrystate.h"
#include "streams/eventsplitter.h"
#include "streams/relay.h"
#include "streams/sse.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr const char *RequestId = "req1";

std::string event(int number, const std::string &data, const std::string &id = RequestId)
{
    return toWire({id + ":" + std::to_string(number), data});
}

std::vector<SseEvent> parse(SseParser &parser, std::string_view bytes)
{
    const auto result = toOutcome([&] { return parser.feed(bytes); });
    cr_assert(std::holds_alternative<std::vector<SseEvent>>(result));
    return std::get<std::vector<SseEvent>>(result);
}

/// Returns the events of a complete answer of \a tokens tokens.
std::string wholeAnswer(int tokens)
{
    std::string text;
    for (int number = 1; number <= tokens; ++number)
        text += event(number, "token " + std::to_string(number));
    return text + event(tokens + 1, StreamEndMark);
}

/// Engine whose streams are interrupted, lose, repeat and mix up events, as drawn from a seed.
class FaultyEngine
{
public:
    FaultyEngine(std::uint64_t seed, int tokens)
        : random(seed)
        , tokens(tokens)
    { }

    /// Feeds \a relay until it completes or \a retryState allows no further attempt. Returns what
    /// the caller received and the last step.
    std::pair<std::string, RelayStep> run(StreamRelay &relay, RetryState retryState)
    {
        std::string received;
        for (;;) {
            relay.onAttemptStarted();
            const RelayAction last = this->attemptOnce(relay, received);
            if (last.step != RelayStep::Interrupted || !retryState.mayResume({true, true, true}))
                return {received, last.step};
        }
    }

private:
    RelayAction attemptOnce(StreamRelay &relay, std::string &received)
    {
        const std::string bytes = this->streamFrom(static_cast<int>(relay.resumeAfter()));
        std::size_t offset = 0;
        while (offset < bytes.size()) {
            const std::size_t size
                = std::min<std::size_t>(1 + this->random(40), bytes.size() - offset);
            RelayAction action = relay.onBytes(std::string_view(bytes).substr(offset, size));
            received += action.forward;
            offset += size;
            if (action.step != RelayStep::Continue)
                return action;
            if (this->random(60) == 0)
                return relay.onAttemptEnded("cut");
        }
        return relay.onAttemptEnded("ended early");
    }

    std::string streamFrom(int after)
    {
        std::string bytes;
        // Some engines repeat the last events after a resume.
        const int first = std::max(1, after + 1 - static_cast<int>(this->random(3)));
        for (int number = first; number <= this->tokens + 1; ++number) {
            const std::string data = number > this->tokens ? std::string(StreamEndMark)
                                                           : "token " + std::to_string(number);
            switch (this->random(80)) {
            case 0: // an event of another caller's answer
                bytes += event(number, "secret of another", "req2");
                break;
            case 1: // a lost event
                continue;
            case 2: // a duplicated event
                bytes += event(number, data);
                break;
            default:
                break;
            }
            bytes += event(number, data);
        }
        return bytes;
    }

    pcg32 random;
    int tokens;
};

} // namespace

Test(sse, parses_events_however_the_bytes_are_split)
{
    const std::string text
        = ": comment\nid: a:1\ndata: one\ndata: two\n\ndata:x\r\n\r\nid: lost\n\n";
    const std::vector<SseEvent> expected{{"a:1", "one\ntwo"}, {"", "x"}};
    for (std::size_t split = 0; split <= text.size(); ++split) {
        SseParser parser;
        std::vector<SseEvent> events = parse(parser, std::string_view(text).substr(0, split));
        for (SseEvent &event : parse(parser, std::string_view(text).substr(split)))
            events.push_back(std::move(event));
        cr_assert(events == expected);
    }
}

Test(sse, an_event_without_its_blank_line_is_not_returned)
{
    SseParser parser;
    cr_assert(parse(parser, "data: half\n").empty());
}

Test(sse, an_event_over_the_size_limit_is_an_error)
{
    SseParser parser(100);
    const auto result = toOutcome([&] { return parser.feed("data: " + std::string(200, 'x')); });
    cr_assert(std::get<Error>(result).code == ErrorCode::LimitExceeded);
}

Test(sse, wire_format_parses_to_the_same_event)
{
    SseParser parser;
    const SseEvent event{"q:7", "line one\nline two"};
    cr_assert(parse(parser, toWire(event)) == std::vector<SseEvent>{event});
}

Test(relay, an_interrupted_stream_resumes_after_the_last_event)
{
    StreamRelay relay(RequestId);
    cr_assert(relay.onBytes(event(1, "a") + event(2, "b")).step == RelayStep::Continue);
    cr_assert(relay.onAttemptEnded("cut").step == RelayStep::Interrupted);
    cr_assert(relay.lastEventId() == "req1:2");
    relay.onAttemptStarted();
    const RelayAction action = relay.onBytes(event(2, "b") + event(3, "c") + event(4, "[DONE]"));
    cr_assert(action.step == RelayStep::Complete);
    cr_assert(action.forward == event(3, "c") + event(4, "[DONE]"));
}

Test(relay, an_event_of_another_request_is_never_forwarded)
{
    StreamRelay relay(RequestId);
    const RelayAction action = relay.onBytes(event(1, "a") + event(2, "x", "req11"));
    cr_assert(action.forward == event(1, "a"));
    cr_assert(action.step == RelayStep::Interrupted);
}

Test(relay, an_interruption_before_the_first_event_resumes_from_the_start)
{
    StreamRelay relay(RequestId);
    cr_assert(relay.onAttemptEnded("cut").step == RelayStep::Interrupted);
    cr_assert(relay.lastEventId().empty());
    cr_assert(relay.resumeAfter() == 0);
}

// Streams are interrupted and lose, repeat and mix up events. The caller must receive a prefix of
// the answer, and the last step must be Complete if and only if that is the whole answer.
Test(relay, ten_thousand_fault_schedules_end_complete_or_interrupted)
{
    constexpr int Schedules = 10'000;
    constexpr int Tokens = 30;
    const std::string whole = wholeAnswer(Tokens);
    int complete = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        StreamRelay relay(RequestId);
        const auto [received, last] = FaultyEngine(seed, Tokens).run(relay, RetryState(true, 4));
        cr_assert(whole.starts_with(received), "seed %lu: not a prefix of the answer",
                  static_cast<unsigned long>(seed));
        const bool isWhole = received == whole;
        cr_assert(isWhole == (last == RelayStep::Complete),
                  "seed %lu: the last step does not match the bytes",
                  static_cast<unsigned long>(seed));
        complete += isWhole ? 1 : 0;
    }
    // Guards against schedules that prove nothing because nearly all end in the same way.
    cr_assert(complete > Schedules / 10 && complete < Schedules * 99 / 100);
}

Test(eventsplitter, keeps_the_bytes_of_whole_events_however_the_input_is_split)
{
    const std::string input
        = "weights: 2\nid: 6\ndata: a\n\nid:12\r\ndata: b\r\n\r\n: note\n\nid: 18\nda";
    for (std::size_t piece = 1; piece <= input.size(); ++piece) {
        EventSplitter splitter;
        std::vector<RawEvent> events;
        for (std::size_t offset = 0; offset < input.size(); offset += piece) {
            for (RawEvent &event : splitter.feed(std::string_view(input).substr(offset, piece)))
                events.push_back(std::move(event));
        }
        cr_assert(events.size() == 3U);
        cr_assert(events[0] == RawEvent({"weights: 2\nid: 6\ndata: a\n\n", "6"}));
        cr_assert(events[1].id == "12");
        cr_assert(events[2].id.empty());
        cr_assert(splitter.incompleteEvent() == "id: 18\nda");
    }
    cr_assert(parseEventNumber("12") == 12);
    cr_assert(not(parseEventNumber("12x").has_value()));
}
