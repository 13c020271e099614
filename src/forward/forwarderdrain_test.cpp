#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr Millis Grace{8000};

/// An instance that was asked to stop \a age ago. Nothing but the time tells it so: no timer of the
/// drain runs.
struct DrainFixture : Fixture
{
    explicit DrainFixture(Millis age, Millis grace = Grace)
    {
        this->context.drain.begin(drainTimingsOf(grace), monoNow() - age);
        this->join(this->first, "desk");
        this->first.onRequest = answerPlain;
    }

    /// Returns how many requests the metrics say that the stop has ended with \a outcome; -1 if
    /// they do not say.
    int stoppedCount(const std::string &outcome) const
    {
        const std::string series
            = "lavenderhall_drain_ended_requests_total{outcome=\"" + outcome + "\"} ";
        const std::string text = this->metrics.toText();
        const std::size_t at = text.find(series);
        return at == std::string::npos ? -1 : std::stoi(text.substr(at + series.size()));
    }
};

} // namespace

// Guards against a request that is passed on long after SIGTERM because the timer that ends the
// acceptance is late.
Test(forwarderdrain, a_request_taken_long_after_sigterm_is_refused_at_once)
{
    for (const char *route : {"read", "book"}) {
        DrainFixture fixture(Millis(3000));
        const auto result = fixture.call(route);
        cr_assert(result.ok);
        cr_assert(result.response.status == 503, "%s: %d", route, result.response.status);
        cr_assert(fixture.first.exchanges.empty(), "%s", route);
        cr_assert(fixture.stoppedCount("refused") == 1);
    }
}

// The balancer needs up to two seconds to notice. Guards against refusals of requests that it sends
// meanwhile.
Test(forwarderdrain, a_request_that_the_balancer_still_sends_is_served)
{
    DrainFixture fixture(Millis(2100));
    const auto result = fixture.call("book");
    cr_assert(result.ok);
    cr_assert(result.response.status == 200, "%d", result.response.status);
}

// A request comes in time and waits, here for the origin of a stream. Guards against work that
// begins when little of the grace time is left, and is given up at its end.
Test(forwarderdrain, a_request_that_waits_until_long_after_sigterm_does_not_begin)
{
    const Millis grace{1000};
    DrainFixture fixture(grace / 2 - Millis(100), grace);
    fixture.join(fixture.second, "models", 1);
    fixture.second.onRequest = answerStream;
    http::Timer timer;
    fixture.context.streamOrigins.find
        = [&](const std::string &, const std::string &, const StreamOriginHooks::Handler &handler) {
              timer = fixture.loop.after(Millis(200), [handler] {
                  handler({StreamOrigin::Kind::Known, std::string()});
              });
          };
    const auto result = fixture.resume("r0", 1);
    cr_assert(result.ok);
    cr_assert(result.response.status == 503, "%d", result.response.status);
    cr_assert(result.response.body.find("stopping") != std::string::npos, "%s",
              result.response.body.c_str());
    cr_assert(fixture.second.exchanges.empty());
    cr_assert(fixture.stoppedCount("not_begun") == 1);
}

// Guards against a stop that ends requests without a trace in the metrics, and against one that
// counts what it has not ended.
Test(forwarderdrain, requests_that_a_stop_ends_are_counted_by_how_they_ended)
{
    DrainFixture fixture(Millis(2100));
    fixture.join(fixture.second, "models", 1);
    fixture.call("book");
    cr_assert(fixture.stoppedCount("refused") == 0);
    cr_assert(fixture.stoppedCount("not_begun") == 0);
    cr_assert(fixture.stoppedCount("unknown") == 0);
    cr_assert(fixture.stoppedCount("cut") == 0);
    fixture.first.onRequest = [](const http::ExchangePtr &) {};
    const auto stopSoon
        = fixture.loop.after(Millis(200), [&fixture] { fixture.forwarder.stopAll(); });
    const auto unknown = fixture.call("book");
    cr_assert(unknown.response.status == 504, "%d", unknown.response.status);
    cr_assert(fixture.stoppedCount("unknown") == 1);
    fixture.second.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"content-type", "text/event-stream"});
        headers.push_back({"weight-versions", "2"});
        exchange->begin(200, headers);
        exchange->write("id: 1\ndata: x\n\n");
    };
    const auto stopLater
        = fixture.loop.after(Millis(200), [&fixture] { fixture.forwarder.stopAll(); });
    const auto cut = fixture.call("once");
    cr_assert(not(cut.ok));
    cr_assert(fixture.stoppedCount("cut") == 1);
    cr_assert(fixture.stoppedCount("unknown") == 1);
}

// Guards against a request that another instance relays to one that stops, and that is given up
// there while its own instance goes on. The instance that relays has others to choose from.
Test(forwarderdrain, a_relayed_request_is_sent_back_from_the_start_of_a_drain)
{
    DrainFixture fixture(Millis(0));
    fixture.isCallerAnInstance = true;
    const auto result = fixture.call("book");
    cr_assert(result.ok);
    cr_assert(result.response.status == UnableStatus, "%d", result.response.status);
    cr_assert(fixture.first.exchanges.empty());
}
