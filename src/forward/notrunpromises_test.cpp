#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <utility>

using namespace lavenderhall;

namespace {

const Address OtherInstance{TestHost, 18134};

/// An answer of an endpoint that ran the request, with a status that promises callers that it has
/// not.
struct FalseRefusal
{
    int status = 503;
    bool isSealed = true;
    std::string body;

    bool operator==(const FalseRefusal &) const = default;
};

const std::vector<FalseRefusal> FalseRefusals{
    {503, true, "full"},  {503, true, ""},          {429, true, "too many"}, {408, true, "late"},
    {503, false, "full"}, {429, false, "too many"}, {408, false, ""},
};

/// Returns an answer of \a refusal to the request of \a exchange.
http::Response falseRefusalTo(const http::ExchangePtr &exchange, const FalseRefusal &refusal)
{
    http::Headers headers = sealedHeaders(exchange);
    if (!refusal.isSealed)
        std::erase(headers, http::Header{"response-seal", "seal"});
    headers.push_back({"retry-after", "0.050"});
    return {refusal.status, headers, refusal.body};
}

/// The answers to \a route while the endpoint gives it \a refusal.
http::Response answerTo(const std::string &route, const FalseRefusal &refusal, std::size_t &runs)
{
    const bool isPrompt = route == "once" || route == "stream";
    Fixture fixture;
    fixture.join(fixture.first, isPrompt ? "models" : "desk");
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        exchange->respond(falseRefusalTo(exchange, refusal));
    };
    http::Response response = fixture.call(route).response;
    runs = fixture.first.exchanges.size();
    return response;
}

/// An instance that reaches no endpoint, and another instance that answers for it with \a answer.
struct RelayFixture : Fixture
{
    explicit RelayFixture(TestEndpoint::Handler answer)
    {
        RegisteredEndpoint entry = this->first.entry("desk", 0);
        entry.id = "gone";
        entry.address.port = 18140; // nobody listens there
        this->selector.onChange({EndpointChange::Kind::Joined, entry});
        this->context.relayInstances = [] { return std::vector<Address>{OtherInstance}; };
        this->other.onRequest = std::move(answer);
    }

    TestEndpoint other{this->loop, "other", OtherInstance.port};
};

} // namespace

// Guards against telling the caller of a request that ran at an endpoint that it has not run and
// may be sent again: the endpoint had answered 503, 429 or 408 without stating that.
Test(notrunpromises, an_endpoints_status_alone_does_not_promise_that_a_request_has_not_run)
{
    for (const char *route : {"book", "once", "read", "stream"}) {
        for (const FalseRefusal &refusal : FalseRefusals) {
            std::size_t runs = 0;
            const http::Response response = answerTo(route, refusal, runs);
            cr_assert(runs == 1U);
            cr_assert(response.status == 502, "%s, %d: the caller got %d", route, refusal.status,
                      response.status);
        }
    }
}

// The endpoint's seal would vouch for the answer that replaces its own, and its pause promises that
// the request may come again.
Test(notrunpromises, an_answer_that_replaces_an_endpoints_bears_neither_its_seal_nor_its_pause)
{
    for (const FalseRefusal &refusal : FalseRefusals) {
        std::size_t runs = 0;
        const http::Response response = answerTo("book", refusal, runs);
        cr_assert(http::findHeader(response.headers, "response-seal").empty());
        cr_assert(http::findHeader(response.headers, "retry-after").empty());
        cr_assert(http::findHeader(response.headers, "request-id") == "r1");
    }
}

// A failure that promises nothing is passed on as it is.
Test(notrunpromises, other_failures_keep_the_endpoints_status_and_seal)
{
    for (const int status : {400, 404, 409, 500, 502, 504}) {
        std::size_t runs = 0;
        const http::Response response = answerTo("book", {status, true, "no"}, runs);
        cr_assert(response.status == status);
        cr_assert(http::findHeader(response.headers, "response-seal") == "seal");
    }
}

// A read may run again, and another endpoint may serve it.
Test(notrunpromises, a_read_goes_to_another_endpoint)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    int answers = 0;
    const auto respond = [&](const http::ExchangePtr &exchange) {
        ++answers == 1 ? exchange->respond(falseRefusalTo(exchange, {503, true, "full"}))
                       : answerPlain(exchange);
    };
    fixture.first.onRequest = respond;
    fixture.second.onRequest = respond;
    cr_assert(fixture.call("read").response.status == 200);
    cr_assert(answers == 2);
}

// Another instance serves the request, and its endpoint ran it. Guards against a booking that runs
// at a second endpoint, or whose caller is told to send it again.
Test(notrunpromises, an_endpoints_refusal_through_another_instance_promises_nothing)
{
    for (const FalseRefusal &refusal : FalseRefusals) {
        RelayFixture fixture([&](const http::ExchangePtr &exchange) {
            exchange->respond(falseRefusalTo(exchange, {refusal.status, true, refusal.body}));
        });
        const http::Response response = fixture.call("book").response;
        cr_assert(fixture.other.exchanges.size() == 1U);
        cr_assert(response.status == 502, "%d: the caller got %d", refusal.status, response.status);
    }
}

// Guards against a booking that runs at a third instance, or whose caller is told to send it again,
// because the other instance's answer to another request came in the place of its own.
Test(notrunpromises, another_instances_answer_to_another_request_does_not_count)
{
    for (const int status : {200, 421, 429, 503}) {
        RelayFixture fixture([&](const http::ExchangePtr &exchange) {
            exchange->respond({status, {{"request-id", "of-another"}}, "no"});
        });
        const http::Response response = fixture.call("book").response;
        cr_assert(fixture.other.exchanges.size() == 1U, "%d: relayed %zu times", status,
                  fixture.other.exchanges.size());
        cr_assert(response.status == 502, "%d: the caller got %d", status, response.status);
        cr_assert(fixture.context.client.connectionsTo(OtherInstance) == 0U);
    }
}

// The other instance states that it has not run the request: its caller is to come back.
Test(notrunpromises, another_instances_own_refusal_reaches_the_caller)
{
    for (const int status : {429, 503}) {
        RelayFixture fixture([&](const http::ExchangePtr &exchange) {
            http::Headers headers{{"retry-after", "0.300"}};
            headers.push_back(
                {"request-id",
                 std::string(http::findHeader(exchange->request().headers, "request-id"))});
            exchange->respond({status, headers, "no"});
        });
        const http::Response response = fixture.call("book").response;
        cr_assert(response.status == status);
        cr_assert(http::findHeader(response.headers, "retry-after") == "0.300");
    }
}
