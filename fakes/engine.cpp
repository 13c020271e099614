#include "engine.h"

#include <algorithm>

namespace lavenderhall::fakes {

namespace {

constexpr std::size_t MaxBodyBytes = 16U << 20U;
constexpr std::int64_t DefaultOutputTokens = 16;
constexpr std::size_t KeptCacheEvents = 10'000;

http::Response jsonAnswer(int status, const Json &body)
{
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

http::Response errorAnswer(int status, const std::string &message)
{
    return jsonAnswer(status, {{"error", {{"message", message}, {"type", "engine_error"}}}});
}

} // namespace

Engine::Engine(http::Loop &loop, EngineOptions options)
    : loop(loop)
    , options(std::move(options))
    , server(loop, this->options.listen, http::limitsWithMaxBody(MaxBodyBytes),
             [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
{
    this->loaded.insert(this->options.model + "@" + this->options.version);
}

void Engine::serve(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    if (request.path == "/_faults")
        return this->serveFaults(exchange);
    this->received += request.path + "?" + request.query + "\n" + request.body + "\n";
    for (const http::Header &header : request.headers)
        this->received += header.name + ": " + header.value + "\n";
    if (this->faults.refuseAll)
        return exchange->abort();
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions")
        return this->serveCompletion(exchange);
    if (request.path == "/v1/load")
        return this->serveLoad(exchange);
    if (request.path == "/v1/cache-events")
        return this->serveCacheEvents(exchange);
    if (request.path == "/v1/orders")
        return this->serveOrder(exchange);
    exchange->respond(errorAnswer(404, "no such path"));
}

void Engine::serveCompletion(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return exchange->respond(errorAnswer(400, "the body is not a JSON object"));
    const std::string version = body.value("weights_version", this->options.version);
    if (!this->loaded.contains(body.value("model", "") + "@" + version))
        return exchange->respond(errorAnswer(404, "model or version not loaded"));

    ++this->requests;
    const auto session = std::make_shared<Session>();
    session->exchange = exchange;
    session->requestId = std::string(http::findHeader(request.headers, "x-request-id"));
    session->model = body.value("model", "");
    session->streams = body.value("stream", false);
    session->chat = request.path == "/v1/chat/completions";
    session->priority = body.value("priority", std::int64_t{0});
    session->outputTokens = body.value("max_tokens", DefaultOutputTokens);
    const std::string lastEvent(http::findHeader(request.headers, "last-event-id"));
    if (!lastEvent.empty())
        session->resumeAfter = std::atoll(lastEvent.substr(lastEvent.rfind(':') + 1).c_str());
    const PrefixScope scope{body.value("cache_salt", ""), session->model, body.value("adapter", ""),
                            version};
    const std::string prompt = promptTextOf(body);
    session->promptTokens
        = static_cast<std::int64_t>(prompt.size()) / this->options.bytesPerToken + 1;
    session->blocks = hashBlocks(
        scope, prompt,
        static_cast<std::size_t>(this->options.blockTokens * this->options.bytesPerToken));
    session->cutAt = std::exchange(this->faults.cutAfterTokens, 0);
    session->silentAt = std::exchange(this->faults.silentAfterTokens, 0);
    if (std::exchange(this->faults.crossNext, false))
        session->requestId = "another-request";
    exchange->onClosed([this, weak = std::weak_ptr(session)] {
        if (const SessionPtr gone = weak.lock())
            this->remove(gone);
    });
    this->sessions.push_back(session);
    this->waiting.push_back(session);
    this->startNext();
}

// One prefill at a time, the most urgent first; decoding goes on for all that have a slot.
void Engine::startNext()
{
    if (this->prefilling || this->waiting.empty()
        || this->running >= static_cast<std::size_t>(this->options.slots))
        return;
    const auto next = std::min_element(this->waiting.begin(), this->waiting.end(),
                                       [](const SessionPtr &one, const SessionPtr &other) {
                                           return one->priority < other->priority;
                                       });
    const SessionPtr session = *next;
    this->waiting.erase(next);
    ++this->running;
    this->prefilling = true;
    session->cachedTokens = this->takeCached(session->blocks) * this->options.blockTokens;
    const std::int64_t missing
        = std::max<std::int64_t>(0, session->promptTokens - session->cachedTokens);
    this->prefilled += static_cast<std::uint64_t>(missing);
    this->prompted += static_cast<std::uint64_t>(session->promptTokens);
    const auto micros = static_cast<std::int64_t>(1e6 * static_cast<double>(missing)
                                                  / this->options.prefillTokensPerSecond);
    session->timer = this->loop.after(std::chrono::ceil<Millis>(Micros(micros)), [this, session] {
        this->prefilling = false;
        this->startDecode(session);
        this->startNext();
    });
}

std::int64_t Engine::takeCached(const std::vector<BlockHash> &blocks)
{
    std::int64_t hits = 0;
    bool isPrefix = true;
    for (const BlockHash block : blocks) {
        const auto found = this->cache.find(block);
        isPrefix = isPrefix && found != this->cache.end();
        if (isPrefix)
            ++hits;
        if (found != this->cache.end()) {
            this->order.splice(this->order.end(), this->order, found->second);
            continue;
        }
        this->cache[block] = this->order.insert(this->order.end(), block);
        this->publish("stored", block);
        if (this->cache.size() <= this->options.cacheBlocks)
            continue;
        this->publish("removed", this->order.front());
        this->cache.erase(this->order.front());
        this->order.pop_front();
    }
    return hits;
}

void Engine::publish(const char *kind, BlockHash block)
{
    ++this->cacheSequence;
    if (this->faults.loseCacheEvents > 0) {
        --this->faults.loseCacheEvents;
        return;
    }
    this->cacheEvents.push_back({{"seq", this->cacheSequence}, {"kind", kind}, {"block", block}});
    if (this->cacheEvents.size() > KeptCacheEvents)
        this->cacheEvents.pop_front();
}

void Engine::startDecode(const SessionPtr &session)
{
    session->emitted = session->resumeAfter;
    if (session->streams)
        session->exchange->begin(
            200, {{"content-type", "text/event-stream"}, {"x-request-id", session->requestId}});
    this->emitToken(session);
}

void Engine::emitToken(const SessionPtr &session)
{
    if (session->emitted >= session->outputTokens)
        return session->streams ? this->endStream(session) : this->answerWhole(session);
    ++session->emitted;
    if (session->streams)
        session->exchange->write(this->contentEvent(*session));
    if (session->cutAt > 0 && session->emitted >= session->cutAt) {
        session->exchange->abort();
        return;
    }
    if (session->silentAt > 0 && session->emitted >= session->silentAt)
        return;
    session->timer = this->loop.after(this->options.tokenInterval,
                                      [this, session] { this->emitToken(session); });
}

std::string Engine::contentEvent(const Session &session) const
{
    const std::string text = "t" + std::to_string(session.emitted) + " ";
    Json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (session.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    const Json data{{"id", "chatcmpl-" + session.requestId},
                    {"object", session.chat ? "chat.completion.chunk" : "text_completion"},
                    {"created", wallMillis() / 1000},
                    {"model", session.model},
                    {"choices", Json::array({choice})}};
    return "id: " + session.requestId + ":" + std::to_string(session.emitted)
        + "\ndata: " + data.dump() + "\n\n";
}

void Engine::endStream(const SessionPtr &session)
{
    session->exchange->write("id: " + session->requestId + ":"
                             + std::to_string(session->emitted + 1) + "\ndata: [DONE]\n\n");
    session->exchange->end();
    this->remove(session);
}

void Engine::answerWhole(const SessionPtr &session)
{
    std::string text;
    for (std::int64_t token = 1; token <= session->outputTokens; ++token)
        text += "t" + std::to_string(token) + " ";
    Json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (session->chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const Json body{{"id", "chatcmpl-" + session->requestId},
                    {"object", session->chat ? "chat.completion" : "text_completion"},
                    {"created", wallMillis() / 1000},
                    {"model", session->model},
                    {"choices", Json::array({choice})},
                    {"usage",
                     {{"prompt_tokens", session->promptTokens},
                      {"completion_tokens", session->outputTokens},
                      {"total_tokens", session->promptTokens + session->outputTokens},
                      {"prompt_tokens_details", {{"cached_tokens", session->cachedTokens}}}}}};
    session->exchange->respond(
        {200,
         {{"content-type", "application/json"}, {"x-request-id", session->requestId}},
         body.dump()});
    this->remove(session);
}

void Engine::remove(const SessionPtr &session)
{
    const auto found = std::find(this->sessions.begin(), this->sessions.end(), session);
    if (found == this->sessions.end())
        return;
    this->sessions.erase(found);
    const auto waits = std::find(this->waiting.begin(), this->waiting.end(), session);
    if (waits != this->waiting.end())
        this->waiting.erase(waits);
    else
        --this->running;
    if (session->timer.isActive() && session->emitted == 0 && waits == this->waiting.end())
        this->prefilling = false;
    session->timer.cancel();
    this->startNext();
}

void Engine::crash()
{
    ++this->incarnation;
    this->cache.clear();
    this->order.clear();
    this->cacheEvents.clear();
    this->cacheSequence = 0;
    const auto cut = this->sessions;
    for (const SessionPtr &session : cut) {
        session->timer.cancel();
        session->exchange->abort();
    }
    this->waiting.clear();
    this->sessions.clear();
    this->running = 0;
    this->prefilling = false;
}

Json Engine::loadReport() const
{
    return {{"incarnation", this->incarnation},
            {"running", this->running},
            {"waiting", this->waiting.size()},
            {"cached_blocks", this->cache.size()},
            {"loaded", this->loaded}};
}

void Engine::serveLoad(const http::ExchangePtr &exchange)
{
    const MonoTime now = monoNow();
    if (this->oldReport.is_null() || now - this->oldReportAt > this->options.loadLag) {
        this->oldReport = this->loadReport();
        this->oldReportAt = now;
    }
    exchange->respond(jsonAnswer(200, this->oldReport));
}

void Engine::serveCacheEvents(const http::ExchangePtr &exchange)
{
    const std::string &query = exchange->request().query;
    const std::int64_t after = std::atoll(http::queryValue(query, "after").c_str());
    Json events = Json::array();
    for (const Json &event : this->cacheEvents) {
        if (event.value("seq", std::int64_t{0}) > after)
            events.push_back(event);
    }
    exchange->respond(jsonAnswer(200,
                                 {{"incarnation", this->incarnation},
                                  {"last", this->cacheSequence},
                                  {"events", std::move(events)}}));
}

void Engine::serveOrder(const http::ExchangePtr &exchange)
{
    const Json order = Json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object())
        return exchange->respond(errorAnswer(400, "an order is a JSON object"));
    const std::int64_t fence = order.value("fence", std::int64_t{0});
    if (this->options.checksFence && fence < this->highestFence)
        return exchange->respond(errorAnswer(409, "the fencing number is old"));
    this->highestFence = std::max(this->highestFence, fence);
    const std::string weights = order.value("model", "") + "@" + order.value("version", "");
    if (order.value("kind", "") == "unload") {
        this->loaded.erase(weights);
        return exchange->respond(jsonAnswer(200, {{"state", "unloaded"}}));
    }
    this->loading.push_back(this->loop.after(this->options.weightLoadTime,
                                             [this, weights] { this->loaded.insert(weights); }));
    exchange->respond(jsonAnswer(202, {{"state", "loading"}}));
}

void Engine::serveFaults(const http::ExchangePtr &exchange)
{
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object())
        return exchange->respond(errorAnswer(400, "expected a JSON object"));
    if (json.value("crash", false))
        this->crash();
    this->faults.cutAfterTokens = json.value("cut_after_tokens", this->faults.cutAfterTokens);
    this->faults.silentAfterTokens
        = json.value("silent_after_tokens", this->faults.silentAfterTokens);
    this->faults.refuseAll = json.value("refuse_all", this->faults.refuseAll);
    this->faults.crossNext = json.value("cross_next", this->faults.crossNext);
    this->faults.loseCacheEvents = json.value("lose_cache_events", this->faults.loseCacheEvents);
    exchange->respond(jsonAnswer(200,
                                 {{"prefilled_tokens", this->prefilled},
                                  {"prompt_tokens", this->prompted},
                                  {"requests", this->requests},
                                  {"streams", this->sessions.size()}}));
}

} // namespace lavenderhall::fakes
