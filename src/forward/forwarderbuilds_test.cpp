#include "base/outsidetext.h"
#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

/// Answers with the events from \a from on; the answer breaks off before its last event if
/// \a isBroken.
TestEndpoint::Handler answerEvents(int from, bool isBroken)
{
    return [from, isBroken](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"content-type", "text/event-stream"});
        exchange->begin(200, headers);
        exchange->write("id: " + std::to_string(from) + "\ndata: x\n\n");
        if (isBroken)
            return exchange->abort();
        exchange->write("id: " + std::to_string(from + 1) + "\ndata: end\n\n");
        exchange->end();
    };
}

/// The first endpoint runs an old build and breaks its answer off, the second has a new build.
struct BuildsFixture : Fixture
{
    BuildsFixture()
    {
        this->first.onRequest = answerEvents(1, true);
        this->second.onRequest = answerEvents(2, false);
        this->join(this->first, "v1");
    }

    void join(const TestEndpoint &endpoint, const std::string &build)
    {
        RegisteredEndpoint entry = endpoint.entry("models", 0);
        entry.build = build;
        this->selector.onChange({EndpointChange::Kind::Joined, entry});
    }
};

} // namespace

// A release replaces endpoints while they answer. Guards against an answer that joins two builds.
Test(forwarderbuilds, a_stream_does_not_go_on_at_another_build)
{
    BuildsFixture fixture;
    fixture.join(fixture.second, "v1.1");
    fixture.selector.avoid("second", monoNow() + Millis(300));
    const auto result = fixture.call("stream");
    cr_assert(fixture.first.exchanges.size() == 1U);
    cr_assert(not(result.ok));
    cr_assert(fixture.second.exchanges.empty());
}

// As above, over two requests of the caller. The endpoint that broke off comes last for a while.
Test(forwarderbuilds, a_stream_that_its_caller_takes_up_goes_on_at_the_build_that_began_it)
{
    BuildsFixture fixture;
    fixture.call("stream");
    const std::string begun = fixture.lastRequestId();
    fixture.join(fixture.second, "v1.1");
    fixture.first.onRequest = answerEvents(2, false);
    const auto result = fixture.resume(begun, 1);
    cr_assert(fixture.second.exchanges.empty());
    cr_assert(result.ok);
    cr_assert(result.response.status == 200);
}

// After all instances were killed, the accounts of rates start nearly empty and new streams press.
// Guards against losing the begun streams to the new ones.
Test(forwarderbuilds, a_stream_that_its_caller_resumes_waits_longer_for_tokens_than_a_new_one)
{
    BuildsFixture fixture;
    TableContent content = fixture.context.table->content();
    OrganisationSpec organisation;
    organisation.name = "mill";
    organisation.keys = {"k"};
    organisation.tokensPerSecond = 100;
    content.organisations = {organisation};
    fixture.context.table = std::make_shared<const RoutingTable>(std::move(content));
    std::vector<Millis> waits;
    fixture.context.admission.request = [&](const OrganisationSpec &, double, Millis maxWait,
                                            const TokenAdmission::Handler &onAnswer) {
        waits.push_back(maxWait);
        onAnswer({true, true, {}});
        return std::uint64_t{1};
    };
    fixture.context.admission.release = [](std::uint64_t, bool, double) {};
    const http::Header key{"authorization", "Bearer k"};
    fixture.send("stream", "a1:80,b2:20", {}, {key});
    const std::string begun = fixture.lastRequestId();
    fixture.first.onRequest = answerEvents(2, false);
    fixture.send("stream", "a1:80,b2:20", {}, {key, {"resumes", begun}, {"last-event-id", "1"}});
    cr_assert(waits.size() == 2U);
    cr_assert(waits.back() > 4 * waits.front());
}

// A stream is sent to an endpoint in vain, and another instance begins it. Guards against taking
// the endpoint's build for the one that began it.
Test(forwarderbuilds, a_stream_that_another_instance_begins_is_not_one_of_this_build)
{
    Fixture fixture;
    TestEndpoint other(fixture.loop, "other", 18134);
    other.onRequest = answerEvents(1, true);
    fixture.context.relayInstances = [&] { return std::vector<Address>{other.address}; };
    RegisteredEndpoint unreachable = fixture.first.entry("models", 0);
    unreachable.build = "v1";
    unreachable.address.port = 18140;
    fixture.selector.onChange({EndpointChange::Kind::Joined, unreachable});
    fixture.call("stream");
    cr_assert(other.exchanges.size() == 1U);
    const MonoTime now = monoNow();
    const StreamOrigin origin = fixture.origins.find(fixture.lastRequestId(), "models", now, now);
    cr_assert(origin.kind != StreamOrigin::Kind::Known);
}

Test(forwarderbuilds, a_request_id_that_is_not_utf8_can_be_written_to_the_store)
{
    BuildsFixture fixture;
    std::string looked;
    fixture.context.streamOrigins.find
        = [&](const std::string &stream, const std::string &, const auto &onFound) {
              looked = stream;
              onFound({StreamOrigin::Kind::Known, "v1"});
          };
    fixture.first.onRequest = answerEvents(2, false);
    const auto result = fixture.resume("r\xFF", 1);
    cr_assert(isUtf8(looked));
    cr_assert(result.response.status == 200);
    cr_assert(http::findHeader(fixture.first.exchanges.at(0)->request().headers, "resumes")
              == "r\xFF");
}

// All instances have just started again, and the directory is still empty. Guards against giving up
// streams whose endpoints will be known in a moment.
Test(forwarderbuilds, a_stream_is_not_given_up_before_any_endpoint_is_known)
{
    Fixture fixture;
    fixture.origins.onSent("r0", "models", "v1", monoNow());
    const auto early = fixture.resume("r0", 1);
    cr_assert(early.response.status == 503);
    cr_assert(not(http::findHeader(early.response.headers, "retry-after").empty()));
    RegisteredEndpoint newer = fixture.second.entry("models", 0);
    newer.build = "v1.1";
    fixture.selector.onChange({EndpointChange::Kind::Joined, newer});
    const auto hopeless = fixture.resume("r0", 1);
    cr_assert(hopeless.response.status == 503);
    cr_assert(http::findHeader(hopeless.response.headers, "retry-after").empty());
}
