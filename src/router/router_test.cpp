#include "config/publish.h"
#include "engine.h"
#include "identity/keyring.h"
#include "router/daemon.h"
#include "service.h"
#include "store.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <zmq.h>

using namespace lavenderhall;

namespace {

constexpr std::uint16_t FirstPort = 18600;

Address local(int offset)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + offset)};
}

FleetKeys fleetKeys()
{
    static const FleetKeys Keys = [] {
        char publicKey[41];
        char secretKey[41];
        zmq_curve_keypair(publicKey, secretKey);
        return FleetKeys{publicKey, secretKey};
    }();
    return Keys;
}

/// Instance number \a index of a fleet whose ports do not overlap.
Settings settingsOf(int index)
{
    Settings settings;
    settings.instance = "erie-" + std::to_string(index);
    settings.region = "erie";
    settings.zone = "erie-a";
    settings.listen = local(10 + 3 * index);
    settings.admin = local(11 + 3 * index);
    settings.peer = local(12 + 3 * index);
    settings.store = local(0);
    settings.engineCredential = "engine-credential";
    settings.fleetKeys = fleetKeys();
    settings.seeds = {local(12), local(15)};
    settings.maxBodyBytes = 100'000;
    settings.drainDeadline = std::chrono::seconds(5);
    settings.cutOffBound = std::chrono::seconds(2);
    return settings;
}

fakes::EngineOptions engineOptions(int offset)
{
    fakes::EngineOptions options;
    options.listen = local(offset);
    options.loadLag = Millis(10);
    return options;
}

Json configuration()
{
    return Json::parse(R"({
        "format": 1,
        "regions": [{"name": "erie"}],
        "organisations": [
            {"name": "mill", "tokens_per_second": 1000000, "burst_tokens": 10000000},
            {"name": "rival", "tokens_per_second": 1000000, "burst_tokens": 10000000}],
        "models": [{"name": "loom", "version": "v1", "adapters": []}],
        "endpoints": [
            {"name": "gpu-1", "kind": "engine", "host": "127.0.0.1", "port": 18601,
             "region": "erie", "zone": "a", "models": ["loom"]},
            {"name": "gpu-2", "kind": "engine", "host": "127.0.0.1", "port": 18602,
             "region": "erie", "zone": "a", "models": ["loom"]},
            {"name": "desk", "kind": "service", "host": "127.0.0.1", "port": 18603,
             "region": "erie", "zone": "a"}],
        "routes": [
            {"name": "review", "kind": "model", "model": "loom", "gap_ms": 300},
            {"name": "once", "kind": "model", "model": "loom", "gap_ms": 300, "repeatable": false},
            {"name": "orders", "kind": "service", "endpoints": ["desk"], "repeatable": false,
             "timeout_ms": 400},
            {"name": "stock", "kind": "service", "endpoints": ["desk"], "repeatable": true,
             "open_for": "mill"}]
    })");
}

/// A caller's view of an answer.
struct Answer
{
    bool ended = false; ///< cleanly
    bool failed = false;
    int status = 0;
    http::Headers headers;
    std::string body;

    std::string outcome() const
    {
        return std::string(http::findHeader(this->headers, OutcomeHeader));
    }
    std::string code() const
    {
        const Json json = Json::parse(this->body, nullptr, false);
        return json.is_object() && json.contains("error") ? json["error"].value("code", "") : "";
    }
    bool isDone() const { return this->ended || this->failed; }
};

using AnswerPtr = std::shared_ptr<Answer>;

/// A store, two engines, a service and one instance, all on one loop.
struct Fixture
{
    http::Loop loop;
    fakes::Store store;
    fakes::Engine first;
    fakes::Engine second;
    fakes::Service desk;
    Daemon daemon;
    http::Client client;
    IssuedKey mill = issueKey("mill");
    IssuedKey rival = issueKey("rival");
    ConfigRoot root;
    Json document = configuration();

    Fixture()
        : store(this->loop, local(0))
        , first(this->loop, engineOptions(1))
        , second(this->loop, engineOptions(2))
        , desk(this->loop, local(3))
        , daemon(this->loop, settingsOf(0))
        , client(this->loop)
    {
        this->daemon.start();
        this->setKeys({this->mill}, {this->rival});
    }

    static Json keysOf(const std::vector<IssuedKey> &keys)
    {
        Json list = Json::array();
        for (const IssuedKey &key : keys)
            list.push_back({{"id", key.record.id}, {"digest", key.record.digest}});
        return list;
    }

    void setKeys(const std::vector<IssuedKey> &millKeys, const std::vector<IssuedKey> &rivalKeys)
    {
        this->document["organisations"][0]["keys"] = keysOf(millKeys);
        this->document["organisations"][1]["keys"] = keysOf(rivalKeys);
        this->publishDocument();
    }

    /// Puts the document into the store and waits until it is in force.
    void publishDocument()
    {
        const auto parsed = toOutcome([&] { return parseDocument(this->document, "test"); });
        const ChunkedDocument cut = splitDocument(std::get<Document>(parsed));
        for (const auto &[digest, text] : cut.chunks)
            this->store.put(ChunkPrefix + digest, text);
        this->root = nextRoot(this->root, cut.order, "test");
        this->store.put(RootObject, toText(this->root));
        this->waitUntil([&] { return this->daemon.configVersion() == this->root.version; });
    }

    template <typename Condition> void waitUntil(Condition &&condition)
    {
        for (int round = 0; round < 4000 && !condition(); ++round)
            this->loop.runFor(Millis(5));
        cr_assert(condition(), "a condition did not come true in 20 s");
    }

    AnswerPtr start(http::Method method, const std::string &path, const std::string &secret,
                    std::string body, http::Headers headers = {})
    {
        return this->startAt(settingsOf(0).listen.port, method, path, secret, std::move(body),
                             std::move(headers));
    }

    AnswerPtr startAt(std::uint16_t port, http::Method method, const std::string &path,
                      const std::string &secret, std::string body, http::Headers headers)
    {
        http::CallRequest request;
        request.to = {"127.0.0.1", port};
        request.method = method;
        request.path = path;
        request.headers = std::move(headers);
        if (!secret.empty())
            request.headers.push_back({"authorization", "Bearer " + secret});
        request.body = std::move(body);
        auto answer = std::make_shared<Answer>();
        http::CallHandlers handlers;
        handlers.onHead = [answer](int status, const http::Headers &found) {
            answer->status = status;
            answer->headers = found;
        };
        handlers.onData = [answer](std::string_view data) { answer->body.append(data); };
        handlers.onEnd = [answer] { answer->ended = true; };
        handlers.onFailed = [answer](const http::CallFailure &) { answer->failed = true; };
        this->client.start(std::move(request), std::move(handlers));
        return answer;
    }

    Answer call(http::Method method, const std::string &path, const std::string &secret,
                std::string body, http::Headers headers = {})
    {
        const AnswerPtr answer
            = this->start(method, path, secret, std::move(body), std::move(headers));
        this->waitUntil([&] { return answer->isDone(); });
        return *answer;
    }

    AnswerPtr startCompletion(const std::string &route, int tokens, bool streams)
    {
        const Json body{{"model", route},
                        {"max_tokens", tokens},
                        {"stream", streams},
                        {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
        return this->start(http::Method::Post, "/v1/chat/completions", this->mill.secret,
                           body.dump());
    }

    Answer complete(const std::string &route, int tokens, bool streams)
    {
        const AnswerPtr answer = this->startCompletion(route, tokens, streams);
        this->waitUntil([&] { return answer->isDone(); });
        return *answer;
    }

    Answer completeWith(const std::string &body)
    {
        return this->call(http::Method::Post, "/v1/chat/completions", this->mill.secret, body);
    }
};

/// Whether \a answer holds events 1 to \a tokens in order and then the end mark.
bool isWholeStream(const Answer &answer, int tokens)
{
    SseParser parser;
    const auto parsed = toOutcome([&] { return parser.feed(answer.body); });
    const auto &events = std::get<std::vector<SseEvent>>(parsed);
    if (!answer.ended || events.size() != static_cast<std::size_t>(tokens) + 1)
        return false;
    for (int number = 1; number <= tokens; ++number) {
        const Json data = Json::parse(events[static_cast<std::size_t>(number) - 1].data);
        if (data["choices"][0]["delta"]["content"] != "t" + std::to_string(number) + " ")
            return false;
    }
    return events.back().data == StreamEndMark;
}

bool endsWithErrorEvent(const Answer &answer, const std::string &code)
{
    return answer.body.find("[DONE]") == std::string::npos
        && answer.body.rfind("\"code\":\"" + code + "\"") != std::string::npos;
}

} // namespace

Test(router, refusals_are_clear_and_say_not_run)
{
    Fixture fixture;
    const std::string path = "/v1/chat/completions";
    const std::string good = R"({"model":"review","messages":[{"role":"user","content":"x"}]})";
    struct Case
    {
        http::Method method;
        std::string path;
        std::string secret;
        std::string body;
        int status;
        std::string code;
    };
    const std::string secret = fixture.mill.secret;
    const std::vector<Case> cases{
        {http::Method::Post, path, "", good, 401, "missing_api_key"},
        {http::Method::Post, path, "lh_unknown", good, 401, "invalid_api_key"},
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
    cr_assert(fixture.first.requestCount() + fixture.second.requestCount() == 0U);
    cr_assert(fixture.desk.runs().empty());
}

Test(router, lists_models_for_a_key_and_serves_open_routes_without_one)
{
    Fixture fixture;
    const Answer models = fixture.call(http::Method::Get, "/v1/models", fixture.mill.secret, "");
    cr_assert(Json::parse(models.body)["data"].size() == 2U);
    const Answer none = fixture.call(http::Method::Get, "/v1/models", "", "");
    cr_assert(Json::parse(none.body)["data"].empty());
    cr_assert(fixture.call(http::Method::Get, "/svc/stock/roll", "", "").status == 200);
    // An unknown key is refused even where none is needed.
    cr_assert(fixture.call(http::Method::Get, "/svc/stock/roll", "lh_x", "").status == 401);
}

Test(router, a_stream_is_whole_through_a_crash_a_silence_and_a_crossed_answer)
{
    Fixture fixture;
    for (int fault = 0; fault < 4; ++fault) {
        for (fakes::Engine *engine : {&fixture.first, &fixture.second}) {
            engine->faults = {};
            engine->faults.cutAfterTokens = fault == 0 ? 5 : 0;
            engine->faults.silentAfterTokens = fault == 1 ? 5 : 0;
            engine->faults.crossNext = fault == 2;
            engine->faults.refuseAll = fault == 3 && engine == &fixture.first;
        }
        const Answer answer = fixture.complete("review", 20, true);
        cr_assert(isWholeStream(answer, 20), "fault %d: %s", fault, answer.body.c_str());
        cr_assert(answer.outcome() == "ran");
    }
}

Test(router, an_unrepeatable_stream_that_is_cut_ends_with_an_error_event)
{
    Fixture fixture;
    fixture.first.faults.cutAfterTokens = 3;
    fixture.second.faults.cutAfterTokens = 3;
    const Answer answer = fixture.complete("once", 20, true);
    cr_assert(endsWithErrorEvent(answer, "stream_cut"));
    cr_assert(fixture.first.requestCount() + fixture.second.requestCount() == 1U);
}

Test(router, a_whole_answer_to_another_request_reaches_nobody)
{
    Fixture fixture;
    fixture.first.faults.crossNext = true;
    fixture.second.faults.crossNext = true;
    const Answer answer = fixture.complete("review", 4, false);
    cr_assert(answer.status == 200);
    cr_assert(answer.body.find("another-request") == std::string::npos);
}

Test(router, a_withdrawn_key_ends_running_streams_and_stops_working)
{
    Fixture fixture;
    const AnswerPtr stream = fixture.startCompletion("review", 100'000, true);
    fixture.waitUntil([&] { return !stream->body.empty(); });
    fixture.setKeys({}, {fixture.rival});
    fixture.waitUntil([&] { return stream->isDone(); });
    cr_assert(endsWithErrorEvent(*stream, "key_withdrawn"));
    cr_assert(fixture.complete("review", 2, false).code() == "invalid_api_key");
    fixture.waitUntil(
        [&] { return fixture.first.activeStreams() + fixture.second.activeStreams() == 0; });
}

Test(router, a_service_gets_the_path_and_query_as_the_caller_sent_them)
{
    Fixture fixture;
    const Answer answer = fixture.call(http::Method::Get, "/svc/stock/a%20b%2Fc?x=%26&y", "", "");
    cr_assert(answer.status == 200);
    cr_assert(Json::parse(answer.body).at("path") == "/a%20b%2Fc");
    cr_assert(fixture.desk.seen().find("/a%20b%2Fc?x=%26&y\n") != std::string::npos);
}

Test(router, no_endpoint_log_metric_or_event_carries_a_key)
{
    Fixture fixture;
    const std::string &secret = fixture.mill.secret;
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
    const Answer hidden = fixture.completeWith(R"({"model":"review","user":")" + escaped
                                               + R"(","messages":[{"role":"user"}]})");
    cr_assert(hidden.code() == "key_in_request");
    const std::string all = fixture.first.seen() + fixture.second.seen() + fixture.desk.seen()
        + fixture.daemon.metricsText() + fixture.daemon.events().toJsonLines({});
    cr_assert(all.find(secret) == std::string::npos);
    cr_assert(all.find("engine-credential") != std::string::npos);
}

Test(router, an_unrepeatable_call_runs_at_most_once_and_its_outcome_is_true)
{
    Fixture fixture;
    const auto book = [&](const std::string &body) {
        return fixture.call(http::Method::Post, "/svc/orders/book", fixture.mill.secret, body);
    };
    cr_assert(book("good").outcome() == "ran");
    fixture.desk.faults.cutAfterRun = 1;
    cr_assert(book("cut").outcome() == "unknown");
    fixture.desk.faults.neverAnswer = 1;
    cr_assert(book("silent").outcome() == "unknown");
    for (const auto &[body, runs] : fixture.desk.runs())
        cr_assert(runs == 1, "%s ran %d times", body.c_str(), runs);

    fixture.document["endpoints"][2]["port"] = 18699; // nobody listens there
    fixture.publishDocument();
    const Answer refused = book("nobody");
    cr_assert(refused.outcome() == "not-run");
    cr_assert(not(fixture.desk.runs().contains("nobody")));
}

Test(router, a_repeat_with_the_same_idempotency_key_does_not_run_again)
{
    Fixture fixture;
    Daemon other(fixture.loop, settingsOf(1));
    other.start();
    fixture.waitUntil([&] { return other.configVersion() == fixture.root.version; });
    const auto book = [&](std::uint16_t port, const std::string &key, const std::string &body) {
        const AnswerPtr answer
            = fixture.startAt(port, http::Method::Post, "/svc/orders/book", fixture.mill.secret,
                              body, {{"idempotency-key", key}});
        fixture.waitUntil([&] { return answer->isDone(); });
        return *answer;
    };
    const std::uint16_t first = settingsOf(0).listen.port;
    const std::uint16_t second = settingsOf(1).listen.port;

    cr_assert(book(first, "k1", "roll").status == 200);
    fixture.loop.runFor(Millis(100));
    const Answer repeated = book(second, "k1", "roll");
    cr_assert(repeated.status == 200, "%s", repeated.body.c_str());
    cr_assert(http::findHeader(repeated.headers, ReplayedHeader) == "true");
    cr_assert(book(second, "k1", "another roll").code() == "idempotency_key_reused");

    // The answer is lost after the run: a repeat is told so, and does not run.
    fixture.desk.faults.cutAfterRun = 1;
    cr_assert(book(first, "k2", "dye").outcome() == "unknown");
    cr_assert(book(second, "k2", "dye").outcome() == "unknown");

    // The store's answer is lost after the write: the claim is recognised and runs once.
    fixture.store.faults.loseAnswers = 1;
    const Answer recognised = book(first, "k3", "lost claim");
    cr_assert(recognised.status == 200, "%d %s", recognised.status, recognised.body.c_str());

    // Without the store nothing is claimed, so nothing runs.
    fixture.store.faults.isUnreachable = true;
    const Answer refused = book(first, "k4", "no store");
    cr_assert(refused.outcome() == "not-run", "%s", refused.body.c_str());
    fixture.store.faults.isUnreachable = false;

    cr_assert(not(fixture.desk.runs().contains("no store")));
    for (const auto &[body, runs] : fixture.desk.runs())
        cr_assert(runs == 1, "%s ran %d times", body.c_str(), runs);
}

Test(router, a_leaving_or_draining_endpoint_gets_no_new_work)
{
    Fixture fixture;
    const auto share = [&] {
        const std::size_t before = fixture.first.requestCount();
        for (int round = 0; round < 6; ++round)
            cr_assert(fixture.complete("review", 1, false).status == 200);
        return fixture.first.requestCount() - before;
    };
    fixture.store.put("platform/instances", R"([{"name":"gpu-1","state":"leaving"}])");
    fixture.waitUntil([&] {
        return fixture.daemon.events().toJsonLines({"", "", "endpoint_leaving"}).find("gpu-1")
            != std::string::npos;
    });
    cr_assert(share() == 0U);
    fixture.store.put("platform/instances", "[]");
    fixture.document["endpoints"][1]["draining"] = true;
    fixture.publishDocument();
    cr_assert(share() > 0U);
}

Test(router, a_drain_cuts_nothing_and_refuses_what_is_new)
{
    Fixture fixture;
    const AnswerPtr stream = fixture.startCompletion("review", 200, true);
    fixture.waitUntil([&] { return !stream->body.empty(); });
    fixture.daemon.drain();
    const Answer late = fixture.complete("review", 1, false);
    cr_assert(late.code() == "draining");
    cr_assert(late.outcome() == "not-run");
    fixture.waitUntil([&] { return stream->isDone(); });
    cr_assert(isWholeStream(*stream, 200));
}

Test(router, a_caller_that_stops_reading_does_not_grow_memory_and_is_given_up)
{
    constexpr std::size_t MostBacklogBytes = 1U << 20U;
    Fixture fixture;
    fixture.first.setTokenInterval(Millis(0));
    fixture.second.setTokenInterval(Millis(0));
    http::CallRequest request;
    request.to = local(10);
    request.method = http::Method::Post;
    request.path = "/v1/chat/completions";
    request.headers = {{"authorization", "Bearer " + fixture.mill.secret}};
    request.body = R"({"model":"review","max_tokens":1000000,"stream":true,)"
                   R"("messages":[{"role":"user","content":"x"}]})";
    http::CallHandlers handlers;
    http::CallPtr call;
    handlers.onData = [&](std::string_view) { call->setReading(false); };
    call = fixture.client.start(std::move(request), std::move(handlers));
    const auto streams
        = [&] { return fixture.first.activeStreams() + fixture.second.activeStreams(); };
    fixture.waitUntil([&] { return streams() > 0; });
    std::size_t most = 0;
    fixture.waitUntil([&] {
        most = std::max(most, fixture.daemon.backlogBytes());
        return streams() == 0;
    });
    cr_assert(most > 0 && most < MostBacklogBytes, "backlog %zu", most);
}

Test(router, odd_values_from_the_platform_and_from_callers_crash_nothing)
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

Test(router, an_instance_that_is_cut_off_alone_stops_trusting_keys)
{
    Fixture fixture;
    auto other = std::make_unique<Daemon>(fixture.loop, settingsOf(1));
    other->start();
    fixture.waitUntil([&] { return other->peerCount() == 1 && fixture.daemon.peerCount() == 1; });
    const AnswerPtr stream = fixture.startCompletion("review", 100'000, true);
    fixture.waitUntil([&] { return !stream->body.empty(); });
    // The store alone away changes nothing: nobody can withdraw a key then.
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
    Answer again;
    for (int round = 0; round < 40 && again.status != 200; ++round) {
        fixture.loop.runFor(Millis(200));
        again = fixture.complete("review", 2, false);
    }
    cr_assert(again.status == 200, "%s", again.body.c_str());
}

Test(router, serves_from_the_old_configuration_while_the_store_is_down)
{
    Fixture fixture;
    fixture.store.faults.isUnreachable = true;
    fixture.loop.runFor(Millis(100));
    cr_assert(fixture.complete("review", 3, true).status == 200);
    fixture.store.faults.isUnreachable = false;
    fixture.setKeys({}, {});
    cr_assert(fixture.complete("review", 3, true).status == 401);
}
