#include "http/parser.h"

#include "http/answerlines.h"

#include <algorithm>
#include <http_parser.h>
#include <iterator>

namespace lavenderhall::http {

namespace {

constexpr int FirstFinalStatus = 200; ///< lower ones are interim answers, e.g. 100 Continue
constexpr int NoContent = 204;
constexpr int NotModified = 304;

Method methodOf(unsigned method)
{
    switch (method) {
    case HTTP_GET:
        return Method::Get;
    case HTTP_HEAD:
        return Method::Head;
    case HTTP_POST:
        return Method::Post;
    case HTTP_PUT:
        return Method::Put;
    case HTTP_PATCH:
        return Method::Patch;
    case HTTP_DELETE:
        return Method::Delete;
    case HTTP_OPTIONS:
        return Method::Options;
    default:
        return Method::Other;
    }
}

} // namespace

/// State of the http_parser library, and of the message that it is reading.
struct Parser::State
{
    http_parser parser{};
    MessageKind kind = MessageKind::Request;
    ParserHandlers handlers;
    MessageHead head;
    AnswerLines lines; ///< of an answer
    /// Behind the head of an answer: end of the bytes that are checked or part of the body.
    const char *checkedUntil = nullptr;
    /// Names and values of the header lines, one behind the other, until the head is complete. A
    /// Header for each line would take many times the bytes of a short one.
    std::string lineText;
    struct LineEnds
    {
        std::uint32_t name = 0; ///< end of the name in lineText
        std::uint32_t value = 0; ///< end of the value
    };
    std::vector<LineEnds> lineEnds;
    int interimAnswers = 0; ///< before the current answer
    std::size_t headBytes = 0;
    bool isInHead = true;
    bool hasTooManyLines = false;
    bool isNewHeader = true; ///< the next part of a header name begins a new header
    bool isComplete = false;

    /// Returns the state that owns \a parser.
    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    void reset()
    {
        this->head = {};
        this->lines.reset();
        this->lineText.clear();
        this->lineEnds.clear();
        this->hasTooManyLines = false;
        this->headBytes = 0;
        this->isInHead = true;
        this->isNewHeader = true;
        this->isComplete = false;
    }

    /// Builds the headers of the complete head, and frees the memory of the unfinished one.
    void takeHeaders()
    {
        const std::string_view text = this->lineText;
        std::size_t start = 0;
        this->head.headers.reserve(this->lineEnds.size());
        for (const LineEnds &line : this->lineEnds) {
            this->head.headers.push_back(
                {std::string(text.substr(start, line.name - start)),
                 std::string(text.substr(line.name, line.value - line.name))});
            start = line.value;
        }
        std::string().swap(this->lineText);
        std::vector<LineEnds>().swap(this->lineEnds);
    }

    /// Returns 1 to tell the library that the message has no body, or 0.
    int onHeadersComplete()
    {
        this->isInHead = false;
        this->takeHeaders();
        this->head.method = methodOf(this->parser.method);
        this->head.status = static_cast<int>(this->parser.status_code);
        this->head.isKeepAlive = http_should_keep_alive(&this->parser) != 0;
        this->head.isChunked = (this->parser.flags & F_CHUNKED) != 0;
        this->head.hasContentLength = (this->parser.flags & F_CONTENTLENGTH) != 0;
        this->head.contentLength = this->head.hasContentLength ? this->parser.content_length : 0;
        if (this->isInterim())
            return 1;
        const bool hasNoBody = this->handlers.onHead && this->handlers.onHead(this->head);
        return hasNoBody || this->isWithoutBody() ? 1 : 0;
    }

    // Such an answer ends with its head. A length in it is that of the body which another status
    // would have, but the library would wait for it.
    bool isWithoutBody() const
    {
        return this->kind == MessageKind::Response
            && (this->head.status == NoContent || this->head.status == NotModified);
    }

    /// Checks the bytes of an answer between the last part of its body and \a end. Returns whether
    /// they are in order.
    bool checkFraming(const char *end)
    {
        if (this->kind != MessageKind::Response || !this->checkedUntil)
            return true;
        this->lines.readFraming(
            {this->checkedUntil, static_cast<std::size_t>(end - this->checkedUntil)});
        this->checkedUntil = end;
        return !this->lines.isMalformed();
    }

    bool isInterim() const
    {
        return this->kind == MessageKind::Response && this->head.status < FirstFinalStatus;
    }
};

namespace {

// Returns the callbacks for the library. It may call them several times for one URL or header, with
// a part of the text each. A template, as Parser::State is private.
template <typename State> http_parser_settings makeSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser *parser, const char *data, std::size_t length) {
        State::of(parser).head.target.append(data, length);
        return 0;
    };
    settings.on_header_field = [](http_parser *parser, const char *data, std::size_t length) {
        State &state = State::of(parser);
        if (!state.isInHead)
            return 0; // trailers behind a chunked body are ignored
        if (state.isNewHeader && state.lineEnds.size() == MaxHeaderLines) {
            state.hasTooManyLines = true;
            return 1;
        }
        if (state.isNewHeader)
            state.lineEnds.emplace_back();
        state.isNewHeader = false;
        std::transform(data, data + length, std::back_inserter(state.lineText),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto end = static_cast<std::uint32_t>(state.lineText.size());
        state.lineEnds.back() = {end, end};
        return 0;
    };
    settings.on_header_value = [](http_parser *parser, const char *data, std::size_t length) {
        State &state = State::of(parser);
        if (!state.isInHead)
            return 0;
        state.isNewHeader = true;
        state.lineText.append(data, length);
        state.lineEnds.back().value = static_cast<std::uint32_t>(state.lineText.size());
        return 0;
    };
    settings.on_headers_complete
        = [](http_parser *parser) { return State::of(parser).onHeadersComplete(); };
    settings.on_body = [](http_parser *parser, const char *data, std::size_t length) {
        State &state = State::of(parser);
        if (!state.checkFraming(data))
            return 1;
        if (state.checkedUntil)
            state.checkedUntil = data + length;
        if (state.handlers.onBody && !state.isInterim())
            state.handlers.onBody({data, length});
        return 0;
    };
    settings.on_message_complete = [](http_parser *parser) {
        State &state = State::of(parser);
        if (state.isInterim()) {
            state.reset();
            return ++state.interimAnswers > MaxInterimAnswers ? 1 : 0;
        }
        state.interimAnswers = 0;
        state.isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

} // namespace

Parser::Parser(MessageKind kind, ParserHandlers handlers)
    : state(std::make_unique<State>())
{
    this->state->kind = kind;
    this->state->handlers = std::move(handlers);
    http_parser_init(&this->state->parser,
                     kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->state->parser.data = this->state.get();
}

Parser::~Parser() = default;

ParseStep Parser::feed(std::string_view data)
{
    if (this->state->kind == MessageKind::Request)
        return this->execute(data);
    ParseStep step;
    do {
        const std::string_view rest = data.substr(step.consumed);
        const ParseStep next = this->feedAnswer(rest);
        step = {step.consumed + next.consumed, next.state};
    } while (step.state == ParseState::NeedsMore && step.consumed < data.size());
    return step;
}

// The library gets the head of an answer after it has been checked, and the rest by itself.
ParseStep Parser::feedAnswer(std::string_view data)
{
    this->beginMessage();
    State &answer = *this->state;
    const bool isHead = answer.isInHead;
    const std::string_view piece = isHead ? data.substr(0, answer.lines.readHead(data)) : data;
    if (answer.lines.isMalformed())
        return {0, ParseState::Malformed};
    answer.checkedUntil = isHead ? nullptr : piece.data();
    const ParseStep step = this->execute(piece);
    if (!answer.checkFraming(piece.data() + step.consumed))
        return {step.consumed, ParseState::Malformed};
    return step;
}

void Parser::beginMessage()
{
    if (this->isInMessage)
        return;
    this->isInMessage = true;
    this->state->reset();
    const auto type = static_cast<http_parser_type>(this->state->parser.type);
    http_parser_init(&this->state->parser, type);
}

ParseStep Parser::execute(std::string_view data)
{
    static const http_parser_settings Settings = makeSettings<State>();
    this->beginMessage();
    State &parserState = *this->state;
    const bool wasInHead = parserState.isInHead;
    const std::size_t consumed
        = http_parser_execute(&parserState.parser, &Settings, data.data(), data.size());
    if (wasInHead)
        parserState.headBytes += consumed;
    const http_errno error = HTTP_PARSER_ERRNO(&parserState.parser);
    if (parserState.hasTooManyLines
        || (parserState.isInHead && parserState.headBytes > this->maxHeadBytes))
        return {consumed, ParseState::HeadTooLarge};
    if (parserState.isComplete) {
        this->isInMessage = false;
        return {consumed, ParseState::Complete};
    }
    if (error == HPE_HEADER_OVERFLOW)
        return {consumed, ParseState::HeadTooLarge};
    if (error != HPE_OK || parserState.parser.upgrade)
        return {consumed, ParseState::Malformed};
    return {consumed, ParseState::NeedsMore};
}

std::size_t Parser::heldBytes() const
{
    return this->state->lineText.capacity()
        + this->state->lineEnds.capacity() * sizeof(State::LineEnds);
}

bool Parser::finishAtEof()
{
    if (!this->isInMessage)
        return false;
    static const http_parser_settings Settings = makeSettings<State>();
    State &parserState = *this->state;
    const bool hasHead = !parserState.isInHead;
    http_parser_execute(&parserState.parser, &Settings, nullptr, 0);
    if (!hasHead || !parserState.isComplete)
        return false;
    this->isInMessage = false;
    return true;
}

} // namespace lavenderhall::http
