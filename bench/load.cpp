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

/// Load generator: sends completion requests at a steady rate or keeps streams open, and prints
/// counts and latencies as one JSON object.
using namespace lavenderhall;

namespace {

struct LoadOptions
{
    Address target;
    std::string key;
    std::string model;
    long requestsPerSecond = 0; ///< sent whether or not earlier ones are answered; 0: none
    long streams = 0; ///< number kept open at once; 0: none
    long tokens = 1; ///< output tokens of each request
    long seconds = 5; ///< duration of the load
};

class LoadGenerator
{
public:
    LoadGenerator(http::Loop &loop, LoadOptions options)
        : loop(loop)
        , options(std::move(options))
        , client(loop)
    { }

    /// Runs the load for its duration and returns the figures; latencies are in microseconds.
    Json run()
    {
        this->end = monoNow() + std::chrono::seconds(this->options.seconds);
        this->startedAt = monoNow();
        if (this->options.requestsPerSecond > 0)
            this->sendDue();
        for (long index = 0; index < this->options.streams; ++index)
            this->send(true);
        this->loop.runFor(std::chrono::seconds(this->options.seconds) + AnswerGrace);
        std::sort(this->latencies.begin(), this->latencies.end());
        return {{"answers", this->latencies.size()},
                {"failures", this->failures},
                {"events", this->events},
                {"p50_us", this->quantile(0.50)},
                {"p99_us", this->quantile(0.99)}};
    }

private:
    // Sends all requests that are due by now, so that neither slow answers nor a late timer lower
    // the rate.
    void sendDue()
    {
        const auto elapsed = std::chrono::duration<double>(monoNow() - this->startedAt).count();
        const auto due
            = static_cast<long>(elapsed * static_cast<double>(this->options.requestsPerSecond));
        for (; this->sent < due; ++this->sent)
            this->send(false);
        if (monoNow() < this->end)
            this->timer = this->loop.after(Millis(1), [this] { this->sendDue(); });
    }

    void send(bool isStream)
    {
        const Json body{{"model", this->options.model},
                        {"max_tokens", this->options.tokens},
                        {"stream", isStream},
                        {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
        http::CallRequest request;
        request.to = this->options.target;
        request.method = http::Method::Post;
        request.path = "/v1/chat/completions";
        request.headers = {{"content-type", "application/json"},
                           {"authorization", "Bearer " + this->options.key},
                           {"x-request-id", "load"}};
        request.body = body.dump();
        request.headTimeout = std::chrono::seconds(30);
        const MonoTime sentAt = monoNow();
        const auto status = std::make_shared<int>(0);
        http::CallHandlers handlers;
        handlers.onHead = [status](int code, const http::Headers &) { *status = code; };
        handlers.onData = [this, isStream](std::string_view data) {
            if (isStream)
                this->events += std::count(data.begin(), data.end(), '{') / EventBraces;
        };
        handlers.onEnd = [this, status, sentAt, isStream] {
            if (*status != 200)
                ++this->failures;
            else if (!isStream)
                this->latencies.push_back((monoNow() - sentAt).count());
            if (isStream && monoNow() < this->end)
                this->send(true);
        };
        handlers.onFailed = [this](const http::CallFailure &) { ++this->failures; };
        this->client.start(std::move(request), std::move(handlers));
    }

    // Returns the q quantile (0 to 1) of the sorted latencies, 0 if there are none.
    long quantile(double q) const
    {
        if (this->latencies.empty())
            return 0;
        const auto index
            = static_cast<std::size_t>(q * static_cast<double>(this->latencies.size()));
        return this->latencies[std::min(index, this->latencies.size() - 1)];
    }

    static constexpr Millis AnswerGrace{300}; ///< for answers to the last requests
    static constexpr long EventBraces = 3; ///< opening braces in one event of the fake engine

    http::Loop &loop;
    LoadOptions options;
    http::Client client;
    http::Timer timer;
    MonoTime startedAt{};
    MonoTime end{};
    long sent = 0;
    long failures = 0;
    long events = 0;
    std::vector<long> latencies; ///< microseconds, of whole answers
};

} // namespace

int main(int argc, const char **argv)
{
    LoadOptions loadOptions;
    char *host = nullptr;
    char *key = nullptr;
    char *model = nullptr;
    int port = 0;
    const poptOption options[]
        = {{"host", 0, POPT_ARG_STRING, &host, 0, "address of the target", "IP"},
           {"port", 0, POPT_ARG_INT, &port, 0, "port of the target", "N"},
           {"key", 0, POPT_ARG_STRING, &key, 0, "caller's key", "KEY"},
           {"model", 0, POPT_ARG_STRING, &model, 0, "model named in requests", "NAME"},
           {"rate", 0, POPT_ARG_LONG, &loadOptions.requestsPerSecond, 0, "requests a second", "N"},
           {"streams", 0, POPT_ARG_LONG, &loadOptions.streams, 0, "streams kept open", "N"},
           {"tokens", 0, POPT_ARG_LONG, &loadOptions.tokens, 0, "tokens a request", "N"},
           {"seconds", 0, POPT_ARG_LONG, &loadOptions.seconds, 0, "duration", "N"},
           POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("lavenderhall-load", argc, argv, options, 0);
    const int code = poptGetNextOpt(context);
    poptFreeContext(context);
    if (code < -1 || port <= 0 || !model) {
        std::cerr << "lavenderhall-load: --port and --model are required\n";
        return 2;
    }
    loadOptions.target = {host ? host : "127.0.0.1", static_cast<std::uint16_t>(port)};
    loadOptions.key = key ? key : "";
    loadOptions.model = model;
    for (char *text : {host, key, model})
        std::free(text);
    http::Loop loop;
    std::cout << LoadGenerator(loop, loadOptions).run().dump() << std::endl;
    return 0;
}
