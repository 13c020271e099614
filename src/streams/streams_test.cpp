#include "routing/retrystate.h"
#include "streams/eventcutter.h"
#include "streams/relay.h"
#include "streams/sse.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

constexpr const char *Id = "req1";

std::string event(int number, const std::string &data, const std::string &id = Id)
{
    return toWire({id + ":" + std::to_string(number), data});
}

std::vector<SseEvent> parse(SseParser &parser, std::string_view bytes)
{
    const auto result = attempt([&] { return parser.feed(bytes); });
    cr_assert(std::holds_alternative<std::vector<SseEvent>>(result));
    return std::get<std::vector<SseEvent>>(result);
}

/// The events that a whole answer of \a tokens tokens consists of.
std::string wholeAnswer(int tokens)
{
    std::string text;
    for (int number = 1; number <= tokens; ++number)
        text += event(number, "token " + std::to_string(number));
    return text + event(tokens + 1, StreamEndMark);
}

/// An engine whose stream suffers from faults drawn from a seed.
class FaultyEngine
{
public:
    FaultyEngine(std::uint64_t seed, int tokens)
        : random(seed)
        , tokens(tokens)
    { }

    /// Runs \a relay to its end, resuming while \a run allows; returns what the caller got and
    /// the last step taken.
    std::pair<std::string, RelayStep> run(StreamRelay &relay, RetryState run)
    {
        std::string received;
        for (;;) {
            relay.onAttemptStarted();
            const RelayAction last = this->attemptOnce(relay, received);
            if (last.step != RelayStep::Interrupted || !run.mayResume({true, true, true}))
                return {received, last.step};
        }
    }

private:
    RelayAction attemptOnce(StreamRelay &relay, std::string &received)
    {
        const std::string bytes = this->streamFrom(static_cast<int>(relay.resumeAfter()));
        std::size_t at = 0;
        while (at < bytes.size()) {
            const std::size_t size = std::min<std::size_t>(1 + this->random(40), bytes.size() - at);
            RelayAction action = relay.onBytes(std::string_view(bytes).substr(at, size));
            received += action.forward;
            at += size;
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
            case 2: // a doubled event
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

Test(sse, events_come_out_whole_however_the_bytes_are_cut)
{
    const std::string text
        = ": comment\nid: a:1\ndata: one\ndata: two\n\ndata:x\r\n\r\nid: lost\n\n";
    const std::vector<SseEvent> expected{{"a:1", "one\ntwo"}, {"", "x"}};
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        SseParser parser;
        std::vector<SseEvent> events = parse(parser, std::string_view(text).substr(0, cut));
        for (SseEvent &more : parse(parser, std::string_view(text).substr(cut)))
            events.push_back(std::move(more));
        cr_assert(events == expected);
    }
}

Test(sse, an_event_without_its_blank_line_does_not_come_out)
{
    SseParser parser;
    cr_assert(parse(parser, "data: half\n").empty());
}

Test(sse, an_endless_event_is_an_error)
{
    SseParser parser(100);
    const auto result = attempt([&] { return parser.feed("data: " + std::string(200, 'x')); });
    cr_assert(std::get<Error>(result).code == ErrorCode::LimitExceeded);
}

Test(sse, wire_form_parses_back)
{
    SseParser parser;
    const SseEvent event{"q:7", "line one\nline two"};
    cr_assert(parse(parser, toWire(event)) == std::vector<SseEvent>{event});
}

Test(relay, a_cut_is_resumed_after_the_last_event)
{
    StreamRelay relay(Id);
    cr_assert(relay.onBytes(event(1, "a") + event(2, "b")).step == RelayStep::Continue);
    cr_assert(relay.onAttemptEnded("cut").step == RelayStep::Interrupted);
    cr_assert(relay.lastEventId() == "req1:2");
    relay.onAttemptStarted();
    const RelayAction action = relay.onBytes(event(2, "b") + event(3, "c") + event(4, "[DONE]"));
    cr_assert(action.step == RelayStep::Complete);
    cr_assert(action.forward == event(3, "c") + event(4, "[DONE]"));
}

Test(relay, another_requests_event_is_never_forwarded)
{
    StreamRelay relay(Id);
    const RelayAction action = relay.onBytes(event(1, "a") + event(2, "x", "req11"));
    cr_assert(action.forward == event(1, "a"));
    cr_assert(action.step == RelayStep::Interrupted);
}

Test(relay, an_interruption_before_the_first_event_resumes_from_the_start)
{
    StreamRelay relay(Id);
    cr_assert(relay.onAttemptEnded("cut").step == RelayStep::Interrupted);
    cr_assert(relay.lastEventId().empty());
    cr_assert(relay.resumeAfter() == 0);
}

Test(relay, ten_thousand_fault_schedules_give_the_whole_answer_or_an_explicit_end)
{
    constexpr int Schedules = 10'000;
    constexpr int Tokens = 30;
    const std::string whole = wholeAnswer(Tokens);
    int complete = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        StreamRelay relay(Id);
        const auto [received, last] = FaultyEngine(seed, Tokens).run(relay, RetryState(true, 4));
        cr_assert(whole.starts_with(received), "seed %lu: not a prefix of the answer",
                  static_cast<unsigned long>(seed));
        const bool isWhole = received == whole;
        cr_assert(isWhole == (last == RelayStep::Complete), "seed %lu: end not explicit",
                  static_cast<unsigned long>(seed));
        complete += isWhole ? 1 : 0;
    }
    // The schedules are of use only if many end each way.
    cr_assert(complete > Schedules / 10 && complete < Schedules * 99 / 100);
}

Test(eventcutter, cuts_whole_events_and_keeps_their_bytes_whatever_the_pieces)
{
    const std::string input
        = "weights: 2\nid: 6\ndata: a\n\nid:12\r\ndata: b\r\n\r\n: note\n\nid: 18\nda";
    for (std::size_t piece = 1; piece <= input.size(); ++piece) {
        EventCutter cutter;
        std::vector<RawEvent> events;
        for (std::size_t at = 0; at < input.size(); at += piece) {
            for (RawEvent &event : cutter.feed(std::string_view(input).substr(at, piece)))
                events.push_back(std::move(event));
        }
        cr_assert(events.size() == 3U);
        cr_assert(events[0] == RawEvent({"weights: 2\nid: 6\ndata: a\n\n", "6"}));
        cr_assert(events[1].id == "12");
        cr_assert(events[2].id.empty());
        cr_assert(cutter.rest() == "id: 18\nda");
    }
    cr_assert(eventNumber("12") == 12);
    cr_assert(not(eventNumber("12x").has_value()));
}
