#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// The lines of an answer around its body: status line, headers, chunk sizes and trailers.
namespace lavenderhall::http {

/// Checks the lines of one answer, which arrive in pieces of any size.
///
/// A server may send bytes behind a complete answer. The beginning of another answer then stands in
/// front of the next one, in the same bytes, and http_parser reads the two as one: it takes a
/// status line inside a line, and any bytes as the end of a line or of a chunk.
class AnswerLines
{
public:
    /// Begins with the next answer.
    void reset() { *this = {}; }
    /// Reads bytes from the status line on. Returns how many of them belong to the head.
    std::size_t readHead(std::string_view bytes);
    /// Reads bytes behind the head that are not part of the body.
    void readFraming(std::string_view bytes);
    /// Returns whether a line cannot be one of a single answer.
    bool isMalformed() const { return this->malformed; }

private:
    /// The kind of line that comes next.
    enum class Expected { StatusLine, Header, ChunkSize, ChunkEnd, Trailer, Nothing };

    /// Reads \a bytes up to the end of a line. Returns how many that were.
    std::size_t readLine(std::string_view bytes);
    void onLine(std::string_view text);

    std::string line; ///< as far as it has arrived
    Expected expected = Expected::StatusLine;
    bool malformed = false;
};

} // namespace lavenderhall::http
