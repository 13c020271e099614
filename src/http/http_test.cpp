#include "http/client.h"
#include "http/server.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

constexpr std::uint16_t Port = 18101;
const Address Local{"127.0.0.1", Port};

/// Server that echoes, streams or cuts, by path.
struct Fixture
{
    Loop loop;
    Server server;
    Client client;
    std::vector<ExchangePtr> held;

    Fixture()
        : server(this->loop, {"test", Local, 1000, {"x-extra"}},
                 [this](const ExchangePtr &exchange) { this->serve(exchange); })
        , client(this->loop, "client", {"x-extra"})
    { }

    void serve(const ExchangePtr &exchange)
    {
        const Request &request = exchange->request();
        if (request.path == "/echo") {
            exchange->respond(
                {200,
                 {{"x-extra", std::string(findHeader(request.headers, "x-extra"))}},
                 std::string(toString(request.method)) + " " + request.query + " " + request.body});
            return;
        }
        this->held.push_back(exchange);
        exchange->begin(200, {{"content-type", "text/plain"}});
        exchange->write("one ");
        exchange->write("two");
        if (request.path == "/stream")
            exchange->end();
        else
            exchange->abort();
    }

    SyncResult call(CallRequest request)
    {
        SyncResult result;
        CallHandlers handlers;
        handlers.onHead = [&](int status, const Headers &headers) {
            result.response.status = status;
            result.response.headers = headers;
        };
        handlers.onData = [&](std::string_view data) { result.response.body.append(data); };
        handlers.onEnd = [&] {
            result.ok = true;
            this->loop.stop();
        };
        handlers.onFailed = [&](const CallFailure &failure) {
            result.failure = failure;
            this->loop.stop();
        };
        const CallPtr call = this->client.start(std::move(request), std::move(handlers));
        this->loop.runFor(std::chrono::seconds(5));
        return result;
    }
};

CallRequest request(Method method, std::string path, std::string body = {})
{
    CallRequest made;
    made.to = Local;
    made.method = method;
    made.path = std::move(path);
    made.body = std::move(body);
    return made;
}

} // namespace

Test(http, echoes_bodies_headers_and_queries_over_kept_connections)
{
    Fixture fixture;
    for (int round = 0; round < 3; ++round) {
        CallRequest post = request(Method::Post, "/echo?a=1&b=2", "hello");
        post.headers.push_back({"x-extra", "kept"});
        const SyncResult result = fixture.call(post);
        cr_assert(result.ok);
        cr_assert(result.response.body == "POST a=1&b=2 hello");
        cr_assert(findHeader(result.response.headers, "x-extra") == "kept");
    }
    cr_assert(fixture.call(request(Method::Get, "/echo")).response.body == "GET  ");
    cr_assert(fixture.call(request(Method::Put, "/echo", "x")).response.body == "PUT  x");
    cr_assert(fixture.call(request(Method::Delete, "/echo")).response.body == "DELETE  ");
}

Test(http, a_streamed_answer_ends_cleanly_and_a_cut_one_does_not)
{
    Fixture fixture;
    const SyncResult whole = fixture.call(request(Method::Get, "/stream"));
    cr_assert(whole.ok);
    cr_assert(whole.response.body == "one two");
    const SyncResult cut = fixture.call(request(Method::Get, "/cut"));
    cr_assert(not(cut.ok));
    cr_assert(cut.failure.maybeSent);
}

Test(http, a_refused_connection_is_known_not_to_have_been_sent)
{
    Fixture fixture;
    CallRequest toNobody = request(Method::Post, "/echo", "x");
    toNobody.to.port = 18109;
    const SyncResult result = fixture.call(toNobody);
    cr_assert(not(result.ok));
    cr_assert(not(result.failure.maybeSent));
}

Test(http, a_call_made_from_the_handler_of_a_failed_one_does_not_share_its_fate)
{
    Fixture fixture;
    SyncResult second;
    CallHandlers after;
    after.onEnd = [&] {
        second.ok = true;
        fixture.loop.stop();
    };
    after.onFailed = [&](const CallFailure &failure) {
        second.failure = failure;
        fixture.loop.stop();
    };
    CallHandlers handlers;
    handlers.onFailed
        = [&](const CallFailure &) { fixture.client.start(request(Method::Get, "/echo"), after); };
    fixture.client.start(request(Method::Get, "/cut"), handlers);
    fixture.loop.runFor(std::chrono::seconds(5));
    cr_assert(second.ok, "%s", second.failure.reason.c_str());
}

Test(http, answered_calls_keep_their_connection_for_the_next)
{
    Fixture fixture;
    for (int round = 0; round < 5; ++round) {
        cr_assert(fixture.call(request(Method::Post, "/echo", "x")).ok);
        fixture.loop.runFor(Millis(5));
    }
    cr_assert(fixture.server.connectionCount() == 1U);
}

Test(http, too_large_a_body_is_refused)
{
    Fixture fixture;
    const SyncResult result = fixture.call(request(Method::Post, "/echo", std::string(2000, 'x')));
    cr_assert(result.response.status == 413);
}

Test(http, an_answer_that_never_comes_times_out)
{
    Fixture fixture;
    Server silent(fixture.loop, {"silent", {"127.0.0.1", 18102}, 1000, {}},
                  [&](const ExchangePtr &exchange) { fixture.held.push_back(exchange); });
    CallRequest call = request(Method::Get, "/never");
    call.to.port = 18102;
    call.headTimeout = Millis(50);
    const SyncResult result = fixture.call(call);
    cr_assert(not(result.ok));
    cr_assert(result.failure.timedOut);
    cr_assert(result.failure.maybeSent);
}
