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

/// Fake model engine for tests and load runs. It has the OpenAI interface, an LRU prefix cache, a
/// load report that lags, cache events that can be lost, and the platform's orders to load and
/// unload weights.
namespace lavenderhall::fakes {

struct EngineOptions
{
    Address listen;
    std::string model = "loom";
    std::string version = "v1"; ///< of the weights loaded at the start
    int slots = 16; ///< requests that are prefilled or decoded at once
    double prefillTokensPerSecond = 100'000;
    Millis tokenInterval{2}; ///< between output tokens
    std::size_t cacheBlocks = 64; ///< capacity of the prefix cache
    std::int64_t blockTokens = 2048;
    std::int64_t bytesPerToken = 4;
    bool checksFence = true; ///< refuses orders with an outdated fencing number
    Millis loadLag{200}; ///< maximum age of the load report
    Millis weightLoadTime{200}; ///< duration of loading weights by an order
};

/// Faults that a test can inject, also by POST /_faults.
struct EngineFaults
{
    int cutAfterTokens = 0; ///< aborts the next answer after this many tokens; 0: none
    int silentAfterTokens = 0; ///< stops the next answer, still open, after this many; 0: none
    bool abortAll = false; ///< aborts each connection instead of answering
    bool foreignIdNext = false; ///< gives the next answer another request's id
    int statusAfterRun = 0; ///< answers requests with this status once they have run; 0: none
    int loseCacheEvents = 0; ///< number of next cache events that are lost
};

class Engine
{
public:
    Engine(http::Loop &loop, EngineOptions options);

    EngineFaults faults;

    /// Aborts all requests and restarts as a new incarnation with an empty cache.
    void crash();
    void setTokenInterval(Millis interval) { this->options.tokenInterval = interval; }
    /// Returns the number of prompt tokens computed so far, without those from the cache.
    std::uint64_t prefilledTokens() const { return this->prefilledTokenCount; }
    /// Returns the number of prompt tokens of all requests whose prefill has begun, with those from
    /// the cache.
    std::uint64_t promptTokens() const { return this->promptTokenCount; }
    /// Returns the number of completion requests accepted so far.
    std::size_t requestCount() const { return this->requests; }
    /// Returns the number of completion requests that wait or run.
    std::size_t activeRequests() const { return this->sessions.size(); }
    /// Returns the paths, queries, bodies and headers of all requests, in which a test looks for
    /// texts that must not leave the router.
    const std::string &receivedText() const { return this->received; }

private:
    /// A completion request that waits or runs.
    struct Session
    {
        http::ExchangePtr exchange;
        std::string requestId;
        std::string model;
        bool isStream = false;
        bool isChat = true;
        std::int64_t priority = 0; ///< 0 is most urgent
        std::int64_t resumeAfter = 0; ///< number of the last event that the caller has
        std::int64_t outputTokens = 0;
        std::int64_t emittedTokens = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::vector<BlockHash> blocks;
        std::int64_t cutAfterTokens = 0; ///< see EngineFaults
        std::int64_t silentAfterTokens = 0; ///< see EngineFaults
        http::Timer timer; ///< of the prefill, then of the next token
    };
    using SessionPtr = std::shared_ptr<Session>;

    void serve(const http::ExchangePtr &exchange);
    void serveCompletion(const http::ExchangePtr &exchange);
    void serveLoad(const http::ExchangePtr &exchange);
    void serveCacheEvents(const http::ExchangePtr &exchange);
    void serveOrder(const http::ExchangePtr &exchange);
    void serveFaults(const http::ExchangePtr &exchange);
    void startNextPrefill();
    void startDecode(const SessionPtr &session);
    void emitToken(const SessionPtr &session);
    void endStream(const SessionPtr &session);
    void respondWithCompletion(const SessionPtr &session);
    void respondWithStatusAfterRun(const SessionPtr &session);
    /// Frees the session's place in the queue or its slot.
    void remove(const SessionPtr &session);
    /// Caches \a blocks and returns how many of them, from the first on, were cached before.
    std::int64_t cachePrefix(const std::vector<BlockHash> &blocks);
    void publishCacheEvent(const char *kind, BlockHash block);
    std::string contentEvent(const Session &session) const;
    Json loadReport() const;

    http::Loop &loop;
    EngineOptions options;
    std::int64_t incarnation = 1;
    std::vector<SessionPtr> sessions;
    std::vector<SessionPtr> waiting;
    std::size_t running = 0; ///< occupied slots
    bool isPrefilling = false;
    std::list<BlockHash> evictionOrder; ///< least recently used first
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> cache;
    std::deque<Json> cacheEvents;
    std::int64_t cacheSequence = 0; ///< number of the last cache event
    std::set<std::string> loadedWeights; ///< "MODEL@VERSION"
    std::int64_t highestFence = 0; ///< highest fencing number of an order so far
    Json reportedLoad; ///< load report that is given out until it is older than loadLag
    MonoTime reportedLoadAt{};
    std::uint64_t prefilledTokenCount = 0;
    std::uint64_t promptTokenCount = 0;
    std::size_t requests = 0;
    std::string received;
    std::vector<http::Timer> weightLoadTimers;
    http::Server server;
};

} // namespace lavenderhall::fakes
