#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

// One endpoint fails all requests at once, while the others end under this one. Guards against its
// failures being taken for a sign that the request is sound.
Test(forwarder, a_failure_answer_does_not_clear_a_request_that_crashes_endpoints)
{
    Fixture fixture;
    fixture.tick();
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) { exchange->abort(); };
    fixture.second.onRequest = [](const http::ExchangePtr &exchange) {
        exchange->respond({500, sealedHeaders(exchange), "failed"});
    };
    for (int crash = 0; crash < 4; ++crash) {
        fixture.call("read", "", "deadly");
        fixture.restart(fixture.first, "desk");
        fixture.loop.runFor(Millis(300));
    }
    fixture.loop.runFor(Millis(1200));
    cr_assert(fixture.call("read", "", "deadly").response.status == 503);
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
