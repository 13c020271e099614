#include "http/parser.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string>

using namespace lavenderhall::http;

namespace {

constexpr std::size_t PieceBytes = 100;

/// What a parser made of a message.
struct Read
{
    ParseState state = ParseState::NeedsMore;
    MessageHead head;
    std::size_t mostHeldBytes = 0;
};

/// Reads one message that arrives in pieces.
Read readMessage(MessageKind kind, const std::string &text)
{
    Read read;
    Parser parser(kind,
                  {[&](MessageHead &head) {
                       read.head = std::move(head);
                       return false;
                   },
                   {}});
    std::string_view rest = text;
    while (!rest.empty() && read.state == ParseState::NeedsMore) {
        const std::string_view piece = rest.substr(0, PieceBytes);
        rest.remove_prefix(piece.size());
        read.state = parser.feed(piece).state;
        read.mostHeldBytes = std::max(read.mostHeldBytes, parser.heldBytes());
    }
    return read;
}

std::string requestWithLines(std::size_t count, const std::string &line)
{
    std::string text = "GET /x HTTP/1.1\r\n";
    for (std::size_t number = 0; number < count; ++number)
        text += line;
    return text + "\r\n";
}

} // namespace

// Guards against a limit that ordinary headers within max_header_bytes (16,384) reach.
Test(headlimits, a_full_head_of_ordinary_lines_passes)
{
    const Read read = readMessage(MessageKind::Request, requestWithLines(1023, "X-Ab: values\r\n"));
    cr_assert(read.state == ParseState::Complete);
    cr_assert(read.head.headers.size() == 1023U);
    const Header expected{"x-ab", "values"};
    cr_assert(read.head.headers.front() == expected);
    cr_assert(read.head.headers.back() == expected);
}

// Guards against heads whose lines take many times their bytes.
Test(headlimits, too_many_lines_are_refused_and_held_in_little_memory)
{
    const Read read
        = readMessage(MessageKind::Request, requestWithLines(MaxHeaderLines + 1, "a:\r\n"));
    cr_assert(read.state == ParseState::HeadTooLarge);
    cr_assert(read.mostHeldBytes < MaxHeaderLines * 16);
    const Read most = readMessage(MessageKind::Request, requestWithLines(MaxHeaderLines, "a:\r\n"));
    cr_assert(most.state == ParseState::Complete);
    cr_assert(most.head.headers.size() == MaxHeaderLines);
}

Test(headlimits, answers_have_the_same_limit)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (std::size_t number = 0; number <= MaxHeaderLines; ++number)
        text += "a: b\r\n";
    cr_assert(readMessage(MessageKind::Response, text + "\r\n").state == ParseState::HeadTooLarge);
}

// Guards against a server that sends interim answers without end.
Test(headlimits, interim_answers_are_limited)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    std::string text;
    for (int number = 0; number < MaxInterimAnswers; ++number)
        text += interim;
    cr_assert(readMessage(MessageKind::Response, text + answer).state == ParseState::Complete);
    text += interim;
    cr_assert(readMessage(MessageKind::Response, text + answer).state == ParseState::Malformed);
}
