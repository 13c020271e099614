#include "forward/forwarder.h"
#include "platform.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

const Address RouterAddress{"127.0.0.1", 18131};
constexpr const char *Model = "loom";
constexpr const char *Zone = "a";
constexpr Millis MaxTestTime{5000};

/// An endpoint on a port of its own. It answers each request with its handler and keeps the
/// exchanges, so that requests without an answer stay open.
struct TestEndpoint
{
    using Handler = std::function<void(const http::ExchangePtr &exchange)>;

    TestEndpoint(http::Loop &loop, std::string name, std::uint16_t port)
        : id(std::move(name))
        , address{"127.0.0.1", port}
        , server(loop, this->address, http::ServerLimits{},
                 [this](const http::ExchangePtr &exchange) {
                     this->exchanges.push_back(exchange);
                     this->onRequest(exchange);
                 })
    { }

    RegisteredEndpoint entry(const std::string &service, std::int64_t weights) const
    {
        RegisteredEndpoint registered;
        registered.id = this->id;
        registered.startMillis = 1;
        registered.service = service;
        registered.address = this->address;
        registered.zone = Zone;
        registered.slots = 4;
        if (weights > 0)
            registered.weights = {{Model, weights}};
        return registered;
    }

    std::string id;
    Address address;
    Handler onRequest = [](const http::ExchangePtr &) {}; ///< by default, never answers
    std::vector<http::ExchangePtr> exchanges;
    http::Server server;
};

/// Returns the headers of an endpoint's own answer to the request of \a exchange.
http::Headers sealedHeaders(const http::ExchangePtr &exchange)
{
    const http::Headers &asked = exchange->request().headers;
    return {{"request-id", std::string(http::findHeader(asked, "request-id"))},
            {"response-seal", "seal"}};
}

void answerStream(const http::ExchangePtr &exchange)
{
    http::Headers headers = sealedHeaders(exchange);
    headers.push_back({"content-type", "text/event-stream"});
    headers.push_back({"weight-versions", "2"});
    exchange->respond({200, headers, "id: 1\ndata: x\n\n"});
}

void answerPlain(const http::ExchangePtr &exchange)
{
    exchange->respond({200, sealedHeaders(exchange), "done"});
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

/// A forwarder in front of two endpoints, with a caller on the same loop.
struct Fixture
{
    http::Loop loop;
    Metrics metrics;
    EndpointSelector selector{{Zone, {{Zone, "ra"}}}, {}};
    RetryBudget budget{RetryBudgetSettings{0.2, 50, Millis(10'000), 1}};
    CrashMonitor crashMonitor{{[](const proto::CrashNews &) {}, [] { return false; },
                               [](const PartId &) { return true; },
                               [this] { this->forwarder.onNewBlocks(); }}};
    LimitMonitor limitMonitor{this->selector.limits(), this->limitHooks()};
    std::vector<std::string> replaced;
    std::vector<std::string> leaving;
    ForwardContext context{this->loop,
                           platform::adapter(),
                           this->metrics,
                           this->selector,
                           this->budget,
                           this->crashMonitor,
                           this->limitMonitor,
                           http::Client(this->loop),
                           {},
                           nullptr,
                           {},
                           Millis(10'000),
                           pcg32(7),
                           [this](const std::string &id) { this->replaced.push_back(id); },
                           [this](const std::string &id) {
                               this->leaving.push_back(id);
                               this->selector.onLeaving(id, 1, monoNow());
                           }};
    Forwarder forwarder{this->context};
    http::Server router{
        this->loop, RouterAddress, http::ServerLimits{},
        [this](const http::ExchangePtr &exchange) { this->forwarder.onRequest(exchange); }};
    http::Client caller{this->loop};
    TestEndpoint first{this->loop, "first", 18132};
    TestEndpoint second{this->loop, "second", 18133};

    Fixture()
    {
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
    }

    /// An instance that issues its own permits.
    LimitMonitorHooks limitHooks()
    {
        LimitMonitorHooks hooks;
        hooks.broadcast = [](const proto::LimitNews &) {};
        hooks.ask = [this](const Incarnation &, const proto::PermitRequest &request) {
            this->limitMonitor.onPermitRequest({}, request, monoNow());
        };
        hooks.answer = [this](const proto::ProcessId &, const proto::PermitAnswer &answer) {
            this->limitMonitor.onPermitAnswer(answer, monoNow());
        };
        return hooks;
    }

    void join(const TestEndpoint &endpoint, const std::string &service, std::int64_t weights = 0)
    {
        this->selector.onChange({EndpointChange::Kind::Joined, endpoint.entry(service, weights)});
    }

    /// Sends a request on \a routeName, whose prompt has \a parts if it has one, and waits for the
    /// end of its answer.
    http::SyncResult call(const std::string &routeName, const std::string &parts = "a1:80,b2:20",
                          const std::string &body = {})
    {
        http::CallRequest request;
        request.to = RouterAddress;
        request.method = http::Method::Post;
        request.path = "/" + routeName + "/x";
        request.body = body;
        request.headers = {{"host", "h.example"},
                           {"request-id", "r" + std::to_string(++this->requestCount)},
                           {"deadline-ms", "4000"}};
        const bool isPrompt = routeName == "stream" || routeName == "once";
        if (isPrompt) {
            request.headers.push_back({"model", Model});
            request.headers.push_back({"token-count", "100,10"});
            request.headers.push_back({"prefix-hash", parts});
        }
        http::SyncResult result;
        const auto onAnswer
            = [&](const http::Response *response, const http::CallFailure &failure) {
                  result.ok = response != nullptr;
                  if (response)
                      result.response = *response;
                  result.failure = failure;
                  this->loop.stop();
              };
        const auto pending = http::startBuffered(this->caller, std::move(request), onAnswer);
        this->loop.runFor(MaxTestTime);
        pending->cancel();
        return result;
    }

    /// The endpoint has ended and starts again as a new incarnation.
    void restart(const TestEndpoint &endpoint, const std::string &service)
    {
        RegisteredEndpoint entry = endpoint.entry(service, 0);
        entry.startMillis = ++this->incarnations;
        this->selector.onChange({EndpointChange::Kind::Restarted, entry});
    }

    /// Writes \a bytes of an answer every millisecond until its connection is closed.
    void writeWithoutEnd(const http::ExchangePtr &exchange, std::size_t bytes)
    {
        if (exchange->isClosed())
            return;
        exchange->write(std::string(bytes, 'x'));
        this->writeTimers.push_back(this->loop.after(
            Millis(1), [this, exchange, bytes] { this->writeWithoutEnd(exchange, bytes); }));
    }

    /// Calls the crash monitor periodically from now on.
    void tick()
    {
        this->crashMonitor.onTick(monoNow());
        this->tickTimer = this->loop.after(Millis(100), [this] { this->tick(); });
    }

    int requestCount = 0;
    std::int64_t incarnations = 1; ///< of all endpoints
    std::vector<http::Timer> writeTimers;
    http::Timer tickTimer;
};

/// Two engines, of which the first has weights that were replaced \a since before. The second has
/// the new ones, but is avoided at first.
struct OldWeightsFixture : Fixture
{
    explicit OldWeightsFixture(Millis since)
    {
        this->context.oldWeightsTimeout = Millis(1500);
        WeightsVersionHistory &history = this->context.namedWeights[Model];
        history.onNamed(1, monoNow(), Millis(60'000));
        history.onNamed(2, monoNow(), since);
        this->join(this->first, "models", 1);
        this->join(this->second, "models", 2);
        // Old weights are acceptable only where the engine reports a short queue.
        this->selector.onLoadReport("first", {}, monoNow());
        this->selector.avoid("second", monoNow() + Millis(300));
        this->second.onRequest = answerStream;
    }
};

} // namespace

// An engine on old weights whose queue stands still. Guards against requests that begin there after
// the time of these weights is over.
Test(forwarder, a_repeatable_request_that_has_not_begun_leaves_old_weights_in_time)
{
    OldWeightsFixture fixture(Millis(400));
    const MonoTime startedAt = monoNow();
    const auto result = fixture.call("stream");
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(result.ok);
    cr_assert(result.response.status == 200);
    cr_assert(http::findHeader(result.response.headers, "weight-versions") == "2");
    cr_assert(monoNow() - startedAt < Millis(1100));
    cr_assert(fixture.first.exchanges.front()->isClosed());
}

Test(forwarder, a_request_that_must_not_repeat_is_closed_at_old_weights_and_fails)
{
    OldWeightsFixture fixture(Millis(400));
    const auto result = fixture.call("once");
    cr_assert(result.ok);
    cr_assert(result.response.status == 502);
    cr_assert(fixture.second.exchanges.empty());
    fixture.loop.runFor(Millis(50));
    cr_assert(fixture.first.exchanges.front()->isClosed());
}

Test(forwarder, a_stream_that_has_begun_on_old_weights_is_not_broken_off)
{
    OldWeightsFixture fixture(Millis(400));
    http::Timer rest;
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"weight-versions", "1"});
        exchange->begin(200, headers);
        exchange->write("id: 1\ndata: x\n\n");
        rest = fixture.loop.after(Millis(1500), [exchange] {
            exchange->write("id: 2\ndata: y\n\n");
            exchange->end();
        });
    };
    const auto result = fixture.call("stream");
    cr_assert(result.ok);
    cr_assert(result.response.body.ends_with("id: 2\ndata: y\n\n"));
    cr_assert(fixture.second.exchanges.empty());
}

// The queue of an engine stands still. Guards against a request that was sent while the engine's
// weights were the newest, and begins there after their time is over.
Test(forwarder, weights_that_are_named_while_a_request_waits_limit_it)
{
    Fixture fixture;
    fixture.context.oldWeightsTimeout = Millis(1500);
    WeightsVersionHistory &history = fixture.context.namedWeights[Model];
    history.onNamed(1, monoNow(), Millis(60'000));
    fixture.join(fixture.first, "models", 1);
    fixture.second.onRequest = answerStream;
    const http::Timer naming = fixture.loop.after(Millis(100), [&] {
        history.onNamed(2, monoNow(), Millis(400));
        fixture.forwarder.onWeightsNamed();
        fixture.join(fixture.second, "models", 2);
    });
    const auto result = fixture.call("stream");
    cr_assert(result.response.status == 200);
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(fixture.second.exchanges.size() == 1U);
    cr_assert(fixture.first.exchanges.front()->isClosed());
}

// An engine sends the head of its answer when it accepts a request, and begins later. Guards
// against taking the head for the beginning.
Test(forwarder, a_head_without_data_does_not_end_the_limit_of_old_weights)
{
    OldWeightsFixture fixture(Millis(400));
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"weight-versions", "1"});
        exchange->begin(200, headers);
    };
    const auto result = fixture.call("stream");
    cr_assert(result.response.status == 200);
    cr_assert(http::findHeader(result.response.headers, "weight-versions") == "2");
    cr_assert(fixture.first.exchanges.front()->isClosed());
}

// The engine of a stream crashes after the time of its weights is over. Guards against the rest of
// the stream beginning on such weights elsewhere.
Test(forwarder, a_stream_does_not_resume_on_weights_whose_time_is_over)
{
    OldWeightsFixture fixture(Millis(400));
    TestEndpoint third(fixture.loop, "third", 18134);
    fixture.join(third, "models", 1);
    http::Timer crash;
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"weight-versions", "1"});
        exchange->begin(200, headers);
        exchange->write("id: 1\ndata: x\n\n");
        crash = fixture.loop.after(Millis(600), [exchange] { exchange->abort(); });
    };
    const auto result = fixture.call("stream");
    cr_assert(not(result.ok));
    cr_assert(third.exchanges.empty());
    cr_assert(fixture.second.exchanges.empty());
}

// An engine that does not state its weights breaks off a stream after the time of the old ones is
// over. Guards against a resumption that lets any weights run it.
Test(forwarder, a_stream_of_unknown_weights_resumes_only_on_allowed_ones)
{
    Fixture fixture;
    fixture.context.oldWeightsTimeout = Millis(1500);
    fixture.context.namedWeights[Model].onNamed(2, monoNow(), Millis(400));
    fixture.join(fixture.first, "models", 0);
    fixture.join(fixture.second, "models", 0);
    fixture.selector.avoid("second", monoNow() + Millis(500));
    http::Timer crash;
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        exchange->begin(200, sealedHeaders(exchange));
        exchange->write("id: 1\ndata: x\n\n");
        crash = fixture.loop.after(Millis(600), [exchange] { exchange->abort(); });
    };
    http::Headers resumed;
    fixture.second.onRequest = [&](const http::ExchangePtr &exchange) {
        resumed = exchange->request().headers;
        answerStream(exchange);
    };
    fixture.call("stream");
    cr_assert(fixture.first.exchanges.size() == 1U);
    const http::Headers &begun = fixture.first.exchanges.front()->request().headers;
    cr_assert(http::findHeader(begun, "expected-version").empty());
    cr_assert(fixture.second.exchanges.size() == 1U);
    cr_assert(http::findHeader(resumed, "last-event-id") == "1");
    cr_assert(http::findHeader(resumed, "expected-version") == "2");
}

// The engine does not state the weights that the attempt required of it, and another refused it
// with weights of its own. Guards against a stream that resumes on others than it began on.
Test(forwarder, a_stream_resumes_on_the_weights_that_its_attempt_required)
{
    Fixture fixture;
    TestEndpoint third(fixture.loop, "third", 18134);
    fixture.context.namedWeights[Model].onNamed(2, monoNow(), Millis(100));
    for (const TestEndpoint *endpoint : {&fixture.first, &fixture.second, &third}) {
        fixture.join(*endpoint, "models", 2);
        fixture.selector.avoid(endpoint->id, monoNow() + MaxTestTime);
    }
    std::vector<std::string> required;
    http::Timer crashTimer;
    const auto onRequest = [&](const http::ExchangePtr &exchange) {
        const http::Headers &asked = exchange->request().headers;
        required.emplace_back(http::findHeader(asked, "expected-version"));
        http::Headers headers = sealedHeaders(exchange);
        if (required.size() == 1) {
            headers.push_back({"not-executed", "1"});
            headers.push_back({"weight-versions", "7"});
            return exchange->respond({503, headers, ""});
        }
        if (required.size() == 3)
            return answerStream(exchange);
        exchange->begin(200, headers);
        exchange->write("id: 1\ndata: x\n\n");
        crashTimer = fixture.loop.after(Millis(50), [exchange] { exchange->abort(); });
    };
    fixture.first.onRequest = onRequest;
    fixture.second.onRequest = onRequest;
    third.onRequest = onRequest;
    fixture.call("stream");
    cr_assert(required == (std::vector<std::string>{"2", "2", "2"}));
}

// An engine that has just joined, is slow or is cut off reports nothing, so its queue is not known.
Test(forwarder, an_engine_without_a_report_gets_no_request_near_the_limit_of_its_weights)
{
    OldWeightsFixture fixture(Millis(400));
    RegisteredEndpoint silent = fixture.first.entry("models", 1);
    silent.startMillis = 2;
    fixture.selector.onChange({EndpointChange::Kind::Restarted, silent});
    const auto result = fixture.call("stream");
    cr_assert(result.response.status == 200);
    cr_assert(fixture.first.exchanges.empty());
}

// An endpoint whose answers never end. Guards against a part of such an answer that reaches the
// caller as a complete one, and against memory that grows with it.
Test(forwarder, an_answer_without_end_is_no_answer)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        exchange->begin(200, sealedHeaders(exchange));
        fixture.writeWithoutEnd(exchange, 1U << 20U);
    };
    fixture.second.onRequest = fixture.first.onRequest;
    for (const char *routeName : {"read", "book"}) {
        const auto result = fixture.call(routeName);
        cr_assert(result.ok);
        cr_assert(result.response.status == 502, "%s", routeName);
        cr_assert(result.response.body.find("xx") == std::string::npos);
    }
    fixture.loop.runFor(Millis(50));
    for (const TestEndpoint *endpoint : {&fixture.first, &fixture.second}) {
        for (const http::ExchangePtr &exchange : endpoint->exchanges)
            cr_assert(exchange->isClosed());
    }
}

Test(forwarder, an_event_without_end_breaks_the_stream)
{
    Fixture fixture;
    fixture.join(fixture.first, "models", 1);
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        exchange->begin(200, sealedHeaders(exchange));
        exchange->write("id: 1\ndata: x\n\n");
        fixture.writeWithoutEnd(exchange, 100'000);
    };
    const MonoTime startedAt = monoNow();
    const auto result = fixture.call("stream");
    cr_assert(not(result.ok));
    cr_assert(monoNow() - startedAt < Millis(3000));
    fixture.loop.runFor(Millis(50));
    cr_assert(fixture.first.exchanges.front()->isClosed());
}

// The answer of an endpoint that stops soon is passed on, and the next requests go elsewhere.
Test(forwarder, an_endpoint_that_states_that_it_leaves_gets_no_further_request)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"server-leaving", "1"});
        exchange->respond({200, headers, "done"});
    };
    fixture.second.onRequest = answerPlain;
    cr_assert(fixture.call("read").response.status == 200);
    cr_assert(fixture.leaving == std::vector<std::string>{"first"});
    cr_assert(fixture.call("read").response.status == 503);
    fixture.join(fixture.second, "desk");
    for (int count = 0; count < 5; ++count)
        cr_assert(fixture.call("read").response.status == 200);
    cr_assert(fixture.first.exchanges.size() == 1U);
    // A later entry of the store says that it is ready; a new incarnation is another matter.
    RegisteredEndpoint entry = fixture.first.entry("desk", 0);
    fixture.selector.onChange({EndpointChange::Kind::Gone, entry});
    fixture.selector.onChange({EndpointChange::Kind::Joined, entry});
    fixture.selector.onChange({EndpointChange::Kind::Gone, fixture.second.entry("desk", 0)});
    cr_assert(fixture.call("read").response.status == 503);
    entry.startMillis = 2;
    fixture.selector.onChange({EndpointChange::Kind::Restarted, entry});
    cr_assert(fixture.call("read").response.status == 200);
}

// The only endpoint is full and asks for a pause. Guards against requests during the pause, and
// against callers that are told to come back before it ends.
Test(forwarder, an_endpoint_that_asks_for_a_pause_gets_it)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"not-executed", "1"});
        headers.push_back({"retry-after", "1.2"});
        exchange->respond({503, headers, ""});
    };
    for (int count = 0; count < 4; ++count) {
        const auto result = fixture.call("read");
        cr_assert(result.response.status == 503);
        const std::string text(http::findHeader(result.response.headers, "retry-after"));
        cr_assert(std::stod(text) > 1.0, "%s", text.c_str());
        cr_assert(std::stod(text) < 1.9, "%s", text.c_str());
    }
    cr_assert(fixture.first.exchanges.size() == 1U);
    fixture.join(fixture.second, "desk");
    fixture.second.onRequest = answerPlain;
    cr_assert(fixture.call("read").response.status == 200);
    fixture.loop.runFor(Millis(1300));
    cr_assert(not(fixture.selector.isPaused("first", monoNow())));
}

// An endpoint answers with the answer to another request, as one that repeats an earlier answer on
// a connection in use again. Guards against a caller that gets an answer which is not its own.
Test(forwarder, an_answer_to_another_request_never_reaches_the_caller)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        exchange->respond(
            {200, {{"request-id", "of-another"}, {"response-seal", "seal"}}, "others"});
    };
    for (const char *routeName : {"read", "book"}) {
        const auto result = fixture.call(routeName);
        cr_assert(result.response.status == 502, "%s", routeName);
        cr_assert(result.response.body.find("others") == std::string::npos);
    }
    fixture.join(fixture.second, "desk");
    fixture.second.onRequest = answerPlain;
    const auto result = fixture.call("read");
    cr_assert(result.response.body == "done", "%d %s", result.response.status,
              result.response.body.c_str());
}

// One part of the prompts crashes each engine that begins to answer. Guards against requests with
// this part being sent to engines again and again, and against sound ones being refused.
Test(forwarder, a_part_that_crashes_engines_is_not_sent_to_them_again)
{
    constexpr int Crashes = 5;
    Fixture fixture;
    fixture.tick();
    fixture.join(fixture.first, "models", 1);
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        const std::string parts(http::findHeader(exchange->request().headers, "prefix-hash"));
        return parts.find("dead:") == std::string::npos ? answerStream(exchange)
                                                        : exchange->abort();
    };
    RegisteredEndpoint restarted = fixture.first.entry("models", 1);
    for (int crash = 1; crash <= Crashes; ++crash) {
        fixture.call("once", "a1:80,dead:10,own" + std::to_string(crash) + ":20");
        ++restarted.startMillis;
        fixture.selector.onChange({EndpointChange::Kind::Restarted, restarted});
        fixture.loop.runFor(Millis(300));
        cr_assert(fixture.call("once", "a1:80,c3:10,own:20").response.status == 200);
    }
    fixture.loop.runFor(Millis(1200));
    const std::size_t reached = fixture.first.exchanges.size();
    const auto refused = fixture.call("once", "a1:80,dead:10,own:20");
    cr_assert(fixture.first.exchanges.size() == reached);
    cr_assert(refused.response.status == 503);
    cr_assert(not(http::findHeader(refused.response.headers, "retry-after").empty()));
    cr_assert(fixture.call("once", "a1:80,c3:10,own:21").response.status == 200);
}

// An endpoint in need names the requests a second that it accepts. Guards against requests beyond
// that, against callers who are turned away for it, and against a limit that is not used.
Test(forwarder, an_endpoint_gets_no_more_requests_than_the_limit_that_it_names)
{
    constexpr double Limit = 2;
    constexpr int TestSeconds = 3;
    constexpr double AllowedRequests = 1.5 * Limit * TestSeconds + 5;
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"server-limit", "2.0"});
        exchange->respond({200, headers, "done"});
    };
    fixture.second.onRequest = answerPlain;
    const MonoTime endsAt = monoNow() + std::chrono::seconds(TestSeconds);
    while (monoNow() < endsAt) {
        cr_assert(fixture.call("read").response.status == 200);
        fixture.loop.runFor(Millis(20));
    }
    const auto arrived = static_cast<double>(fixture.first.exchanges.size());
    cr_assert(arrived <= AllowedRequests, "%g requests", arrived);
    cr_assert(arrived >= Limit * TestSeconds / 2, "%g requests", arrived);
}

// All endpoints of a service are in need. Guards against requests that wait although no permit can
// come in time, and against callers who are told to come back too early.
Test(forwarder, requests_beyond_all_limits_are_refused_at_once)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"server-limit", "0.5"});
        exchange->respond({200, headers, "done"});
    };
    fixture.join(fixture.second, "models", 1);
    fixture.second.onRequest = answerStream;
    cr_assert(fixture.call("read").response.status == 200);
    const MonoTime startedAt = monoNow();
    for (int count = 0; count < 5; ++count) {
        const auto refused = fixture.call("read");
        cr_assert(refused.response.status == 503);
        const std::string text(http::findHeader(refused.response.headers, "retry-after"));
        cr_assert(std::stod(text) > 1, "%s", text.c_str());
        cr_assert(fixture.call("stream").response.status == 200);
    }
    cr_assert(monoNow() - startedAt < Millis(500));
    cr_assert(fixture.first.exchanges.size() == 1U);
}

// An endpoint names text that is no number, at first and while it has named a limit.
Test(forwarder, a_limit_that_is_no_number_changes_nothing)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    std::string named = "-1";
    fixture.first.onRequest = [&named](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"server-limit", named});
        exchange->respond({200, headers, "done"});
    };
    for (int count = 0; count < 5; ++count)
        cr_assert(fixture.call("read").response.status == 200);
    named = "4";
    cr_assert(fixture.call("read").response.status == 200);
    named = "many";
    cr_assert(fixture.call("read").response.status == 503);
    fixture.loop.runFor(Millis(400));
    cr_assert(fixture.call("read").response.status == 200);
    cr_assert(fixture.call("read").response.status == 503);
}

// Guards against a limit that outlives its end, and against one that a late answer ends.
Test(forwarder, an_endpoint_that_names_no_limit_any_more_gets_all_requests)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    bool isInNeed = true;
    fixture.first.onRequest = [&isInNeed](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        if (isInNeed)
            headers.push_back({"server-limit", "4"});
        exchange->respond({200, headers, "done"});
    };
    cr_assert(fixture.call("read").response.status == 200);
    cr_assert(fixture.call("read").response.status == 503);
    isInNeed = false;
    fixture.loop.runFor(Millis(400));
    for (int count = 0; count < 10; ++count)
        cr_assert(fixture.call("read").response.status == 200);
}

// A request crashes each endpoint that begins to run it, and comes again with the same path, caller
// and body. Guards against it reaching endpoints again and again, and against sound requests beside
// it being refused.
Test(forwarder, a_request_that_crashes_endpoints_is_not_sent_to_them_again)
{
    constexpr std::size_t AllowedRetries = 3;
    Fixture fixture;
    fixture.tick();
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    const auto onRequest = [](const http::ExchangePtr &exchange) {
        exchange->request().body == "deadly" ? exchange->abort() : answerPlain(exchange);
    };
    fixture.first.onRequest = onRequest;
    fixture.second.onRequest = onRequest;
    const auto countDeadly = [&fixture] {
        std::size_t count = 0;
        for (const TestEndpoint *endpoint : {&fixture.first, &fixture.second}) {
            for (const http::ExchangePtr &exchange : endpoint->exchanges)
                count += exchange->request().body == "deadly" ? 1 : 0;
        }
        return count;
    };
    const auto comeAgain = [&fixture] {
        auto result = fixture.call("read", "", "deadly");
        fixture.restart(fixture.first, "desk");
        fixture.restart(fixture.second, "desk");
        fixture.loop.runFor(Millis(100));
        return result;
    };
    for (int crash = 0; crash < 3; ++crash) {
        comeAgain();
        cr_assert(fixture.call("read", "", "sound").response.status == 200);
    }
    fixture.loop.runFor(Millis(1200));
    const std::size_t reached = countDeadly();
    for (int count = 0; count < 5; ++count) {
        const auto result = comeAgain();
        cr_assert(result.response.status == 502 || result.response.status == 503);
        cr_assert(fixture.call("read", "", "sound").response.status == 200);
    }
    cr_assert(countDeadly() <= reached + AllowedRetries, "%zu after %zu", countDeadly(), reached);
    const auto refused = fixture.call("read", "", "deadly");
    cr_assert(refused.response.status == 503);
    cr_assert(not(http::findHeader(refused.response.headers, "retry-after").empty()));
}
