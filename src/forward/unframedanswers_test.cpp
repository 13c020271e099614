#include "forward/forwarder.h"
#include "forward/rawendpoint.h"
#include "platform.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

const Address RouterAddress{"127.0.0.1", 18151};
constexpr std::array<std::uint16_t, 2> EndpointPorts{18152, 18153};
constexpr const char *Model = "loom";
constexpr const char *Zone = "a";
constexpr Millis MaxTestTime{5000};
/// Long enough for the bytes of an answer to be read before its connection ends.
constexpr Millis LateEnd{30};

constexpr const char *FirstEvent = "id: 1\ndata: x\n\n";
constexpr const char *SecondEvent = "id: 2\ndata: y\n\n";
constexpr const char *BothEvents = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

enum class ConnectionEnd { Close, Reset };

/// The answer to one attempt, with status 200, and how its connection ends.
struct RawAnswer
{
    std::string body;
    ConnectionEnd end = ConnectionEnd::Close;
    Millis endDelay{0}; ///< from the body until the end of the connection
    std::string_view framing = ""; ///< header lines that state the length; "" for none

    bool operator==(const RawAnswer &) const = default;
};

/// One attempt that an endpoint has received.
struct Attempt
{
    std::size_t endpoint = 0; ///< its index
    http::Headers headers;

    bool operator==(const Attempt &) const = default;
};

/// The answers to the attempts in their order, whichever endpoint receives them.
struct Script
{
    std::vector<RawAnswer> answers; ///< the last one is repeated
    std::vector<Attempt> attempts;
};

/// Writes the answer that \a script has for the request of \a connection at the endpoint with
/// \a index.
void answerFrom(Script &script, std::size_t index, http::Loop &loop,
                const RawEndpoint::ConnectionPtr &connection)
{
    const std::size_t number = script.attempts.size();
    script.attempts.push_back({index, connection->headers});
    const RawAnswer &answer = script.answers.at(std::min(number, script.answers.size() - 1));
    std::string bytes = "HTTP/1.1 200 OK\r\nresponse-seal: seal\r\nrequest-id: ";
    bytes.append(connection->requestId()).append("\r\n");
    bytes.append(answer.framing).append("\r\n").append(answer.body);
    connection->socket->write(std::move(bytes));
    const auto endConnection = [socket = connection->socket, end = answer.end] {
        if (end == ConnectionEnd::Reset)
            socket->reset();
        else
            socket->closeGracefully();
    };
    if (answer.endDelay == Millis(0))
        return endConnection();
    connection->timer = loop.after(answer.endDelay, endConnection);
}

ForwardRoute route(const std::string &name, RequestKind kind, bool isResumable,
                   const std::string &service)
{
    ForwardRoute made;
    made.name = name;
    made.host = "h.example";
    made.pathPrefix = "/" + name + "/";
    made.kind = kind;
    made.timeout = MaxTestTime;
    made.maxAttempts = 2;
    made.isResumable = isResumable;
    made.shares = {{service, 1}};
    return made;
}

/// Whether requests on \a routeName run on a model.
bool isPromptRoute(const std::string &routeName)
{
    return routeName == "stream" || routeName == "once";
}

/// What the caller has received of an answer.
struct Received
{
    int status = 0;
    http::Headers headers;
    std::string body;
    bool isComplete = false; ///< by its framing

    bool operator==(const Received &) const = default;
};

/// A forwarder in front of two endpoints that follow one script, with a caller on the same loop.
struct Fixture
{
    http::Loop loop;
    Metrics metrics;
    EndpointSelector selector{{Zone, {{Zone, "ra"}}}, {}};
    RetryBudget budget{RetryBudgetSettings{0.2, 50, Millis(10'000), 1}};
    CrashMonitor crashMonitor{{[](const proto::CrashNews &) {}, [] { return false; },
                               [](const PartId &) { return true; }, [] {}}};
    LimitMonitor limitMonitor{this->selector.limits(), {}}; // no endpoint names a limit
    ForwardContext context{this->loop,
                           platform::adapter(),
                           this->metrics,
                           this->selector,
                           this->budget,
                           this->crashMonitor,
                           this->limitMonitor,
                           http::Client(this->loop),
                           {},
                           {[](const auto &) { return true; },
                            [](const auto &...) {},
                            [](const std::string &) {},
                            {}}, // callers resume no stream
                           nullptr,
                           {},
                           Millis(10'000),
                           pcg32(7),
                           [](const std::string &) {},
                           [](const std::string &) {},
                           [] { return std::vector<Address>(); }};
    Forwarder forwarder{this->context};
    http::Server router{
        this->loop, RouterAddress, http::ServerLimits{},
        [this](const http::ExchangePtr &exchange) { this->forwarder.onRequest(exchange); }};
    http::Client caller{this->loop};
    Script script;
    RawEndpoint first{this->loop, Address{"127.0.0.1", EndpointPorts[0]}, this->answering(0)};
    RawEndpoint second{this->loop, Address{"127.0.0.1", EndpointPorts[1]}, this->answering(1)};

    /// Lets the endpoint with \a index follow the script.
    RawEndpoint::Handler answering(std::size_t index)
    {
        return [this, index](const RawEndpoint::ConnectionPtr &connection) {
            answerFrom(this->script, index, this->loop, connection);
        };
    }

    void join(const RawEndpoint &endpoint, const std::string &id, const std::string &service)
    {
        RegisteredEndpoint entry = endpoint.entry(id, service, Zone);
        if (service == "models")
            entry.weights = {{Model, 1}};
        this->selector.onChange({EndpointChange::Kind::Joined, entry});
    }

    /// \a service is "models" for the routes "stream" and "once", "desk" for "read" and "book".
    Fixture(const std::string &service, std::vector<RawAnswer> answers)
    {
        this->script.answers = std::move(answers);
        TableContent content;
        content.version = 1;
        content.routes = {route("stream", RequestKind::Stream, true, "models"),
                          route("once", RequestKind::Stream, false, "models"),
                          route("read", RequestKind::Idempotent, false, "desk"),
                          route("book", RequestKind::NonIdempotent, false, "desk")};
        this->context.table = std::make_shared<const RoutingTable>(std::move(content));
        EngineSpec engine;
        engine.slots = 4;
        engine.cacheTokens = 100'000;
        this->selector.setEngines("models", engine);
        this->join(this->first, "endpoint0", service);
        this->join(this->second, "endpoint1", service);
    }

    /// Sends a request on \a routeName and waits for the end of its answer.
    Received call(const std::string &routeName)
    {
        http::CallRequest request;
        request.to = RouterAddress;
        request.method = http::Method::Post;
        request.path = "/" + routeName + "/x";
        request.headers = {{"host", "h.example"},
                           {"request-id", "r" + std::to_string(++this->requestCount)},
                           {"deadline-ms", "4000"}};
        if (isPromptRoute(routeName)) {
            request.headers.push_back({"model", Model});
            request.headers.push_back({"token-count", "100,10"});
            request.headers.push_back({"prefix-hash", "a1:80,b2:20"});
        }
        Received received;
        http::CallHandlers handlers;
        handlers.onHead = [&](int status, const http::Headers &headers) {
            received.status = status;
            received.headers = headers;
        };
        handlers.onData = [&](std::string_view data) { received.body.append(data); };
        handlers.onEnd = [&] {
            // The caller must not depend on a regular close, either.
            const auto has = [&](const char *name) {
                return !http::findHeader(received.headers, name).empty();
            };
            received.isComplete = has("content-length") || has("transfer-encoding");
            this->loop.stop();
        };
        handlers.onFailed = [&](const http::CallFailure &) { this->loop.stop(); };
        const auto pending = this->caller.start(std::move(request), std::move(handlers));
        this->loop.runFor(MaxTestTime);
        cr_assert(pending->isFinished());
        return received;
    }

    int requestCount = 0;
};

/// The result of one request, and the attempts that it took.
struct Played
{
    Received received;
    std::vector<Attempt> attempts;

    /// Whether there were two attempts, at different endpoints.
    bool hasChangedEndpoint() const
    {
        return this->attempts.size() == 2U
            && this->attempts.front().endpoint != this->attempts.back().endpoint;
    }

    /// Returns the id of the last event that the caller had received before the last attempt.
    std::string resumedAfter() const
    {
        return std::string(http::findHeader(this->attempts.back().headers, "last-event-id"));
    }

    bool operator==(const Played &) const = default;
};

/// Sends one request on \a routeName, whose attempts get \a answers.
Played play(const std::string &routeName, std::vector<RawAnswer> answers)
{
    Fixture fixture(isPromptRoute(routeName) ? "models" : "desk", std::move(answers));
    Received received = fixture.call(routeName);
    return {std::move(received), fixture.script.attempts};
}

} // namespace

// Guards against a body that loses its end, and against an answer of which the caller can't see
// that it is complete.
Test(unframedanswers, a_plain_answer_that_ends_with_its_connection_is_passed_on_whole)
{
    for (const std::string &body :
         {std::string(), std::string("done"), std::string(300'000, 'x')}) {
        for (const Millis delay : {Millis(0), LateEnd}) {
            Fixture fixture("desk", {{body, ConnectionEnd::Close, delay}});
            for (const char *routeName : {"read", "book"}) {
                const Received received = fixture.call(routeName);
                cr_assert(received.isComplete);
                cr_assert(received.status == 200);
                cr_assert(received.body == body);
                cr_assert(http::findHeader(received.headers, "content-length")
                          == std::to_string(body.size()));
            }
            cr_assert(fixture.script.attempts.size() == 2U);
        }
    }
}

// Guards against a part of a body that the caller takes for the whole one.
Test(unframedanswers, a_plain_answer_that_is_reset_is_no_success)
{
    for (const std::string &body :
         {std::string(), std::string("half of"), std::string(300'000, 'x')}) {
        for (const Millis delay : {Millis(0), LateEnd}) {
            const RawAnswer reset{body, ConnectionEnd::Reset, delay};
            const Played once = play("book", {reset});
            cr_assert(once.received.status == 502);
            cr_assert(once.received.body.find("half") == std::string::npos);
            cr_assert(once.attempts.size() == 1U);
            const Played repeated = play("read", {reset, {"done"}});
            cr_assert(repeated.received.isComplete);
            cr_assert(repeated.received.status == 200);
            cr_assert(repeated.received.body == "done");
            cr_assert(repeated.hasChangedEndpoint());
        }
    }
}

Test(unframedanswers, a_stream_that_ends_with_its_connection_after_an_event_is_complete)
{
    for (const Millis delay : {Millis(0), LateEnd}) {
        for (const char *routeName : {"stream", "once"}) {
            const Played played = play(routeName, {{BothEvents, ConnectionEnd::Close, delay}});
            cr_assert(played.received.isComplete, "%s", routeName);
            cr_assert(played.received.status == 200);
            cr_assert(played.received.body == BothEvents);
            cr_assert(played.attempts.size() == 1U);
        }
    }
}

// Guards against a stream whose rest is lost and that looks complete, also where the reset comes
// between two events.
Test(unframedanswers, a_stream_that_is_broken_off_after_an_event_is_resumed)
{
    const std::string first = FirstEvent;
    for (const RawAnswer &broken :
         {RawAnswer{first + "id: 2\nda"}, RawAnswer{first + "id: 2\ndata: y\n"},
          RawAnswer{first + "i", ConnectionEnd::Close, LateEnd},
          RawAnswer{first, ConnectionEnd::Reset}, RawAnswer{first, ConnectionEnd::Reset, LateEnd},
          RawAnswer{first + "id: 2\n", ConnectionEnd::Reset}}) {
        const Played played = play("stream", {broken, {SecondEvent}});
        cr_assert(played.received.isComplete);
        cr_assert(played.received.status == 200);
        cr_assert(played.received.body == BothEvents, "%s", played.received.body.c_str());
        cr_assert(played.hasChangedEndpoint());
        cr_assert(played.resumedAfter() == "1");
    }
}

Test(unframedanswers, a_broken_stream_that_must_not_be_resumed_breaks_off_at_the_caller)
{
    const std::string first = FirstEvent;
    for (const RawAnswer &broken :
         {RawAnswer{first + "id: 2\nda"}, RawAnswer{first + "id: 2\ndata: y\n"},
          RawAnswer{first, ConnectionEnd::Reset},
          RawAnswer{first, ConnectionEnd::Reset, LateEnd}}) {
        const Played played = play("once", {broken});
        cr_assert(not(played.received.isComplete));
        cr_assert(first.starts_with(played.received.body), "%s", played.received.body.c_str());
        cr_assert(played.attempts.size() == 1U);
    }
}

Test(unframedanswers, a_stream_that_breaks_off_at_each_engine_breaks_off_at_the_caller)
{
    const std::string first = FirstEvent;
    const Played played = play("stream", {{first + "id: 2\n"}, {"id: 2\ndata: y\n"}});
    cr_assert(not(played.received.isComplete));
    cr_assert(first.starts_with(played.received.body), "%s", played.received.body.c_str());
    cr_assert(played.hasChangedEndpoint());
}

// Cut at each place of its first event. Guards against half an event that reaches the caller.
Test(unframedanswers, a_stream_that_ends_inside_its_first_event_is_broken)
{
    for (const std::string event : {"id: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\n"}) {
        for (std::size_t length = 1; length < event.size(); ++length) {
            const RawAnswer cut{event.substr(0, length)};
            const Played once = play("once", {cut});
            cr_assert(once.received.status == 502, "%zu bytes", length);
            cr_assert(once.attempts.size() == 1U);
            const Played repeated = play("stream", {cut, {BothEvents}});
            cr_assert(repeated.received.isComplete, "%zu bytes", length);
            cr_assert(repeated.received.body == BothEvents);
            cr_assert(repeated.hasChangedEndpoint());
        }
    }
}

// An engine that crashes before its first event closes its connection in this way. Guards against
// an empty stream that the caller takes for a complete one.
Test(unframedanswers, a_stream_that_ends_with_its_connection_before_any_event_is_broken)
{
    for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        for (const Millis delay : {Millis(0), LateEnd}) {
            const RawAnswer empty{"", end, delay};
            const Played repeated = play("stream", {empty, {BothEvents}});
            cr_assert(repeated.received.isComplete);
            cr_assert(repeated.received.status == 200);
            cr_assert(repeated.received.body == BothEvents, "%s", repeated.received.body.c_str());
            cr_assert(repeated.hasChangedEndpoint());
            cr_assert(repeated.resumedAfter().empty());
            const Played once = play("once", {empty});
            cr_assert(once.received.status == 502);
            cr_assert(once.attempts.size() == 1U);
            const Played twice = play("stream", {empty, empty});
            cr_assert(twice.received.status == 502);
            cr_assert(twice.hasChangedEndpoint());
        }
    }
}

// The second engine crashes before the first event of the rest. Guards against a stream without its
// rest that looks complete.
Test(unframedanswers, a_resumed_stream_that_ends_with_its_connection_before_any_event_is_broken)
{
    const std::string first = FirstEvent;
    const Played played = play("stream", {{first + "id: 2\n"}, {""}});
    cr_assert(not(played.received.isComplete));
    cr_assert(played.hasChangedEndpoint());
}

// An engine may have no event behind the last one, and says so by a length or chunks. Guards
// against whole streams that are broken off at the caller.
Test(unframedanswers, an_empty_rest_of_a_stream_is_complete_if_its_framing_ends)
{
    for (const RawAnswer &rest :
         {RawAnswer{"", ConnectionEnd::Close, Millis(0), "content-length: 0\r\n"},
          RawAnswer{"0\r\n\r\n", ConnectionEnd::Close, Millis(0),
                    "transfer-encoding: chunked\r\n"}}) {
        const Played played = play("stream", {{BothEvents, ConnectionEnd::Reset, LateEnd}, rest});
        cr_assert(played.received.isComplete);
        cr_assert(played.received.body == BothEvents);
        cr_assert(played.hasChangedEndpoint());
        cr_assert(played.resumedAfter() == "2");
    }
}
