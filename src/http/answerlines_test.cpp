#include "http/parser.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string>
#include <vector>

using namespace lavenderhall::http;

namespace {

/// What a parser has made of the bytes of one answer.
struct Parsed
{
    ParseState state = ParseState::NeedsMore;
    int heads = 0;
    std::string body;
    std::size_t consumed = 0;

    bool operator==(const Parsed &) const = default;
};

Parsed parse(std::string_view bytes, std::size_t pieceSize)
{
    Parsed parsed;
    Parser parser(MessageKind::Response,
                  {[&](const MessageHead &) {
                       ++parsed.heads;
                       return false;
                   },
                   [&](std::string_view data) { parsed.body.append(data); }});
    while (parsed.state == ParseState::NeedsMore && parsed.consumed < bytes.size()) {
        const ParseStep step = parser.feed(bytes.substr(parsed.consumed, pieceSize));
        parsed.state = step.state;
        parsed.consumed += step.consumed;
    }
    return parsed;
}

const std::string Status = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Status + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against two heads that are read as one, wherever the first one was cut.
Test(answerlines, a_head_with_bytes_that_are_not_of_one_answer_is_malformed)
{
    const std::string rest = "Content-Length: 0\r\n\r\n";
    const std::vector<std::string> answers{
        "HTTP/1.1 503 Servi" + Status + rest,
        "HTTP/1.1 503 " + Status + rest,
        "HTTP/1.1 503 X\r\nNot-Executed: 1" + Status + rest,
        "HTTP/1.1 503 X\r\nNot-Executed:" + Status + rest,
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r" + Status + rest,
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + Status + rest,
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r" + Status + rest,
        "HTTP/1.1 503 X\r\nNot-Executed: 1\n" + rest,
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n on\r\n" + rest,
        "HTTP/1.1 503 X\r\nNot Executed: 1\r\n" + rest,
        "HTTP/1.1 503 X\r\n: 1\r\n" + rest,
        "HTTP/1.1 503 X\r\nVia: http/1.0 HTTP/1.0 404 none\r\n" + rest,
        "HXTP/1.1 200 OK\r\n" + rest,
        "HHTTP/1.1 200 OK\r\n" + rest,
        "HTTP/1.1 200 OK\r" + rest,
        "HTTP/1.1 000 Odd\r\n" + rest,
        "HTTP/1.1 000\r\n" + rest + Status + rest,
        "HTTP/1.1 099 Odd\r\n" + rest,
        "HTTP/1.1 600 Odd\r\n" + rest,
        "HTTP/1.1 999 Odd\r\n" + rest,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n" + rest,
        "HTTP/1.1 200 OK\n" + rest,
        "HTTP/1.1 100 Continue\r\nA: b" + Status + "\r\n" + Status + rest,
    };
    for (const std::string &answer : answers) {
        for (std::size_t pieceSize = 1; pieceSize <= answer.size(); ++pieceSize) {
            const Parsed parsed = parse(answer, pieceSize);
            cr_assert(parsed.state == ParseState::Malformed, "in pieces of %zu: %s", pieceSize,
                      answer.c_str());
            cr_assert(parsed.heads == 0);
        }
    }
}

// Guards against memory for a line without end. The library bounds lines, also behind the head.
Test(answerlines, a_line_without_end_is_malformed)
{
    const std::string endless(1U << 20U, 'x');
    constexpr std::size_t PieceSize = 4096;
    for (const std::string &answer : {Status + "A: " + endless, Chunked + "3;" + endless,
                                      Chunked + "3\r\nabc\r\n0\r\nA: " + endless}) {
        const Parsed parsed = parse(answer, PieceSize);
        cr_assert(parsed.state == ParseState::Malformed
                  || parsed.state == ParseState::HeadTooLarge);
        cr_assert(parsed.consumed < endless.size() / 2);
    }
}

// Guards against a body that foreign bytes complete.
Test(answerlines, a_chunked_body_with_bytes_that_are_not_of_one_answer_is_malformed)
{
    const std::vector<std::string> answers{
        Chunked + "3\r\nabcXX0\r\n\r\n",
        Chunked + "3\r\nabc\rX0\r\n\r\n",
        Chunked + "3\rXabc\r\n0\r\n\r\n",
        Chunked + "3\nabc\r\n0\r\n\r\n",
        Chunked + "3;" + Status + "abc\r\n0\r\n\r\n",
        Chunked + "3\r\nabc\r\n0\r\nA: b" + Status + "\r\n",
        Chunked + "3\r\nabc\r\n0\r\nA b: c\r\n\r\n",
        Chunked + "3\r\nabc\r\n0\r\n\rH",
        Chunked + "3\r\nabc\r\n0\rX\r\n\r\n",
    };
    for (const std::string &answer : answers) {
        for (std::size_t pieceSize = 1; pieceSize <= answer.size(); ++pieceSize)
            cr_assert(parse(answer, pieceSize).state == ParseState::Malformed,
                      "in pieces of %zu: %s", pieceSize, answer.c_str());
    }
}

Test(answerlines, proper_answers_are_read_whole)
{
    const std::vector<std::string> answers{
        Status + "Content-Length: 3\r\n\r\nabc",
        "\r\n" + Status + "Content-Length: 3\r\n\r\nabc",
        "HTTP/1.1 100 Continue\r\n\r\n" + Status + "Content-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.0 200 \r\nContent-Length:3\r\nServer: BaseHTTP/0.6 Python/3.11\r\nX:\r\n\r\nabc",
        Status + "Via: 1.1 a, HTTP/1.1 b\r\nX-Text: caf\xc3\xa9\r\nContent-Length: 3\r\n\r\nabc",
        Chunked + "3\r\nabc\r\n0\r\n\r\n",
        Chunked + "1;name=value\r\na\r\n02\r\nbc\r\n000\r\nTrailer: x\r\n\r\n",
        Status + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0;x\r\n\r\n",
    };
    for (const std::string &answer : answers) {
        for (std::size_t pieceSize = 1; pieceSize <= answer.size(); ++pieceSize) {
            const Parsed expected{ParseState::Complete, 1, "abc", answer.size()};
            cr_assert(parse(answer, pieceSize) == expected, "in pieces of %zu: %s", pieceSize,
                      answer.c_str());
        }
    }
}

// A body may consist of anything, also of another answer.
Test(answerlines, a_body_that_reads_like_an_answer_is_a_body)
{
    const std::string body = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n\n\r";
    const std::string framed
        = Status + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string chunked = Chunked + "25\r\n" + body + "\r\n0\r\n\r\n";
    cr_assert(body.size() == 0x25);
    for (std::size_t pieceSize = 1; pieceSize <= chunked.size(); ++pieceSize) {
        cr_assert(parse(framed, pieceSize).body == body);
        cr_assert(parse(framed, pieceSize).state == ParseState::Complete);
        cr_assert(parse(chunked, pieceSize).body == body);
        cr_assert(parse(chunked, pieceSize).state == ParseState::Complete);
    }
}
