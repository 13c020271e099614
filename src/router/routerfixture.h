#pragma once

#include "config/publish.h"
#include "engine.h"
#include "identity/keyring.h"
#include "router/daemon.h"
#include "service.h"
#include "store.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <zmq.h>

/// A router of the OpenAI dialect between a caller, a store, two engines and a service, all on one
/// loop, for tests.
namespace lavenderhall {

inline constexpr std::uint16_t FirstPort = 18600;

inline Address localAddress(int offset)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + offset)};
}

inline FleetKeys fleetKeys()
{
    static const FleetKeys Keys = [] {
        char publicKey[41];
        char secretKey[41];
        zmq_curve_keypair(publicKey, secretKey);
        return FleetKeys{publicKey, secretKey};
    }();
    return Keys;
}

/// Returns the settings of instance \a index of a fleet; the ports of instances do not overlap.
inline Settings settingsOf(int index)
{
    Settings settings;
    settings.instance = "erie-" + std::to_string(index);
    settings.region = "erie";
    settings.zone = "erie-a";
    settings.listen = localAddress(10 + 3 * index);
    settings.admin = localAddress(11 + 3 * index);
    settings.peer = localAddress(12 + 3 * index);
    settings.store = localAddress(0);
    settings.engineCredential = "engine-credential";
    settings.fleetKeys = fleetKeys();
    settings.seeds = {localAddress(12), localAddress(15)};
    settings.maxBodyBytes = 100'000;
    settings.drainTimeout = std::chrono::seconds(5);
    settings.cutOffBound = std::chrono::seconds(2);
    return settings;
}

inline fakes::EngineOptions engineOptions(int offset)
{
    fakes::EngineOptions options;
    options.listen = localAddress(offset);
    options.loadLag = Millis(10);
    return options;
}

inline Json configuration()
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

/// An answer as a caller sees it.
struct Answer
{
    bool hasEnded = false; ///< completely, without a failure
    bool hasFailed = false;
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
    /// Whether the answer is complete or has failed.
    bool isDone() const { return this->hasEnded || this->hasFailed; }
};

using AnswerPtr = std::shared_ptr<Answer>;

/// A store, two engines, a service and one router instance on one event loop.
struct Fixture
{
    http::Loop loop;
    fakes::Store store;
    fakes::Engine firstEngine;
    fakes::Engine secondEngine;
    fakes::Service service;
    Daemon daemon;
    http::Client client;
    IssuedKey millKey = issueKey("mill");
    IssuedKey rivalKey = issueKey("rival");
    ConfigRoot root;
    Json document = configuration();

    Fixture()
        : store(this->loop, localAddress(0))
        , firstEngine(this->loop, engineOptions(1))
        , secondEngine(this->loop, engineOptions(2))
        , service(this->loop, localAddress(3))
        , daemon(this->loop, settingsOf(0))
        , client(this->loop)
    {
        this->daemon.start();
        this->setKeys({this->millKey}, {this->rivalKey});
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
        const ChunkedDocument chunked = splitDocument(std::get<Document>(parsed));
        for (const auto &[digest, text] : chunked.chunks)
            this->store.put(ChunkPrefix + digest, text);
        this->root = nextRoot(this->root, chunked.order, "test");
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
        handlers.onHead = [answer](int status, const http::Headers &received) {
            answer->status = status;
            answer->headers = received;
        };
        handlers.onData = [answer](std::string_view data) { answer->body.append(data); };
        handlers.onEnd = [answer] { answer->hasEnded = true; };
        handlers.onFailed = [answer](const http::CallFailure &) { answer->hasFailed = true; };
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
        return this->start(http::Method::Post, "/v1/chat/completions", this->millKey.secret,
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
        return this->call(http::Method::Post, "/v1/chat/completions", this->millKey.secret, body);
    }
};

/// Returns whether \a answer has the events 1 to \a tokens in order, followed by the end mark.
inline bool isWholeStream(const Answer &answer, int tokens)
{
    SseParser parser;
    const auto parsed = toOutcome([&] { return parser.feed(answer.body); });
    const auto &events = std::get<std::vector<SseEvent>>(parsed);
    if (!answer.hasEnded || events.size() != static_cast<std::size_t>(tokens) + 1)
        return false;
    for (int number = 1; number <= tokens; ++number) {
        const Json data = Json::parse(events[static_cast<std::size_t>(number) - 1].data);
        if (data["choices"][0]["delta"]["content"] != "t" + std::to_string(number) + " ")
            return false;
    }
    return events.back().data == StreamEndMark;
}

} // namespace lavenderhall
