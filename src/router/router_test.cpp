#include "router/routerfixture.h"

using namespace lavenderhall;

namespace {

/// Returns whether the stream ended with the error \a code instead of the end mark.
bool endsWithErrorEvent(const Answer &answer, const std::string &code)
{
    return answer.body.find("[DONE]") == std::string::npos
        && answer.body.rfind("\"code\":\"" + code + "\"") != std::string::npos;
}

} // namespace

// A caller may only repeat a request safely if the outcome header is right, so no refused request
// may have reached an endpoint.
Test(router, refusals_have_a_status_and_a_code_and_state_that_nothing_ran)
{
    Fixture fixture;
    const std::string path = "/v1/chat/completions";
    const std::string validBody
        = R"({"model":"review","messages":[{"role":"user","content":"x"}]})";
    struct Case
    {
        http::Method method;
        std::string path;
        std::string secret;
        std::string body;
        int status;
        std::string code;
    };
    const std::string secret = fixture.millKey.secret;
    const std::vector<Case> cases{
        {http::Method::Post, path, "", validBody, 401, "missing_api_key"},
        {http::Method::Post, path, "lh_unknown", validBody, 401, "invalid_api_key"},
        {http::Method::Get, path, secret, "", 405, "method_not_allowed"},
        {http::Method::Post, path, secret, "{\"model\":", 400, "malformed_json"},
        {http::Method::Post, path, secret, "[]", 400, "malformed_json"},
        {http::Method::Post, path, secret, "{}", 400, "missing_model"},
        {http::Method::Post, path, secret, R"({"model":"nope","messages":[1]})", 404,
         "model_not_found"},
        {http::Method::Post, path, secret, R"({"model":"review"})", 400, "invalid_request"},
        {http::Method::Post, path, secret, R"({"model":"review","messages":[1],"max_tokens":-1})",
         400, "invalid_request"},
        {http::Method::Post, path, secret, R"({"model":"review","messages":[1],"stream":"yes"})",
         400, "invalid_request"},
        {http::Method::Get, "/nothing", secret, "", 404, "unknown_path"},
        {http::Method::Get, "/svc/nothing/x", secret, "", 404, "unknown_route"},
        {http::Method::Post, "/svc/orders/x", "", "x", 401, "missing_api_key"},
        {http::Method::Post, path, secret, std::string(200'000, 'x'), 413, "http_413"},
    };
    for (const Case &entry : cases) {
        const Answer answer = fixture.call(entry.method, entry.path, entry.secret, entry.body);
        cr_assert(answer.status == entry.status, "%s: %d", entry.code.c_str(), answer.status);
        cr_assert(answer.code() == entry.code, "%s: %s", entry.code.c_str(), answer.body.c_str());
        cr_assert(answer.outcome() == "not-run");
    }
    cr_assert(fixture.firstEngine.requestCount() + fixture.secondEngine.requestCount() == 0U);
    cr_assert(fixture.service.runs().empty());
}

Test(router, a_deeply_nested_request_body_is_refused_and_ends_no_process)
{
    constexpr std::size_t Depth = 49'000;
    Fixture fixture;
    const std::string body = R"({"model":"review","messages":[)" + std::string(Depth, '[')
        + std::string(Depth, ']') + "]}";
    const Answer answer
        = fixture.call(http::Method::Post, "/v1/chat/completions", fixture.millKey.secret, body);
    cr_assert(answer.status == 400);
    cr_assert(answer.code() == "malformed_json");
}

Test(router, models_are_listed_for_a_key_and_open_routes_need_none)
{
    Fixture fixture;
    const Answer models = fixture.call(http::Method::Get, "/v1/models", fixture.millKey.secret, "");
    cr_assert(Json::parse(models.body)["data"].size() == 2U);
    const Answer withoutKey = fixture.call(http::Method::Get, "/v1/models", "", "");
    cr_assert(Json::parse(withoutKey.body)["data"].empty());
    cr_assert(fixture.call(http::Method::Get, "/svc/stock/roll", "", "").status == 200);
    // An unknown key is refused even on a route that needs no key.
    cr_assert(fixture.call(http::Method::Get, "/svc/stock/roll", "lh_x", "").status == 401);
}

// The engines cut the stream, stop sending, send the events of another request, or refuse requests,
// in this order. The caller must get each token once and in order all the same.
Test(router, a_stream_is_complete_after_a_cut_a_stall_a_crossed_answer_and_a_refusal)
{
    Fixture fixture;
    for (int fault = 0; fault < 4; ++fault) {
        for (fakes::Engine *engine : {&fixture.firstEngine, &fixture.secondEngine}) {
            engine->faults = {};
            engine->faults.cutAfterTokens = fault == 0 ? 5 : 0;
            engine->faults.silentAfterTokens = fault == 1 ? 5 : 0;
            engine->faults.foreignIdNext = fault == 2;
            engine->faults.abortAll = fault == 3 && engine == &fixture.firstEngine;
        }
        const Answer answer = fixture.complete("review", 20, true);
        cr_assert(isWholeStream(answer, 20), "fault %d: %s", fault, answer.body.c_str());
        cr_assert(answer.outcome() == "ran");
    }
}

// A second attempt could run the request twice.
Test(router, an_unrepeatable_stream_that_is_cut_ends_with_an_error_event)
{
    Fixture fixture;
    fixture.firstEngine.faults.cutAfterTokens = 3;
    fixture.secondEngine.faults.cutAfterTokens = 3;
    const Answer answer = fixture.complete("once", 20, true);
    cr_assert(endsWithErrorEvent(answer, "stream_cut"));
    cr_assert(fixture.firstEngine.requestCount() + fixture.secondEngine.requestCount() == 1U);
}

// An engine that mixes up its connections returns the answer to another request, whose content this
// caller must not see.
Test(router, an_answer_to_another_request_is_not_delivered)
{
    Fixture fixture;
    fixture.firstEngine.faults.foreignIdNext = true;
    fixture.secondEngine.faults.foreignIdNext = true;
    const Answer answer = fixture.complete("review", 4, false);
    cr_assert(answer.status == 200);
    cr_assert(answer.body.find("another-request") == std::string::npos);
}

// A long stream could otherwise outlive the withdrawal of the key that authenticated it.
Test(router, a_withdrawn_key_ends_running_streams_and_stops_working)
{
    Fixture fixture;
    const AnswerPtr stream = fixture.startCompletion("review", 100'000, true);
    fixture.waitUntil([&] { return !stream->body.empty(); });
    fixture.setKeys({}, {fixture.rivalKey});
    fixture.waitUntil([&] { return stream->isDone(); });
    cr_assert(endsWithErrorEvent(*stream, "key_withdrawn"));
    cr_assert(fixture.complete("review", 2, false).code() == "invalid_api_key");
    fixture.waitUntil([&] {
        return fixture.firstEngine.activeRequests() + fixture.secondEngine.activeRequests() == 0;
    });
}

// Decoding and encoding the target again would change escaped slashes and parts of the query.
Test(router, a_service_gets_the_path_and_query_as_the_caller_sent_them)
{
    Fixture fixture;
    const Answer answer = fixture.call(http::Method::Get, "/svc/stock/a%20b%2Fc?x=%26&y", "", "");
    cr_assert(answer.status == 200);
    cr_assert(Json::parse(answer.body).at("path") == "/a%20b%2Fc");
    cr_assert(fixture.service.receivedText().find("/a%20b%2Fc?x=%26&y\n") != std::string::npos);
}

// A caller may put its key into the path, the query or the body by mistake, also in escaped form.
// Such a request must be refused, since its endpoint would otherwise see the key.
Test(router, no_endpoint_log_metric_or_event_carries_a_key)
{
    Fixture fixture;
    const std::string &secret = fixture.millKey.secret;
    fixture.complete("review", 2, true);
    fixture.call(http::Method::Post, "/svc/orders/book", secret, "roll");
    const Answer inBody = fixture.call(http::Method::Post, "/svc/orders/book", secret, secret);
    cr_assert(inBody.code() == "key_in_request");
    const Answer inQuery
        = fixture.call(http::Method::Post, "/svc/orders/book?key=" + secret, secret, "x");
    cr_assert(inQuery.code() == "key_in_request");
    const Answer inPath = fixture.call(http::Method::Post, "/svc/orders/" + secret, secret, "x");
    cr_assert(inPath.code() == "key_in_request");
    std::string encoded;
    for (const char c : secret) {
        char text[8];
        std::snprintf(text, sizeof text, "%%%02X", static_cast<unsigned>(c));
        encoded += text;
    }
    const Answer encodedInPath
        = fixture.call(http::Method::Post, "/svc/orders/" + encoded, secret, "x");
    cr_assert(encodedInPath.code() == "key_in_request");
    const Answer encodedInQuery
        = fixture.call(http::Method::Post, "/svc/orders/book?key=" + encoded, secret, "x");
    cr_assert(encodedInQuery.code() == "key_in_request");
    std::string escaped;
    for (const char c : secret) {
        char text[8];
        std::snprintf(text, sizeof text, "\\u%04x", static_cast<unsigned>(c));
        escaped += text;
    }
    const Answer escapedInBody = fixture.completeWith(R"({"model":"review","user":")" + escaped
                                                      + R"(","messages":[{"role":"user"}]})");
    cr_assert(escapedInBody.code() == "key_in_request");
    const std::string output = fixture.firstEngine.receivedText()
        + fixture.secondEngine.receivedText() + fixture.service.receivedText()
        + fixture.daemon.metricsText() + fixture.daemon.events().toJsonLines({});
    cr_assert(output.find(secret) == std::string::npos);
    cr_assert(output.find("engine-credential") != std::string::npos);
}

// The connection to the service breaks after the run, the service never answers, or it cannot be
// reached. A retry after one of the first two could run the call twice.
Test(router, an_unrepeatable_call_runs_at_most_once_and_reports_its_outcome)
{
    Fixture fixture;
    const auto book = [&](const std::string &body) {
        return fixture.call(http::Method::Post, "/svc/orders/book", fixture.millKey.secret, body);
    };
    cr_assert(book("good").outcome() == "ran");
    fixture.service.faults.cutAfterRun = 1;
    cr_assert(book("cut").outcome() == "unknown");
    fixture.service.faults.neverAnswer = 1;
    cr_assert(book("silent").outcome() == "unknown");
    for (const auto &[body, runs] : fixture.service.runs())
        cr_assert(runs == 1, "%s ran %d times", body.c_str(), runs);

    fixture.document["endpoints"][2]["port"] = 18699; // no process listens there
    fixture.publishDocument();
    const Answer refused = book("nobody");
    cr_assert(refused.outcome() == "not-run");
    cr_assert(not(fixture.service.runs().contains("nobody")));
}

// A caller that has got no answer repeats its request, possibly at another instance, which has to
// find the claim of the first one in the store.
Test(router, a_repeat_with_the_same_idempotency_key_does_not_run_again)
{
    Fixture fixture;
    Daemon other(fixture.loop, settingsOf(1));
    other.start();
    fixture.waitUntil([&] { return other.configVersion() == fixture.root.version; });
    const auto book = [&](std::uint16_t port, const std::string &key, const std::string &body) {
        const AnswerPtr answer
            = fixture.startAt(port, http::Method::Post, "/svc/orders/book", fixture.millKey.secret,
                              body, {{"idempotency-key", key}});
        fixture.waitUntil([&] { return answer->isDone(); });
        return *answer;
    };
    const std::uint16_t firstPort = settingsOf(0).listen.port;
    const std::uint16_t secondPort = settingsOf(1).listen.port;

    cr_assert(book(firstPort, "k1", "roll").status == 200);
    fixture.loop.runFor(Millis(100));
    const Answer repeated = book(secondPort, "k1", "roll");
    cr_assert(repeated.status == 200, "%s", repeated.body.c_str());
    cr_assert(http::findHeader(repeated.headers, ReplayedHeader) == "true");
    cr_assert(book(secondPort, "k1", "another roll").code() == "idempotency_key_reused");

    // The answer is lost after the run: a repeated request gets the outcome "unknown" and does not
    // run.
    fixture.service.faults.cutAfterRun = 1;
    cr_assert(book(firstPort, "k2", "dye").outcome() == "unknown");
    cr_assert(book(secondPort, "k2", "dye").outcome() == "unknown");

    // The store's answer is lost after the write: the instance recognises its own claim and runs
    // the request once.
    fixture.store.faults.loseAnswers = 1;
    const Answer recognised = book(firstPort, "k3", "lost claim");
    cr_assert(recognised.status == 200, "%d %s", recognised.status, recognised.body.c_str());

    // Without the store no claim can be made, so the request does not run.
    fixture.store.faults.isUnreachable = true;
    const Answer refused = book(firstPort, "k4", "no store");
    cr_assert(refused.outcome() == "not-run", "%s", refused.body.c_str());
    fixture.store.faults.isUnreachable = false;

    cr_assert(not(fixture.service.runs().contains("no store")));
    for (const auto &[body, runs] : fixture.service.runs())
        cr_assert(runs == 1, "%s ran %d times", body.c_str(), runs);
}

Test(router, a_leaving_or_draining_endpoint_gets_no_new_requests)
{
    Fixture fixture;
    const auto requestsAtFirstEngine = [&] {
        const std::size_t before = fixture.firstEngine.requestCount();
        for (int round = 0; round < 6; ++round)
            cr_assert(fixture.complete("review", 1, false).status == 200);
        return fixture.firstEngine.requestCount() - before;
    };
    fixture.store.put("platform/instances", R"([{"name":"gpu-1","state":"leaving"}])");
    fixture.waitUntil([&] {
        return fixture.daemon.events().toJsonLines({"", "", "endpoint_leaving"}).find("gpu-1")
            != std::string::npos;
    });
    cr_assert(requestsAtFirstEngine() == 0U);
    fixture.store.put("platform/instances", "[]");
    fixture.document["endpoints"][1]["draining"] = true;
    fixture.publishDocument();
    cr_assert(requestsAtFirstEngine() > 0U);
}

// A restart of an instance must not cut streams.
Test(router, a_drain_finishes_open_streams_and_refuses_new_requests)
{
    Fixture fixture;
    const AnswerPtr stream = fixture.startCompletion("review", 200, true);
    fixture.waitUntil([&] { return !stream->body.empty(); });
    fixture.daemon.drain();
    const Answer refused = fixture.complete("review", 1, false);
    cr_assert(refused.code() == "draining");
    cr_assert(refused.outcome() == "not-run");
    fixture.waitUntil([&] { return stream->isDone(); });
    cr_assert(isWholeStream(*stream, 200));
}

// Without backpressure, the router would buffer the whole stream of a million tokens.
Test(router, the_backlog_of_a_caller_that_stops_reading_is_bounded_and_its_call_ends)
{
    constexpr std::size_t MaxBacklogBytes = 1U << 20U;
    Fixture fixture;
    fixture.firstEngine.setTokenInterval(Millis(0));
    fixture.secondEngine.setTokenInterval(Millis(0));
    http::CallRequest request;
    request.to = localAddress(10);
    request.method = http::Method::Post;
    request.path = "/v1/chat/completions";
    request.headers = {{"authorization", "Bearer " + fixture.millKey.secret}};
    request.body = R"({"model":"review","max_tokens":1000000,"stream":true,)"
                   R"("messages":[{"role":"user","content":"x"}]})";
    http::CallHandlers handlers;
    http::CallPtr call;
    handlers.onData = [&](std::string_view) { call->setReading(false); };
    call = fixture.client.start(std::move(request), std::move(handlers));
    const auto activeRequests = [&] {
        return fixture.firstEngine.activeRequests() + fixture.secondEngine.activeRequests();
    };
    fixture.waitUntil([&] { return activeRequests() > 0; });
    std::size_t maxBacklog = 0;
    fixture.waitUntil([&] {
        maxBacklog = std::max(maxBacklog, fixture.daemon.backlogBytes());
        return activeRequests() == 0;
    });
    cr_assert(maxBacklog > 0 && maxBacklog < MaxBacklogBytes, "backlog %zu", maxBacklog);
}

Test(router, malformed_input_from_the_platform_and_from_callers_crashes_nothing)
{
    Fixture fixture;
    fixture.store.put("platform/instances",
                      R"([1, {"name":7,"state":"leaving"}, {"state":[]}, {"peer_port":"x"}])");
    fixture.store.put("platform/instances", R"({"not":"a list"})");
    fixture.store.put(RootObject, "not json");
    fixture.store.put("limits/erie/0", "not json");
    fixture.loop.runFor(Millis(200));
    const std::vector<std::string> bodies{
        R"({"model":"review","messages":[null]})",
        R"({"model":"review","messages":[{"role":1,"content":[{"x":[]}]}]})",
        R"({"model":"review","prompt":5,"messages":[[]],"max_tokens":1.5})",
        "{\"model\":\"review\",\"messages\":[\"\xff\xfe\"]}",
        R"({"model":["review"],"messages":[1]})",
    };
    for (const std::string &body : bodies)
        cr_assert(fixture.completeWith(body).status != 0, "%s", body.c_str());
    cr_assert(fixture.complete("review", 2, true).status == 200);
}

// A key could otherwise still be used after its withdrawal, which an isolated instance does not
// learn of.
Test(router, an_instance_cut_off_from_peers_and_store_refuses_keys)
{
    Fixture fixture;
    auto other = std::make_unique<Daemon>(fixture.loop, settingsOf(1));
    other->start();
    fixture.waitUntil([&] { return other->peerCount() == 1 && fixture.daemon.peerCount() == 1; });
    const AnswerPtr stream = fixture.startCompletion("review", 100'000, true);
    fixture.waitUntil([&] { return !stream->body.empty(); });
    // An outage of the store alone has no effect, since no key can be withdrawn during it.
    fixture.store.faults.isUnreachable = true;
    fixture.store.cutWatches();
    fixture.loop.runFor(Millis(2500));
    cr_assert(not(stream->isDone()));
    cr_assert(fixture.complete("review", 2, false).status == 200);

    other.reset();
    fixture.waitUntil([&] { return stream->isDone(); });
    cr_assert(endsWithErrorEvent(*stream, "instance_cut_off"));
    const Answer refused = fixture.complete("review", 2, false);
    cr_assert(refused.code() == "instance_cut_off");
    cr_assert(refused.outcome() == "not-run");
    cr_assert(fixture.call(http::Method::Get, "/svc/stock/roll", "", "").status == 200);

    fixture.store.faults.isUnreachable = false;
    Answer recovered;
    for (int round = 0; round < 40 && recovered.status != 200; ++round) {
        fixture.loop.runFor(Millis(200));
        recovered = fixture.complete("review", 2, false);
    }
    cr_assert(recovered.status == 200, "%s", recovered.body.c_str());
}

Test(router, the_last_configuration_stays_in_force_while_the_store_is_down)
{
    Fixture fixture;
    fixture.store.faults.isUnreachable = true;
    fixture.loop.runFor(Millis(100));
    cr_assert(fixture.complete("review", 3, true).status == 200);
    fixture.store.faults.isUnreachable = false;
    fixture.setKeys({}, {});
    cr_assert(fixture.complete("review", 3, true).status == 401);
}
