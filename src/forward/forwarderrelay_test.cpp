#include "forward/forwarderfixture.h"
#include "forward/rawendpoint.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <string>
#include <utility>

using namespace lavenderhall;

namespace {

const Address RelayAddress{TestHost, 18134};
constexpr int UnreachableEndpoints = 5;
constexpr Millis AvoidanceTime{1100}; ///< after which an instance that has refused is asked again

/// An instance that reaches no endpoint, and another one that does.
struct CutOffFixture : Fixture
{
    CutOffFixture()
    {
        // No process listens on these ports.
        for (int number = 0; number < UnreachableEndpoints; ++number) {
            RegisteredEndpoint entry = this->first.entry("desk", 0);
            entry.id = "gone" + std::to_string(number);
            entry.address.port = static_cast<std::uint16_t>(18140 + number);
            this->selector.onChange({EndpointChange::Kind::Joined, entry});
        }
        this->context.relayInstances = [] { return std::vector<Address>{RelayAddress}; };
    }

    TestEndpoint other{this->loop, "other", RelayAddress.port};
};

} // namespace

// A cut of seconds between an instance and all endpoints, while callers keep their connections.
// Guards against refusals by the instance while others could serve.
Test(forwarderrelay, callers_of_an_instance_that_reaches_no_endpoint_are_served_by_another)
{
    CutOffFixture fixture;
    fixture.other.onRequest = answerPlain;
    for (const char *route : {"read", "book"}) {
        const auto result = fixture.call(route);
        cr_assert(result.ok);
        cr_assert(result.response.status == 200, "%s: %d", route, result.response.status);
        cr_assert(result.response.body == "done");
    }
}

// While the cut lasts, each new connection may take its whole timeout to fail. Guards against
// spending the caller's time on one after the other.
Test(forwarderrelay, a_request_tries_few_connections_before_another_instance_serves_it)
{
    CutOffFixture fixture;
    fixture.other.onRequest = answerPlain;
    const auto result = fixture.call("read");
    cr_assert(result.ok);
    cr_assert(result.response.status == 200);
    cr_assert(fixture.metrics.toText().find("{endpoint=\"never_sent\"} 2") != std::string::npos,
              "%s", fixture.metrics.toText().c_str());
}

// The cut resets a connection on which the endpoint has read the request. Guards against failing a
// request that may run again.
Test(forwarderrelay, a_read_whose_connection_is_reset_by_a_cut_is_served_by_another)
{
    CutOffFixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) { exchange->abort(); };
    fixture.other.onRequest = answerPlain;
    const auto result = fixture.call("read");
    cr_assert(result.ok);
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(result.response.status == 200, "%d", result.response.status);
}

Test(forwarderrelay, a_booking_whose_connection_is_reset_by_a_cut_is_not_sent_again)
{
    CutOffFixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) { exchange->abort(); };
    const auto result = fixture.call("book");
    cr_assert(result.ok);
    cr_assert(result.response.status == 502);
    cr_assert(fixture.other.exchanges.empty());
}

// The other instance refuses the request, which may have run here. Guards against telling the
// caller that it has not run.
Test(forwarderrelay, a_refusal_elsewhere_does_not_hide_that_a_read_may_have_run)
{
    for (const int status : {408, 421, 429, 503}) {
        for (const char *type : {"application/json", "text/event-stream"}) {
            CutOffFixture fixture;
            fixture.join(fixture.first, "desk");
            fixture.first.onRequest = [](const http::ExchangePtr &exchange) { exchange->abort(); };
            fixture.other.onRequest = [&](const http::ExchangePtr &exchange) {
                const auto id = http::findHeader(exchange->request().headers, "request-id");
                const http::Headers headers{{"request-id", std::string(id)},
                                            {"content-type", type}};
                exchange->respond({status, headers, "no"});
            };
            const auto result = fixture.call("read");
            cr_assert(result.ok, "%d, %s", status, type);
            cr_assert(fixture.other.exchanges.size() == 1U);
            cr_assert(result.response.status == 502, "%d, %s: the caller got %d", status, type,
                      result.response.status);
            cr_assert(http::findHeader(result.response.headers, "retry-after").empty());
        }
    }
}

// Requests are in flight on open connections when the cut begins, and nothing comes back. Endpoints
// may have sent the head of an answer before. Guards against waiting for their timeouts once the
// failures of others show the cut.
Test(forwarderrelay, a_read_that_hangs_in_a_silent_cut_is_served_by_another)
{
    for (const bool hasHead : {false, true}) {
        CutOffFixture fixture;
        fixture.join(fixture.first, "desk");
        fixture.first.onRequest = [hasHead](const http::ExchangePtr &exchange) {
            if (hasHead)
                exchange->begin(200, sealedHeaders(exchange));
        };
        fixture.other.onRequest = answerPlain;
        const http::Timer laterFailures = fixture.loop.after(Millis(600), [&fixture] {
            for (const char *endpoint : {"gone0", "gone1", "gone2"})
                fixture.context.reach.onUnreachable("desk", endpoint, monoNow());
            fixture.forwarder.onCutOff("desk");
        });
        const MonoTime start = monoNow();
        const auto result = fixture.call("read");
        cr_assert(result.ok);
        cr_assert(result.response.status == 200, "%d", result.response.status);
        cr_assert(monoNow() - start < Millis(2000));
    }
}

// The other instance may be cut off, too, and then it passes the request on to no third one.
Test(forwarderrelay, a_relayed_request_is_not_relayed_again)
{
    CutOffFixture fixture;
    fixture.isCallerAnInstance = true;
    const auto result = fixture.call("read");
    cr_assert(result.ok);
    cr_assert(result.response.status == UnableStatus);
    cr_assert(fixture.other.exchanges.empty());
}

// A request whose answer is lost on the way between the instances may have run.
Test(forwarderrelay, a_booking_that_may_have_run_elsewhere_is_sent_once_and_fails)
{
    CutOffFixture fixture;
    fixture.other.onRequest = [](const http::ExchangePtr &exchange) { exchange->abort(); };
    const auto result = fixture.call("book");
    cr_assert(result.ok);
    cr_assert(result.response.status == 502);
    cr_assert(fixture.other.exchanges.size() == 1U);
}

// A sound endpoint falls silent for a second, in the middle of a stream. Guards against taking that
// for a lost connection or a cut.
Test(forwarderrelay, a_stream_outlives_a_second_of_silence)
{
    Fixture fixture;
    fixture.join(fixture.first, "models");
    http::Timer rest;
    fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"content-type", "text/event-stream"});
        exchange->begin(200, headers);
        exchange->write("id: 1\ndata: x\n\n");
        rest = fixture.loop.after(Millis(1300), [exchange] {
            exchange->write("id: 2\ndata: end\n\n");
            exchange->end();
        });
    };
    const auto result = fixture.call("stream");
    cr_assert(result.ok);
    cr_assert(result.response.body == "id: 1\ndata: x\n\nid: 2\ndata: end\n\n");
    cr_assert(fixture.first.exchanges.size() == 1U);
}

// Guards against a booking that runs twice: an endpoint had refused it on its first way over the
// instance, and a second copy of that refusal, with the booking's own id, waits there.
Test(forwarderrelay, a_request_does_not_go_to_an_instance_again_that_was_unable)
{
    constexpr Millis LateAnswer{1200}; // by then, the first instance may be asked for others again
    const Address lateAddress{TestHost, 18137};
    CutOffFixture fixture;
    TestEndpoint late(fixture.loop, "late", lateAddress.port);
    fixture.context.relayInstances = [lateAddress] {
        return std::vector<Address>{RelayAddress, lateAddress};
    };
    const auto refuseAsUnable = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.pop_back(); // the seal
        exchange->respond({421, headers, ""});
    };
    http::Timer timer;
    fixture.other.onRequest = refuseAsUnable;
    late.onRequest = [&](const http::ExchangePtr &exchange) {
        timer = fixture.loop.after(LateAnswer, [=] { refuseAsUnable(exchange); });
    };
    // Whichever is asked first, the other one is asked after it and nobody a third time.
    for (int count = 0; count < 2; ++count) {
        cr_assert(fixture.call("book").response.status == 503);
        fixture.loop.runFor(LateAnswer);
    }
    cr_assert(fixture.other.exchanges.size() == 2U, "%zu", fixture.other.exchanges.size());
    cr_assert(late.exchanges.size() == 2U, "%zu", late.exchanges.size());
}

// Another instance refuses a relayed request and repeats the refusal when the request comes again.
// Guards against a booking that runs there and is reported as not run.
Test(forwarderrelay, the_copy_of_an_instances_refusal_ends_a_booking_that_is_sent_again)
{
    CutOffFixture fixture;
    const Address address{TestHost, 18137};
    std::map<const RawEndpoint::Connection *, std::string> copies;
    int arrivals = 0;
    const auto answer = [&](const RawEndpoint::ConnectionPtr &connection) {
        const std::string ids = "\r\nRequest-Id: " + connection->requestId();
        const std::string refusal = "HTTP/1.1 " + std::to_string(UnableStatus)
            + " Unable\r\nNot-Executed: 1" + ids + "\r\nContent-Length: 0\r\n\r\n";
        const std::string done
            = "HTTP/1.1 200 OK\r\nResponse-Seal: seal" + ids + "\r\nContent-Length: 4\r\n\r\ndone";
        std::string &copy = copies[connection.get()];
        if (++arrivals == 1)
            return connection->socket->write(copy = refusal);
        connection->socket->write(std::exchange(copy, {}) + done);
    };
    const RawEndpoint instance(fixture.loop, address, answer);
    fixture.context.relayInstances = [address] { return std::vector<Address>{address}; };
    cr_assert(fixture.call("book").response.status != 200);
    cr_assert(arrivals == 1);
    fixture.loop.runFor(AvoidanceTime);
    const http::SyncResult served = fixture.callAgain("book");
    cr_assert(arrivals == 2, "%d", arrivals);
    cr_assert(served.response.status == 200, "%d", served.response.status);
}
