#include "base/logcapture.h"
#include "forward/forwarderfixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/// What the log says of a request whose attempts did not all succeed, on an instance that has used
/// up the rate of its routine lines.
using namespace lavenderhall;

namespace {

void refuse(const http::ExchangePtr &exchange)
{
    exchange->respond({503, refusalHeaders(exchange), "full"});
}

/// Returns the line of \a event on \a requestId with \a part in \a log; "" if there is none.
std::string lineOf(const std::string &log, const std::string &event, const std::string &requestId,
                   const std::string &part)
{
    std::size_t begin = 0;
    while (begin < log.size()) {
        const std::size_t end = std::min(log.find('\n', begin), log.size());
        std::string line = log.substr(begin, end - begin) + " ";
        begin = end + 1;
        const bool isOfRequest = line.find(" event=" + event + " ") != std::string::npos
            && line.find(" request=" + requestId + " ") != std::string::npos;
        if (isOfRequest && line.find(" " + part + " ") != std::string::npos)
            return line;
    }
    return {};
}

/// A log whose rates of routine lines and of refusals are used up all the time.
struct BusyLog
{
    explicit BusyLog(http::Loop &loop)
        : loop(loop)
    {
        useUpRate(LineClass::Routine);
        useUpRate(LineClass::Refusal);
        this->tick();
    }

    void tick()
    {
        constexpr int LinesPerTick = 20; // in a millisecond, far more than the rate
        for (int line = 0; line < LinesPerTick; ++line) {
            logEvent(LogLevel::Info, LineClass::Routine, "filler");
            logEvent(LogLevel::Info, LineClass::Refusal, "filler");
        }
        this->timer = this->loop.after(Millis(1), [this] { this->tick(); });
    }

    LogCapture capture;
    http::Loop &loop;
    http::Timer timer;
};

} // namespace

// Guards against a request that may have run twice and of which no line is left.
Test(forwarderlog, both_attempts_are_logged_with_their_connections)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    int arrivals = 0;
    const auto refuseFirst = [&arrivals](const http::ExchangePtr &exchange) {
        return arrivals++ == 0 ? refuse(exchange) : answerPlain(exchange);
    };
    fixture.first.onRequest = refuseFirst;
    fixture.second.onRequest = refuseFirst;
    BusyLog log(fixture.loop);
    cr_assert(fixture.call("book").response.status == 200);
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(fixture.second.exchanges.size() == 1U);
    const std::string text = log.capture.text();
    const std::string id = fixture.lastRequestId();
    const std::string failed = lineOf(text, "attempt_failed", id, "end=refused");
    cr_assert(failed.find(" connection=1 ") != std::string::npos, "%s", text.c_str());
    cr_assert(not(lineOf(text, "endpoint_chosen", id, "attempt=2").empty()));
    const std::string done = lineOf(text, "request_done", id, "attempts=2");
    cr_assert(done.find(" connection=2 ") != std::string::npos, "%s", done.c_str());
    const bool isFirstRefused = failed.find(" endpoint=first ") != std::string::npos;
    const std::string served = isFirstRefused ? " endpoint=second " : " endpoint=first ";
    cr_assert(done.find(served) != std::string::npos, "%s", done.c_str());
}

// Guards against a request that its caller sends again, and of which the log then shows the refused
// attempt and not the one that has run: a connection that was not used tells that it came before.
Test(forwarderlog, a_request_that_is_sent_again_is_logged_though_it_is_served_at_once)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = refuse;
    BusyLog log(fixture.loop);
    cr_assert(fixture.call("book").response.status == 503);
    fixture.first.onRequest = answerPlain;
    fixture.loop.runFor(Millis(400)); // until the endpoint is not avoided any more
    cr_assert(fixture.callAgain("book").response.status == 200);
    const std::string text = log.capture.text();
    const std::string id = fixture.lastRequestId();
    cr_assert(not(lineOf(text, "attempt_failed", id, "connection=1").empty()));
    cr_assert(not(lineOf(text, "request_done", id, "status=503").empty()));
    cr_assert(not(lineOf(text, "request_done", id, "connection=2").empty()), "%s", text.c_str());
}

// Guards against an instance that serves a relayed request without a trace.
Test(forwarderlog, a_request_of_another_instance_is_logged_though_it_is_served_at_once)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = answerPlain;
    fixture.isCallerAnInstance = true;
    BusyLog log(fixture.loop);
    cr_assert(fixture.call("book").response.status == 200);
    const std::string text = log.capture.text();
    const std::string id = fixture.lastRequestId();
    cr_assert(not(lineOf(text, "endpoint_chosen", id, "endpoint=first").empty()));
    cr_assert(not(lineOf(text, "request_done", id, "endpoint=first").empty()));
}

// Guards against lines of requests that were served, or sent nowhere, which use up the rate of the
// lines on failures.
Test(forwarderlog, requests_that_are_served_or_refused_at_once_leave_the_rate_of_failures)
{
    Fixture fixture;
    const LogCapture log;
    useUpRate(LineClass::Failure);
    const std::uint64_t lostBefore = lostLogLines(LineClass::Failure);
    constexpr int Requests = 200;
    for (int count = 0; count < Requests; ++count)
        cr_assert(fixture.call("book").response.status == 503);
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = answerPlain;
    for (int count = 0; count < Requests; ++count)
        cr_assert(fixture.call("book").response.status == 200);
    cr_assert(lostLogLines(LineClass::Failure) == lostBefore);
}

// Guards against answers of other requests that no alert shows.
Test(forwarderlog, answers_that_do_not_count_are_counted_by_reason)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.join(fixture.second, "desk");
    const auto answerOther = [](const http::ExchangePtr &exchange) {
        exchange->respond({200, {{"request-id", "other"}, {"response-seal", "seal"}}, "x"});
    };
    fixture.first.onRequest = answerOther;
    fixture.second.onRequest = answerOther;
    cr_assert(fixture.call("book").response.status == 502);
    const auto answerTwice = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"not-executed", "1"});
        exchange->respond({200, headers, "x"});
    };
    fixture.first.onRequest = answerTwice;
    fixture.second.onRequest = answerTwice;
    cr_assert(fixture.call("book").response.status == 502);
    const std::string text = fixture.metrics.toText();
    const std::string name = "lavenderhall_discarded_answers_total{reason=";
    cr_assert(countOf(text, name + "\"foreign\"} 1\n") == 1U, "%s", text.c_str());
    cr_assert(countOf(text, name + "\"contradictory\"} 1\n") == 1U, "%s", text.c_str());
}
