#include "engine.h"

#include <algorithm>

namespace lavenderhall::fakes {

namespace {

constexpr std::size_t MaxBodyBytes = 16U << 20U;
constexpr std::int64_t DefaultOutputTokens = 16;
constexpr std::size_t MaxCacheEvents = 10'000; // kept to be read; older ones are dropped

http::Response jsonResponse(int status, const Json &body)
{
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

http::Response errorResponse(int status, const std::string &message)
{
    return jsonResponse(status, {{"error", {{"message", message}, {"type", "engine_error"}}}});
}

http::Response errorResponseTo(const std::string &requestId, int status, const std::string &message)
{
    http::Response response = errorResponse(status, message);
    response.headers.push_back({"x-request-id", requestId});
    return response;
}

} // namespace

Engine::Engine(http::Loop &loop, EngineOptions options)
    : loop(loop)
    , options(std::move(options))
    , server(loop, this->options.listen, http::limitsWithMaxBody(MaxBodyBytes),
             [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
{
    this->loadedWeights.insert(this->options.model + "@" + this->options.version);
}

void Engine::serve(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    if (request.path == "/_faults")
        return this->serveFaults(exchange);
    this->received += request.path + "?" + request.query + "\n" + request.body + "\n";
    for (const http::Header &header : request.headers)
        this->received += header.name + ": " + header.value + "\n";
    if (this->faults.abortAll)
        return exchange->abort();
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions")
        return this->serveCompletion(exchange);
    if (request.path == "/v1/load")
        return this->serveLoad(exchange);
    if (request.path == "/v1/cache-events")
        return this->serveCacheEvents(exchange);
    if (request.path == "/v1/orders")
        return this->serveOrder(exchange);
    exchange->respond(errorResponse(404, "no such path"));
}

void Engine::serveCompletion(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    const std::string requestId(http::findHeader(request.headers, "x-request-id"));
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return exchange->respond(errorResponseTo(requestId, 400, "the body is not a JSON object"));
    const std::string version = body.value("weights_version", this->options.version);
    if (!this->loadedWeights.contains(body.value("model", "") + "@" + version))
        return exchange->respond(errorResponseTo(requestId, 404, "model or version not loaded"));

    ++this->requests;
    const auto session = std::make_shared<Session>();
    session->exchange = exchange;
    session->requestId = requestId;
    session->model = body.value("model", "");
    session->isStream = body.value("stream", false);
    session->isChat = request.path == "/v1/chat/completions";
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
    session->cutAfterTokens = std::exchange(this->faults.cutAfterTokens, 0);
    session->silentAfterTokens = std::exchange(this->faults.silentAfterTokens, 0);
    if (std::exchange(this->faults.foreignIdNext, false))
        session->requestId = "another-request";
    exchange->onClosed([this, weak = std::weak_ptr(session)] {
        if (const SessionPtr closed = weak.lock())
            this->remove(closed);
    });
    this->sessions.push_back(session);
    this->waiting.push_back(session);
    this->startNextPrefill();
}

// Runs one prefill at a time, the most urgent first. All requests that hold a slot decode at once.
void Engine::startNextPrefill()
{
    if (this->isPrefilling || this->waiting.empty()
        || this->running >= static_cast<std::size_t>(this->options.slots))
        return;
    const auto next = std::min_element(this->waiting.begin(), this->waiting.end(),
                                       [](const SessionPtr &left, const SessionPtr &right) {
                                           return left->priority < right->priority;
                                       });
    const SessionPtr session = *next;
    this->waiting.erase(next);
    ++this->running;
    this->isPrefilling = true;
    session->cachedTokens = this->cachePrefix(session->blocks) * this->options.blockTokens;
    const std::int64_t missingTokens
        = std::max<std::int64_t>(0, session->promptTokens - session->cachedTokens);
    this->prefilledTokenCount += static_cast<std::uint64_t>(missingTokens);
    this->promptTokenCount += static_cast<std::uint64_t>(session->promptTokens);
    const auto micros = static_cast<std::int64_t>(1e6 * static_cast<double>(missingTokens)
                                                  / this->options.prefillTokensPerSecond);
    session->timer = this->loop.after(std::chrono::ceil<Millis>(Micros(micros)), [this, session] {
        this->isPrefilling = false;
        this->startDecode(session);
        this->startNextPrefill();
    });
}

std::int64_t Engine::cachePrefix(const std::vector<BlockHash> &blocks)
{
    std::int64_t cachedBlocks = 0;
    bool isPrefix = true;
    for (const BlockHash block : blocks) {
        const auto found = this->cache.find(block);
        isPrefix = isPrefix && found != this->cache.end();
        if (isPrefix)
            ++cachedBlocks;
        if (found != this->cache.end()) {
            this->evictionOrder.splice(this->evictionOrder.end(), this->evictionOrder,
                                       found->second);
            continue;
        }
        this->cache[block] = this->evictionOrder.insert(this->evictionOrder.end(), block);
        this->publishCacheEvent("stored", block);
        if (this->cache.size() <= this->options.cacheBlocks)
            continue;
        this->publishCacheEvent("removed", this->evictionOrder.front());
        this->cache.erase(this->evictionOrder.front());
        this->evictionOrder.pop_front();
    }
    return cachedBlocks;
}

void Engine::publishCacheEvent(const char *kind, BlockHash block)
{
    ++this->cacheSequence;
    if (this->faults.loseCacheEvents > 0) {
        --this->faults.loseCacheEvents;
        return;
    }
    this->cacheEvents.push_back({{"seq", this->cacheSequence}, {"kind", kind}, {"block", block}});
    if (this->cacheEvents.size() > MaxCacheEvents)
        this->cacheEvents.pop_front();
}

void Engine::startDecode(const SessionPtr &session)
{
    session->emittedTokens = session->resumeAfter;
    if (this->faults.statusAfterRun > 0)
        return this->respondWithStatusAfterRun(session);
    if (session->isStream)
        session->exchange->begin(
            200, {{"content-type", "text/event-stream"}, {"x-request-id", session->requestId}});
    this->emitToken(session);
}

void Engine::emitToken(const SessionPtr &session)
{
    if (session->emittedTokens >= session->outputTokens)
        return session->isStream ? this->endStream(session) : this->respondWithCompletion(session);
    ++session->emittedTokens;
    if (session->isStream)
        session->exchange->write(this->contentEvent(*session));
    if (session->cutAfterTokens > 0 && session->emittedTokens >= session->cutAfterTokens) {
        session->exchange->abort();
        return;
    }
    if (session->silentAfterTokens > 0 && session->emittedTokens >= session->silentAfterTokens)
        return;
    session->timer = this->loop.after(this->options.tokenInterval,
                                      [this, session] { this->emitToken(session); });
}

std::string Engine::contentEvent(const Session &session) const
{
    const std::string text = "t" + std::to_string(session.emittedTokens) + " ";
    Json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (session.isChat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    const Json data{{"id", "chatcmpl-" + session.requestId},
                    {"object", session.isChat ? "chat.completion.chunk" : "text_completion"},
                    {"created", wallMillis() / 1000},
                    {"model", session.model},
                    {"choices", Json::array({choice})}};
    return "id: " + session.requestId + ":" + std::to_string(session.emittedTokens)
        + "\ndata: " + data.dump() + "\n\n";
}

void Engine::endStream(const SessionPtr &session)
{
    session->exchange->write("id: " + session->requestId + ":"
                             + std::to_string(session->emittedTokens + 1) + "\ndata: [DONE]\n\n");
    session->exchange->end();
    this->remove(session);
}

void Engine::respondWithCompletion(const SessionPtr &session)
{
    std::string text;
    for (std::int64_t token = 1; token <= session->outputTokens; ++token)
        text += "t" + std::to_string(token) + " ";
    Json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (session->isChat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const Json body{{"id", "chatcmpl-" + session->requestId},
                    {"object", session->isChat ? "chat.completion" : "text_completion"},
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

void Engine::respondWithStatusAfterRun(const SessionPtr &session)
{
    session->exchange->respond(errorResponseTo(session->requestId, this->faults.statusAfterRun,
                                               "the run of " + session->requestId + " failed"));
    this->remove(session);
}

void Engine::remove(const SessionPtr &session)
{
    const auto found = std::find(this->sessions.begin(), this->sessions.end(), session);
    if (found == this->sessions.end())
        return;
    this->sessions.erase(found);
    const auto queued = std::find(this->waiting.begin(), this->waiting.end(), session);
    if (queued != this->waiting.end())
        this->waiting.erase(queued);
    else
        --this->running;
    // A running timer before the first token is that of the prefill.
    if (session->timer.isActive() && session->emittedTokens == 0 && queued == this->waiting.end())
        this->isPrefilling = false;
    session->timer.cancel();
    this->startNextPrefill();
}

void Engine::crash()
{
    ++this->incarnation;
    this->cache.clear();
    this->evictionOrder.clear();
    this->cacheEvents.clear();
    this->cacheSequence = 0;
    const auto aborted = this->sessions;
    for (const SessionPtr &session : aborted) {
        session->timer.cancel();
        session->exchange->abort();
    }
    this->waiting.clear();
    this->sessions.clear();
    this->running = 0;
    this->isPrefilling = false;
}

Json Engine::loadReport() const
{
    return {{"incarnation", this->incarnation},
            {"running", this->running},
            {"waiting", this->waiting.size()},
            {"cached_blocks", this->cache.size()},
            {"loaded", this->loadedWeights}};
}

void Engine::serveLoad(const http::ExchangePtr &exchange)
{
    const MonoTime now = monoNow();
    if (this->reportedLoad.is_null() || now - this->reportedLoadAt > this->options.loadLag) {
        this->reportedLoad = this->loadReport();
        this->reportedLoadAt = now;
    }
    exchange->respond(jsonResponse(200, this->reportedLoad));
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
    exchange->respond(jsonResponse(200,
                                   {{"incarnation", this->incarnation},
                                    {"last", this->cacheSequence},
                                    {"events", std::move(events)}}));
}

void Engine::serveOrder(const http::ExchangePtr &exchange)
{
    const Json order = Json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object())
        return exchange->respond(errorResponse(400, "an order is a JSON object"));
    const std::int64_t fence = order.value("fence", std::int64_t{0});
    if (this->options.checksFence && fence < this->highestFence)
        return exchange->respond(errorResponse(409, "the fencing number is old"));
    this->highestFence = std::max(this->highestFence, fence);
    const std::string weights = order.value("model", "") + "@" + order.value("version", "");
    if (order.value("kind", "") == "unload") {
        this->loadedWeights.erase(weights);
        return exchange->respond(jsonResponse(200, {{"state", "unloaded"}}));
    }
    this->weightLoadTimers.push_back(this->loop.after(
        this->options.weightLoadTime, [this, weights] { this->loadedWeights.insert(weights); }));
    exchange->respond(jsonResponse(202, {{"state", "loading"}}));
}

void Engine::serveFaults(const http::ExchangePtr &exchange)
{
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object())
        return exchange->respond(errorResponse(400, "expected a JSON object"));
    if (json.value("crash", false))
        this->crash();
    this->faults.cutAfterTokens = json.value("cut_after_tokens", this->faults.cutAfterTokens);
    this->faults.silentAfterTokens
        = json.value("silent_after_tokens", this->faults.silentAfterTokens);
    this->faults.abortAll = json.value("refuse_all", this->faults.abortAll);
    this->faults.foreignIdNext = json.value("cross_next", this->faults.foreignIdNext);
    this->faults.loseCacheEvents = json.value("lose_cache_events", this->faults.loseCacheEvents);
    exchange->respond(jsonResponse(200,
                                   {{"prefilled_tokens", this->prefilledTokenCount},
                                    {"prompt_tokens", this->promptTokenCount},
                                    {"requests", this->requests},
                                    {"streams", this->sessions.size()}}));
}

} // namespace lavenderhall::fakes
