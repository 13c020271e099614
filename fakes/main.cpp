#include "engine.h"
#include "service.h"
#include "store.h"

#include <csignal>
#include <cstdio>
#include <iostream>
#include <memory>
#include <popt.h>
#include <vector>

using namespace lavenderhall;

namespace {

/// The fakes that this process runs, all on one event loop.
struct RunningFakes
{
    std::vector<std::unique_ptr<fakes::Store>> stores;
    std::vector<std::unique_ptr<fakes::Engine>> engines;
    std::vector<std::unique_ptr<fakes::Service>> services;
};

Address addressOf(const Json &entry)
{
    return {entry.value("host", "127.0.0.1"), entry.at("port").get<std::uint16_t>()};
}

void startEngine(http::Loop &loop, const Json &entry, RunningFakes &running)
{
    fakes::EngineOptions options;
    options.listen = addressOf(entry);
    options.model = entry.value("model", options.model);
    options.version = entry.value("version", options.version);
    options.slots = entry.value("slots", options.slots);
    options.prefillTokensPerSecond
        = entry.value("prefill_tokens_per_second", options.prefillTokensPerSecond);
    options.tokenInterval = Millis(entry.value("token_ms", options.tokenInterval.count()));
    options.cacheBlocks = entry.value("cache_blocks", options.cacheBlocks);
    options.blockTokens = entry.value("block_tokens", options.blockTokens);
    options.bytesPerToken = entry.value("bytes_per_token", options.bytesPerToken);
    options.checksFence = entry.value("checks_fence", options.checksFence);
    running.engines.push_back(std::make_unique<fakes::Engine>(loop, options));
}

/// Starts the fakes that the JSON list \a plan describes, e.g. [{"kind":"store","port":8300}].
void startAll(http::Loop &loop, const Json &plan, RunningFakes &running)
{
    for (const Json &entry : plan) {
        const std::string kind = entry.at("kind");
        if (kind == "store")
            running.stores.push_back(std::make_unique<fakes::Store>(loop, addressOf(entry)));
        else if (kind == "service")
            running.services.push_back(std::make_unique<fakes::Service>(loop, addressOf(entry)));
        else if (kind == "engine")
            startEngine(loop, entry, running);
        else
            throw std::runtime_error("unknown kind of fake: " + kind);
    }
}

} // namespace

int main(int argc, const char **argv)
{
    char *planText = nullptr;
    const poptOption options[]
        = {{"plan", 'p', POPT_ARG_STRING, &planText, 0,
            "JSON list of fakes to start: [{\"kind\":\"store|engine|service\",\"port\":N,...}]",
            "JSON"},
           POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("lavenderhall-fakes", argc, argv, options, 0);
    if (poptGetNextOpt(context) < -1 || !planText) {
        poptPrintUsage(context, stderr, 0);
        poptFreeContext(context);
        return 2;
    }
    poptFreeContext(context);
    try {
        http::Loop loop;
        RunningFakes running;
        startAll(loop, Json::parse(planText), running);
        loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
        loop.onSignal(SIGINT, [&loop] { loop.stop(); });
        std::cout << "ready" << std::endl;
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << "lavenderhall-fakes: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
