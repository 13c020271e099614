#include "http/parser.h"

#include <algorithm>
#include <http_parser.h>

namespace lavenderhall::http {

namespace {

constexpr int FirstFinalStatus = 200;

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

struct Parser::State
{
    http_parser parser{};
    MessageKind kind = MessageKind::Request;
    ParserHandlers handlers;
    MessageHead head;
    std::size_t headBytes = 0;
    bool inHead = true;
    bool isNewHeader = true;
    bool isComplete = false;

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    void reset()
    {
        this->head = {};
        this->headBytes = 0;
        this->inHead = true;
        this->isNewHeader = true;
        this->isComplete = false;
    }

    int onHeadersComplete()
    {
        this->inHead = false;
        this->head.method = methodOf(this->parser.method);
        this->head.status = static_cast<int>(this->parser.status_code);
        this->head.isKeepAlive = http_should_keep_alive(&this->parser) != 0;
        this->head.isChunked = (this->parser.flags & F_CHUNKED) != 0;
        this->head.hasLength = (this->parser.flags & F_CONTENTLENGTH) != 0;
        this->head.length = this->head.hasLength ? this->parser.content_length : 0;
        if (this->isInterim())
            return 0;
        return this->handlers.onHead && this->handlers.onHead(this->head) ? 1 : 0;
    }

    bool isInterim() const
    {
        return this->kind == MessageKind::Response && this->head.status < FirstFinalStatus;
    }
};

namespace {

// The callbacks of the library, which go to the state behind the parser.
template <typename State> http_parser_settings makeSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
        State::of(parser).head.target.append(at, length);
        return 0;
    };
    settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
        State &state = State::of(parser);
        if (!state.inHead)
            return 0; // a trailer
        if (state.isNewHeader)
            state.head.headers.emplace_back();
        state.isNewHeader = false;
        std::string &name = state.head.headers.back().name;
        const std::size_t before = name.size();
        name.append(at, length);
        std::transform(name.begin() + static_cast<long>(before), name.end(),
                       name.begin() + static_cast<long>(before),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return 0;
    };
    settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
        State &state = State::of(parser);
        if (!state.inHead)
            return 0;
        state.isNewHeader = true;
        state.head.headers.back().value.append(at, length);
        return 0;
    };
    settings.on_headers_complete
        = [](http_parser *parser) { return State::of(parser).onHeadersComplete(); };
    settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
        State &state = State::of(parser);
        if (state.handlers.onBody && !state.isInterim())
            state.handlers.onBody({at, length});
        return 0;
    };
    settings.on_message_complete = [](http_parser *parser) {
        State &state = State::of(parser);
        if (state.isInterim()) {
            state.reset();
            return 0;
        }
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
    static const http_parser_settings Settings = makeSettings<State>();
    State &own = *this->state;
    if (!this->inside) {
        own.reset();
        const auto type = own.parser.type;
        http_parser_init(&own.parser, static_cast<http_parser_type>(type));
    }
    this->inside = true;
    const bool wasInHead = own.inHead;
    const std::size_t consumed
        = http_parser_execute(&own.parser, &Settings, data.data(), data.size());
    if (wasInHead)
        own.headBytes += consumed;
    const http_errno code = HTTP_PARSER_ERRNO(&own.parser);
    if (own.inHead && own.headBytes > this->maxHeadBytes)
        return {consumed, ParseState::HeadTooLarge};
    if (own.isComplete) {
        this->inside = false;
        return {consumed, ParseState::Complete};
    }
    if (code == HPE_HEADER_OVERFLOW)
        return {consumed, ParseState::HeadTooLarge};
    if (code != HPE_OK || own.parser.upgrade)
        return {consumed, ParseState::Bad};
    return {consumed, ParseState::NeedsMore};
}

bool Parser::finishAtEof()
{
    if (!this->inside)
        return false;
    static const http_parser_settings Settings = makeSettings<State>();
    State &own = *this->state;
    const bool hadHead = !own.inHead;
    http_parser_execute(&own.parser, &Settings, nullptr, 0);
    if (!hadHead || !own.isComplete)
        return false;
    this->inside = false;
    return true;
}

} // namespace lavenderhall::http
