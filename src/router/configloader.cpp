#include "router/configloader.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr Millis WatchWait = std::chrono::seconds(30); ///< of one watch without a change
constexpr Millis InitialRetryDelay{200};
constexpr int MaxRetryDoublings = 4;
constexpr std::uint32_t FetchRetryJitterMillis = 200;

} // namespace

ConfigLoader::ConfigLoader(http::Loop &loop, StoreClient &store, ConfigHandler onConfig,
                           RefusalHandler onRefused, std::uint64_t seed)
    : loop(loop)
    , store(store)
    , onConfig(std::move(onConfig))
    , onRefused(std::move(onRefused))
    , random(seed)
{ }

void ConfigLoader::start()
{
    this->lastAnswerAt = monoNow();
    this->watch();
}

Millis ConfigLoader::storeOutageDuration() const
{
    if (this->consecutiveFailures == 0)
        return Millis(0);
    return std::chrono::duration_cast<Millis>(monoNow() - this->lastAnswerAt);
}

void ConfigLoader::watch()
{
    // After a failure, a call without a wait shows at once whether the store is reachable again.
    const Millis wait = this->consecutiveFailures > 0 ? Millis(0) : WatchWait;
    this->store.watch(RootObject, this->watchedVersion, wait,
                      [this](const StoreReply &reply) { this->onWatched(reply); });
}

void ConfigLoader::onWatched(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Unchanged) {
        this->consecutiveFailures = 0;
        this->lastAnswerAt = monoNow();
        return this->watch();
    }
    if (reply.status != StoreStatus::Ok)
        return this->scheduleRetry();
    this->consecutiveFailures = 0;
    this->lastAnswerAt = monoNow();
    this->watchedVersion = reply.version;
    const auto root = toOutcome([&] { return parseRoot(reply.body); });
    if (const auto *error = std::get_if<Error>(&root)) {
        this->onRefused(error->message());
        return this->watch();
    }
    if (this->configTracker.offerRoot(std::get<ConfigRoot>(root)))
        this->fetchMissing();
    this->watch();
}

// Jitter keeps all instances from retrying at the same moment when the store recovers.
void ConfigLoader::scheduleRetry()
{
    const int doublings = std::min(this->consecutiveFailures++, MaxRetryDoublings);
    const Millis meanDelay = InitialRetryDelay * (1 << doublings);
    const Millis delay
        = meanDelay / 2 + Millis(this->random(static_cast<unsigned>(meanDelay.count())));
    this->retryTimer = this->loop.after(delay, [this] { this->watch(); });
}

void ConfigLoader::fetchMissing()
{
    if (this->pendingFetches > 0)
        return;
    const auto missing = this->configTracker.missingChunks();
    if (missing.empty())
        return this->activatePending();
    this->pendingFetches = missing.size();
    for (const std::string &digest : missing) {
        this->store.read(ChunkPrefix + digest, [this](const StoreReply &reply) {
            if (reply.status == StoreStatus::Ok)
                this->configTracker.offerChunk(reply.body);
            if (--this->pendingFetches > 0)
                return;
            if (this->configTracker.missingChunks().empty())
                return this->activatePending();
            this->retryTimer
                = this->loop.after(InitialRetryDelay + Millis(this->random(FetchRetryJitterMillis)),
                                   [this] { this->fetchMissing(); });
        });
    }
}

void ConfigLoader::offer(const ConfigRoot &root, const std::vector<std::string> &chunkTexts)
{
    this->configTracker.offerRoot(root);
    for (const std::string &text : chunkTexts)
        this->configTracker.offerChunk(text);
    this->fetchMissing();
}

ReplicatedConfig ConfigLoader::replicatedConfig()
{
    ReplicatedConfig result;
    result.activeVersion = [this] { return this->configTracker.activeVersion(); };
    result.createRequest = [this] {
        proto::ConfigRequest request;
        request.set_known_version(this->configTracker.activeVersion());
        for (const auto &[digest, text] : this->configTracker.chunks())
            request.add_known_chunks(digest);
        return request;
    };
    result.createOffer
        = [this](const proto::ConfigRequest &request) -> std::optional<proto::ConfigOffer> {
        if (this->configTracker.activeVersion() <= request.known_version())
            return std::nullopt;
        const auto &knownChunks = request.known_chunks();
        proto::ConfigOffer offer;
        offer.set_root(toText(this->configTracker.active()->root));
        for (const std::string &digest : this->configTracker.active()->root.chunks) {
            if (std::find(knownChunks.begin(), knownChunks.end(), digest) == knownChunks.end())
                offer.add_chunks(this->configTracker.chunks().at(digest));
        }
        return offer;
    };
    result.applyOffer = [this](const proto::ConfigOffer &offer) {
        const auto root = toOutcome([&] { return parseRoot(offer.root()); });
        if (const auto *parsedRoot = std::get_if<ConfigRoot>(&root))
            this->offer(*parsedRoot, {offer.chunks().begin(), offer.chunks().end()});
    };
    return result;
}

void ConfigLoader::activatePending()
{
    if (this->configTracker.activatePending())
        return this->onConfig(this->configTracker.active());
    if (!this->configTracker.refusal().empty())
        this->onRefused(this->configTracker.refusal());
}

} // namespace lavenderhall
