#pragma once

#include "base/json.h"
#include "http/server.h"
#include "placement/prefix.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Stand-in for a model engine with the OpenAI interface, a prefix cache of limited memory, a
/// load report that lags, cache events that come late and with gaps, and orders.
namespace lavenderhall::fakes {

struct EngineOptions
{
    Address listen;
    std::string model = "loom";
    std::string version = "v1";
    int slots = 16;
    double prefillTokensPerSecond = 100'000;
    Millis tokenInterval{2};
    std::size_t cacheBlocks = 64;
    std::int64_t blockTokens = 2048;
    std::int64_t bytesPerToken = 4;
    bool checksFence = true; ///< refuses orders with an old fencing number
    Millis loadLag{200}; ///< age of the load report
    Millis weightLoadTime{200};
};

/// Faults that a test can switch on; also set by POST /_faults.
struct EngineFaults
{
    int cutAfterTokens = 0; ///< if positive: the next stream is cut after so many events
    int silentAfterTokens = 0; ///< if positive: the next stream goes silent after so many
    bool abortAll = false; ///< cuts each connection before answering
    bool foreignIdNext = false; ///< the next answer carries another request's id
    int loseCacheEvents = 0; ///< so many next cache events are left out
};

class Engine
{
public:
    Engine(http::Loop &loop, EngineOptions options);

    EngineFaults faults;

    /// Cuts all streams and comes back with an empty cache as a new incarnation.
    void crash();
    void setTokenInterval(Millis interval) { this->options.tokenInterval = interval; }
    std::uint64_t prefilledTokens() const { return this->prefilled; }
    std::uint64_t promptTokens() const { return this->prompted; }
    std::size_t requestCount() const { return this->requests; }
    std::size_t activeRequests() const { return this->sessions.size(); }
    /// Everything received, to look for what must not be there.
    const std::string &receivedText() const { return this->received; }

private:
    struct Session
    {
        http::ExchangePtr exchange;
        std::string requestId;
        std::string model;
        bool streams = false;
        bool chat = true;
        std::int64_t priority = 0;
        std::int64_t resumeAfter = 0;
        std::int64_t outputTokens = 0;
        std::int64_t emitted = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::vector<BlockHash> blocks;
        std::int64_t cutAt = 0;
        std::int64_t silentAt = 0;
        http::Timer timer;
    };
    using SessionPtr = std::shared_ptr<Session>;

    void serve(const http::ExchangePtr &exchange);
    void serveCompletion(const http::ExchangePtr &exchange);
    void serveLoad(const http::ExchangePtr &exchange);
    void serveCacheEvents(const http::ExchangePtr &exchange);
    void serveOrder(const http::ExchangePtr &exchange);
    void serveFaults(const http::ExchangePtr &exchange);
    void startNext();
    void startDecode(const SessionPtr &session);
    void emitToken(const SessionPtr &session);
    void endStream(const SessionPtr &session);
    void answerWhole(const SessionPtr &session);
    void remove(const SessionPtr &session);
    std::int64_t takeCached(const std::vector<BlockHash> &blocks);
    void publish(const char *kind, BlockHash block);
    std::string contentEvent(const Session &session) const;
    Json loadReport() const;

    http::Loop &loop;
    EngineOptions options;
    std::int64_t incarnation = 1;
    std::vector<SessionPtr> sessions;
    std::vector<SessionPtr> waiting;
    std::size_t running = 0;
    bool prefilling = false;
    std::list<BlockHash> order; ///< least recently used first
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> cache;
    std::deque<Json> cacheEvents;
    std::int64_t cacheSequence = 0;
    std::set<std::string> loaded;
    std::int64_t highestFence = 0;
    Json oldReport;
    MonoTime oldReportAt{};
    std::uint64_t prefilled = 0;
    std::uint64_t prompted = 0;
    std::size_t requests = 0;
    std::string received;
    std::vector<http::Timer> loading;
    http::Server server;
};

} // namespace lavenderhall::fakes
