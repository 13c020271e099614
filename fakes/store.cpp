#include "store.h"

#include "base/json.h"

#include <algorithm>

namespace lavenderhall::fakes {

namespace {

constexpr std::string_view ObjectPath = "/v1/objects/";
constexpr std::size_t MaxObjectBytes = 1U << 20U;

http::Response textResponse(int status, std::string body = "\n")
{
    return {status, {{"content-type", "text/plain"}}, std::move(body)};
}

http::Response responseWithVersion(int status, std::int64_t version, std::string body)
{
    return {status,
            {{"content-type", "application/octet-stream"}, {"etag", std::to_string(version)}},
            std::move(body)};
}

} // namespace

bool Store::TokenBucket::tryTake()
{
    const MonoTime now = monoNow();
    const double elapsedSeconds = std::chrono::duration<double>(now - this->refilledAt).count();
    this->refilledAt = now;
    this->level = std::min(this->perSecond, this->level + elapsedSeconds * this->perSecond);
    if (this->level < 1)
        return false;
    this->level -= 1;
    return true;
}

Store::Store(http::Loop &loop, const Address &listen, int writesPerSecond, int readsPerSecond)
    : loop(loop)
    , server(loop, listen, http::limitsWithMaxBody(MaxObjectBytes),
             [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
{
    this->readBucket.perSecond = readsPerSecond;
    this->writeBucket.perSecond = writesPerSecond;
}

void Store::put(const std::string &name, std::string body)
{
    this->objects[name] = {++this->lastVersion, std::move(body)};
    this->answerWatches(name);
}

void Store::cutWatches()
{
    for (const auto &watch : std::exchange(this->watches, {}))
        watch->exchange->abort();
}

void Store::serve(const http::ExchangePtr &exchange)
{
    if (exchange->request().path == "/_faults")
        return this->serveFaults(exchange);
    if (this->faults.isUnreachable)
        return exchange->abort();
    if (this->faults.delay == Millis(0))
        return this->serveObject(exchange);
    this->delayTimers[exchange.get()] = this->loop.after(this->faults.delay, [this, exchange] {
        this->serveObject(exchange);
        this->delayTimers.erase(exchange.get());
    });
}

void Store::serveObject(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    if (this->faults.isDown)
        return exchange->respond(textResponse(503));
    const bool isRead = request.method == http::Method::Get;
    ++(isRead ? this->reads : this->writes);
    if (!(isRead ? this->readBucket : this->writeBucket).tryTake())
        return exchange->respond(textResponse(429));
    if (request.path == "/v1/list")
        return this->serveList(exchange);
    if (!request.path.starts_with(ObjectPath))
        return exchange->respond(textResponse(404));
    const std::string name = http::percentDecoded(request.path.substr(ObjectPath.size()));
    if (isRead)
        return this->serveRead(exchange, name);
    this->serveWrite(exchange, name);
}

void Store::serveRead(const http::ExchangePtr &exchange, const std::string &name)
{
    const auto found = this->objects.find(name);
    const std::int64_t version = found == this->objects.end() ? 0 : found->second.version;
    const std::string watch = http::queryValue(exchange->request().query, "watch");
    if (!watch.empty() && version <= std::atoll(watch.c_str()))
        return this->startWatch(exchange, name, std::atoll(watch.c_str()));
    if (version == 0)
        return exchange->respond(textResponse(404));
    exchange->respond(responseWithVersion(200, version, found->second.body));
}

void Store::startWatch(const http::ExchangePtr &exchange, const std::string &name,
                       std::int64_t afterVersion)
{
    const auto watch = std::make_shared<Watch>();
    watch->name = name;
    watch->afterVersion = afterVersion;
    watch->exchange = exchange;
    const Millis wait(std::atoll(http::queryValue(exchange->request().query, "wait_ms").c_str()));
    watch->timer = this->loop.after(wait, [this, raw = watch.get()] {
        raw->exchange->respond(responseWithVersion(304, raw->afterVersion, ""));
        std::erase_if(this->watches, [raw](const auto &entry) { return entry.get() == raw; });
    });
    exchange->onClosed([this, raw = watch.get()] {
        std::erase_if(this->watches, [raw](const auto &entry) { return entry.get() == raw; });
    });
    this->watches.push_back(watch);
}

void Store::answerWatches(const std::string &name)
{
    const auto waiting = std::exchange(this->watches, {});
    const Object &object = this->objects[name];
    for (const auto &watch : waiting) {
        if (watch->name == name && object.version > watch->afterVersion)
            watch->exchange->respond(responseWithVersion(200, object.version, object.body));
        else
            this->watches.push_back(watch);
    }
}

void Store::serveWrite(const http::ExchangePtr &exchange, const std::string &name)
{
    const http::Request &request = exchange->request();
    const auto found = this->objects.find(name);
    const std::int64_t version = found == this->objects.end() ? 0 : found->second.version;
    const bool mustCreate = http::findHeader(request.headers, "if-none-match") == "*";
    const std::string expected(http::findHeader(request.headers, "if-match"));
    if (!mustCreate && expected.empty())
        return exchange->respond(textResponse(400, "a write needs a condition\n"));
    if ((mustCreate && version != 0) || (!mustCreate && std::atoll(expected.c_str()) != version))
        return exchange->respond(responseWithVersion(412, version, "\n"));

    if (request.method == http::Method::Delete)
        this->objects.erase(name);
    else
        this->put(name, request.body);
    if (this->faults.loseAnswers > 0) {
        --this->faults.loseAnswers;
        return exchange->abort();
    }
    exchange->respond(responseWithVersion(200, this->lastVersion, "\n"));
}

void Store::serveList(const http::ExchangePtr &exchange)
{
    const std::string prefix = http::queryValue(exchange->request().query, "prefix");
    std::string names;
    for (const auto &[name, object] : this->objects) {
        if (name.starts_with(prefix))
            names += name + "\n";
    }
    exchange->respond(textResponse(200, names));
}

void Store::serveFaults(const http::ExchangePtr &exchange)
{
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object())
        return exchange->respond(textResponse(400, "expected a JSON object\n"));
    this->faults.isDown = json.value("down", this->faults.isDown);
    this->faults.isUnreachable = json.value("unreachable", this->faults.isUnreachable);
    this->faults.delay = Millis(json.value("delay_ms", this->faults.delay.count()));
    this->faults.loseAnswers = json.value("lose_answers", this->faults.loseAnswers);
    exchange->respond(
        textResponse(200, Json{{"reads", this->reads}, {"writes", this->writes}}.dump()));
}

} // namespace lavenderhall::fakes
