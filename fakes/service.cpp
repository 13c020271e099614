#include "service.h"

namespace lavenderhall::fakes {

namespace {

constexpr std::size_t MaxBodyBytes = 1U << 20U;

} // namespace

Service::Service(http::Loop &loop, const Address &listen)
    : loop(loop)
    , server(loop, listen, http::limitsWithMaxBody(MaxBodyBytes),
             [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
{ }

void Service::serve(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    if (request.path == "/_faults")
        return this->serveFaults(exchange);
    if (request.path == "/_runs")
        return exchange->respond(
            {200, {{"content-type", "application/json"}}, Json(this->runCounts).dump()});

    this->received += request.path + "?" + request.query + "\n" + request.body + "\n";
    for (const http::Header &header : request.headers)
        this->received += header.name + ": " + header.value + "\n";
    if (request.method != http::Method::Get)
        ++this->runCounts[request.body];

    if (this->faults.cutAfterRun > 0) {
        --this->faults.cutAfterRun;
        return exchange->abort();
    }
    if (this->faults.neverAnswer > 0) {
        --this->faults.neverAnswer;
        this->unanswered.push_back(exchange);
        return;
    }
    if (this->faults.delay == Millis(0))
        return this->answer(exchange);
    this->delayTimers[exchange.get()] = this->loop.after(this->faults.delay, [this, exchange] {
        this->answer(exchange);
        this->delayTimers.erase(exchange.get());
    });
}

void Service::answer(const http::ExchangePtr &exchange)
{
    const http::Request &request = exchange->request();
    const Json body{{"path", request.path},
                    {"method", http::toString(request.method)},
                    {"runs", this->runCounts[request.body]}};
    exchange->respond({200, {{"content-type", "application/json"}}, body.dump()});
}

void Service::serveFaults(const http::ExchangePtr &exchange)
{
    const Json json = Json::parse(exchange->request().body, nullptr, false);
    if (!json.is_object())
        return exchange->respond({400, {}, "expected a JSON object\n"});
    this->faults.cutAfterRun = json.value("cut_after_run", this->faults.cutAfterRun);
    this->faults.neverAnswer = json.value("never_answer", this->faults.neverAnswer);
    this->faults.delay = Millis(json.value("delay_ms", this->faults.delay.count()));
    exchange->respond({200, {}, "ok\n"});
}

} // namespace lavenderhall::fakes
