#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

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
        if (required.size() == 1) {
            http::Headers refusal = refusalHeaders(exchange);
            refusal.push_back({"weight-versions", "7"});
            return exchange->respond({503, refusal, ""});
        }
        if (required.size() == 3)
            return answerStream(exchange);
        exchange->begin(200, sealedHeaders(exchange));
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
        http::Headers headers = refusalHeaders(exchange);
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

// The time of a request is up while an endpoint has it, so it may have run. Guards against a
// request that is counted as not sent: its log line said so, and its tokens were given back.
Test(forwarder, a_request_whose_time_is_up_at_an_endpoint_has_been_sent)
{
    Fixture fixture;
    TableContent content = fixture.context.table->content();
    OrganisationSpec organisation;
    organisation.name = "weavers";
    organisation.keys = {"key-1"};
    organisation.tokensPerSecond = 1000;
    content.organisations = {organisation};
    for (ForwardRoute &changed : content.routes)
        changed.timeout = Millis(150);
    fixture.context.table = std::make_shared<const RoutingTable>(std::move(content));
    std::vector<double> unused;
    fixture.context.admission.request
        = [](const OrganisationSpec &, double, Millis, const TokenAdmission::Handler &handler) {
              handler({true, true, Millis(0)});
              return std::uint64_t{1};
          };
    fixture.context.admission.release
        = [&](std::uint64_t, bool, double tokens) { unused.push_back(tokens); };
    fixture.join(fixture.first, "models");
    const auto result
        = fixture.send("once", "a1:80,b2:20", {}, {{"authorization", "Bearer key-1"}});
    cr_assert(result.response.status == 504, "%d", result.response.status);
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(unused == std::vector<double>{0});
}
