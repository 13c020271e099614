#pragma once

#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Incremental HTTP/1.1 parser over http_parser, for requests and answers.
namespace lavenderhall::http {

enum class MessageKind { Request, Response };

/// Start line and headers of a message.
struct MessageHead
{
    Method method = Method::Get; ///< of a request
    std::string target; ///< of a request: path and query as sent
    int status = 0; ///< of an answer
    Headers headers;
    bool isKeepAlive = false;
    bool isChunked = false;
    bool hasLength = false;
    std::uint64_t length = 0; ///< if hasLength
};

struct ParserHandlers
{
    /// Returns whether the message has no body whatever its headers say (answers to HEAD).
    std::function<bool(const MessageHead &head)> onHead;
    std::function<void(std::string_view data)> onBody;
};

enum class ParseState {
    NeedsMore,
    Complete, ///< one message is whole; bytes beyond it have not been looked at
    Bad, ///< the bytes are no HTTP
    HeadTooLarge,
};

struct ParseStep
{
    std::size_t consumed = 0;
    ParseState state = ParseState::NeedsMore;
};

class Parser
{
public:
    Parser(MessageKind kind, ParserHandlers handlers);
    ~Parser();
    Parser(const Parser &) = delete;
    Parser &operator=(const Parser &) = delete;

    void setMaxHeadBytes(std::size_t bytes) { this->maxHeadBytes = bytes; }
    /// Reads on, at most to the end of one message. The next call begins the next message.
    ParseStep feed(std::string_view data);
    /// The stream has ended. Returns whether that completes a message without a length.
    bool finishAtEof();
    /// Whether a message has begun and is not whole.
    bool isInsideMessage() const { return this->inside; }

private:
    struct State;
    std::unique_ptr<State> state;
    std::size_t maxHeadBytes = 80U << 10U;
    bool inside = false;
};

} // namespace lavenderhall::http
