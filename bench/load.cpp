#include "base/json.h"
#include "http/client.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <string>
#include <vector>

/// Load tool: sends completion requests at a steady rate or keeps streams open, and prints what
/// it saw as one JSON object.
using namespace lavenderhall;

namespace {

struct Plan
{
    Address target;
    std::string key;
    std::string model;
    long perSecond = 0; ///< open loop, if positive
    long streams = 0; ///< kept open at once, if positive
    long tokens = 1; ///< asked for in each request
    long seconds = 5;
};

class Load
{
public:
    Load(http::Loop &loop, Plan plan)
        : loop(loop)
        , plan(std::move(plan))
        , client(loop)
    { }

    Json run()
    {
        this->end = monoNow() + std::chrono::seconds(this->plan.seconds);
        this->startedAt = monoNow();
        if (this->plan.perSecond > 0)
            this->tick();
        for (long index = 0; index < this->plan.streams; ++index)
            this->send(true);
        this->loop.runFor(std::chrono::seconds(this->plan.seconds) + Millis(300));
        std::sort(this->latencies.begin(), this->latencies.end());
        return {{"answers", this->latencies.size()},
                {"failures", this->failures},
                {"events", this->events},
                {"p50_us", this->quantile(0.50)},
                {"p99_us", this->quantile(0.99)}};
    }

private:
    // Sends all that has fallen due, so that a slow answer does not thin the load out.
    void tick()
    {
        const auto elapsed = std::chrono::duration<double>(monoNow() - this->startedAt).count();
        const auto due = static_cast<long>(elapsed * static_cast<double>(this->plan.perSecond));
        for (; this->sent < due; ++this->sent)
            this->send(false);
        if (monoNow() < this->end)
            this->timer = this->loop.after(Millis(1), [this] { this->tick(); });
    }

    void send(bool streams)
    {
        const Json body{{"model", this->plan.model},
                        {"max_tokens", this->plan.tokens},
                        {"stream", streams},
                        {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
        http::CallRequest request;
        request.to = this->plan.target;
        request.method = http::Method::Post;
        request.path = "/v1/chat/completions";
        request.headers = {{"content-type", "application/json"},
                           {"authorization", "Bearer " + this->plan.key},
                           {"x-request-id", "load"}};
        request.body = body.dump();
        request.headTimeout = std::chrono::seconds(30);
        const MonoTime began = monoNow();
        const auto status = std::make_shared<int>(0);
        http::CallHandlers handlers;
        handlers.onHead = [status](int code, const http::Headers &) { *status = code; };
        handlers.onData = [this, streams](std::string_view data) {
            if (streams)
                this->events += std::count(data.begin(), data.end(), '{') / EventBraces;
        };
        handlers.onEnd = [this, status, began, streams] {
            if (*status != 200)
                ++this->failures;
            else if (!streams)
                this->latencies.push_back((monoNow() - began).count());
            if (streams && monoNow() < this->end)
                this->send(true);
        };
        handlers.onFailed = [this](const http::CallFailure &) { ++this->failures; };
        this->client.start(std::move(request), std::move(handlers));
    }

    long quantile(double q) const
    {
        if (this->latencies.empty())
            return 0;
        const auto index
            = static_cast<std::size_t>(q * static_cast<double>(this->latencies.size()));
        return this->latencies[std::min(index, this->latencies.size() - 1)];
    }

    static constexpr long EventBraces = 3; ///< opening braces in one event of the stand-in

    http::Loop &loop;
    Plan plan;
    http::Client client;
    http::Timer timer;
    MonoTime startedAt{};
    MonoTime end{};
    long sent = 0;
    long failures = 0;
    long events = 0;
    std::vector<long> latencies;
};

} // namespace

int main(int argc, const char **argv)
{
    Plan plan;
    char *host = nullptr;
    char *key = nullptr;
    char *model = nullptr;
    int port = 0;
    const poptOption options[]
        = {{"host", 0, POPT_ARG_STRING, &host, 0, "address of the target", "IP"},
           {"port", 0, POPT_ARG_INT, &port, 0, "port of the target", "N"},
           {"key", 0, POPT_ARG_STRING, &key, 0, "caller's key", "KEY"},
           {"model", 0, POPT_ARG_STRING, &model, 0, "model named in requests", "NAME"},
           {"rate", 0, POPT_ARG_LONG, &plan.perSecond, 0, "requests a second", "N"},
           {"streams", 0, POPT_ARG_LONG, &plan.streams, 0, "streams kept open", "N"},
           {"tokens", 0, POPT_ARG_LONG, &plan.tokens, 0, "tokens a request", "N"},
           {"seconds", 0, POPT_ARG_LONG, &plan.seconds, 0, "duration", "N"},
           POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("lavenderhall-load", argc, argv, options, 0);
    const int code = poptGetNextOpt(context);
    poptFreeContext(context);
    if (code < -1 || port <= 0 || !model) {
        std::cerr << "lavenderhall-load: --port and --model are needed\n";
        return 2;
    }
    plan.target = {host ? host : "127.0.0.1", static_cast<std::uint16_t>(port)};
    plan.key = key ? key : "";
    plan.model = model;
    for (char *text : {host, key, model})
        std::free(text);
    http::Loop loop;
    std::cout << Load(loop, plan).run().dump() << std::endl;
    return 0;
}
