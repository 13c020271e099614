#pragma once

#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Incremental HTTP/1.1 parser for requests and answers, over the library http_parser.
namespace lavenderhall::http {

enum class MessageKind { Request, Response };

/// Start line and headers of a message.
struct MessageHead
{
    Method method = Method::Get; ///< of a request
    std::string target; ///< of a request: path and query as sent
    int status = 0; ///< of an answer
    Headers headers;
    bool isKeepAlive = false; ///< the connection may be used for another message
    bool isChunked = false;
    bool hasContentLength = false;
    std::uint64_t contentLength = 0; ///< of the body in bytes, if hasContentLength
};

/// Called from Parser::feed(). Interim answers (status 1xx) are skipped.
struct ParserHandlers
{
    /// Called with the start line and headers. Returns true if the message has no body even if its
    /// headers announce one, as in an answer to HEAD.
    /// The handler may move out of the head what it keeps.
    std::function<bool(MessageHead &head)> onHead;
    /// Called with each part of the body, without the chunk framing.
    std::function<void(std::string_view data)> onBody;
};

/// State of the parser after a call of feed().
enum class ParseState {
    NeedsMore,
    Complete, ///< one message is complete; the bytes behind it have not been read
    Malformed, ///< the bytes are not HTTP/1.1
    HeadTooLarge, ///< too many bytes or too many lines
};

/// Limit on the header lines of a message. Within 16 KiB, only lines that are shorter than 16 bytes
/// on average reach it.
inline constexpr std::size_t MaxHeaderLines = 1024;
/// Limit on the interim answers before an answer.
inline constexpr int MaxInterimAnswers = 64;

/// Result of Parser::feed().
struct ParseStep
{
    std::size_t consumed = 0; ///< bytes read of the input
    ParseState state = ParseState::NeedsMore;
};

/// Parses the messages of one connection, one after the other.
class Parser
{
public:
    Parser(MessageKind kind, ParserHandlers handlers);
    ~Parser();
    Parser(const Parser &) = delete;
    Parser &operator=(const Parser &) = delete;

    /// Sets the limit on start line and headers together, in bytes.
    void setMaxHeadBytes(std::size_t bytes) { this->maxHeadBytes = bytes; }
    /// Parses \a data, at most to the end of the current message. The caller passes the bytes that
    /// were not consumed to the next call, which begins the next message.
    ParseStep feed(std::string_view data);
    /// Tells the parser that the stream has ended. Returns whether this completes the current
    /// message: the end of the stream ends an answer that has neither a length nor chunks.
    bool finishAtEof();
    /// Returns whether a message has begun and is not complete.
    bool isInsideMessage() const { return this->isInMessage; }
    /// Returns the memory that the unfinished head takes.
    std::size_t heldBytes() const;

private:
    /// Parses \a data of an answer, at most to the end of its head.
    ParseStep feedAnswer(std::string_view data);
    /// Passes \a data to the library.
    ParseStep execute(std::string_view data);
    /// Starts with a new message unless one has begun.
    void beginMessage();

    struct State;
    std::unique_ptr<State> state;
    std::size_t maxHeadBytes = 80U << 10U; ///< 80 KiB, the default limit of http_parser
    bool isInMessage = false;
};

} // namespace lavenderhall::http
