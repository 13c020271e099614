#include "http/answerlines.h"

#include <algorithm>

namespace lavenderhall::http {

namespace {

constexpr std::string_view ProtocolName = "HTTP/";

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// Whether \a text begins with a version and a status, such as "HTTP/1.1 200".
bool beginsWithStatus(std::string_view text)
{
    constexpr std::string_view Pattern = "HTTP/0.0 000"; // 0 stands for any digit
    return text.size() >= Pattern.size()
        && std::equal(Pattern.begin(), Pattern.end(), text.begin(),
                      [](char wanted, char c) { return wanted == '0' ? isDigit(c) : wanted == c; });
}

// Other codes belong to no class of answers: one below 100 would count as interim, and its body as
// the next answer.
bool isStatusLine(std::string_view line)
{
    constexpr std::size_t StatusStart = 9;
    constexpr std::size_t StatusEnd = 12;
    constexpr char FirstClass = '1'; // first digit of the code
    constexpr char LastClass = '5';
    return beginsWithStatus(line) && line[StatusStart] >= FirstClass
        && line[StatusStart] <= LastClass && (line.size() == StatusEnd || line[StatusEnd] == ' ');
}

/// Whether another answer begins inside \a line.
bool containsStatusLine(std::string_view line)
{
    for (std::size_t at = line.find(ProtocolName, 1); at != std::string_view::npos;
         at = line.find(ProtocolName, at + 1)) {
        if (beginsWithStatus(line.substr(at)))
            return true;
    }
    return false;
}

bool isNameCharacter(char c)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || isDigit(c) || Marks.find(c) != std::string_view::npos;
}

/// Whether \a line is "NAME: VALUE". One that goes on with an earlier line is not.
bool isHeaderLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && colon > 0
        && std::all_of(line.begin(), line.begin() + static_cast<long>(colon), isNameCharacter);
}

/// Whether the line of a chunk's size is that of the last one, which has no bytes.
bool isLastChunk(std::string_view line)
{
    const std::string_view digits = line.substr(0, line.find_first_of("; \t"));
    return digits.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

std::size_t AnswerLines::readHead(std::string_view bytes)
{
    std::size_t size = 0;
    while (size < bytes.size() && !this->malformed
           && (this->expected == Expected::StatusLine || this->expected == Expected::Header))
        size += this->readLine(bytes.substr(size));
    return size;
}

void AnswerLines::readFraming(std::string_view bytes)
{
    while (!bytes.empty() && !this->malformed)
        bytes.remove_prefix(this->readLine(bytes));
}

// A line ends with CR and LF, and neither of them stands anywhere else. This is known at the first
// byte behind a CR: the library may already take it for the end of the head.
std::size_t AnswerLines::readLine(std::string_view bytes)
{
    const std::size_t lineFeed = bytes.find('\n');
    const std::size_t size = lineFeed == std::string_view::npos ? bytes.size() : lineFeed;
    // The last byte that has arrived before may be a CR.
    const std::size_t uncheckedFrom = this->line.empty() ? 0 : this->line.size() - 1;
    this->line.append(bytes.substr(0, size));
    const std::size_t carriageReturn = this->line.find('\r', uncheckedFrom);
    const bool isEnded = lineFeed != std::string_view::npos;
    const bool hasReturnAtEnd = !this->line.empty() && carriageReturn == this->line.size() - 1;
    const bool hasReturnInside = carriageReturn != std::string::npos && !hasReturnAtEnd;
    this->malformed = hasReturnInside || (isEnded && !hasReturnAtEnd);
    if (!isEnded || this->malformed)
        return size;
    this->line.pop_back();
    this->onLine(this->line);
    this->line.clear();
    return size + 1;
}

void AnswerLines::onLine(std::string_view text)
{
    this->malformed = containsStatusLine(text);
    switch (this->expected) {
    case Expected::StatusLine:
        if (text.empty())
            return; // empty lines may stand in front of an answer
        this->malformed = this->malformed || !isStatusLine(text);
        this->expected = Expected::Header;
        return;
    case Expected::Header:
        if (text.empty())
            this->expected = Expected::ChunkSize;
        else
            this->malformed = this->malformed || !isHeaderLine(text);
        return;
    case Expected::ChunkSize:
        this->expected = isLastChunk(text) ? Expected::Trailer : Expected::ChunkEnd;
        return;
    case Expected::ChunkEnd:
        this->malformed = this->malformed || !text.empty();
        this->expected = Expected::ChunkSize;
        return;
    case Expected::Trailer:
        if (text.empty())
            this->expected = Expected::Nothing;
        else
            this->malformed = this->malformed || !isHeaderLine(text);
        return;
    case Expected::Nothing:
        this->malformed = true;
        return;
    }
}

} // namespace lavenderhall::http
