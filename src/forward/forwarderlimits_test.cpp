#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

// An overloaded endpoint names the requests a second that it accepts. Guards against requests
// beyond that, against callers who are turned away for it, and against a limit that is not used.
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

// All endpoints of a service are overloaded. Guards against requests that wait although no permit
// can come in time, and against callers who are told to come back too early.
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
    bool isOverloaded = true;
    fixture.first.onRequest = [&isOverloaded](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        if (isOverloaded)
            headers.push_back({"server-limit", "4"});
        exchange->respond({200, headers, "done"});
    };
    cr_assert(fixture.call("read").response.status == 200);
    cr_assert(fixture.call("read").response.status == 503);
    isOverloaded = false;
    fixture.loop.runFor(Millis(400));
    for (int count = 0; count < 10; ++count)
        cr_assert(fixture.call("read").response.status == 200);
}
