#include "router/configfeed.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr Millis WatchWait = std::chrono::seconds(30);
constexpr Millis FirstRetry{200};
constexpr int MaxRetryDoublings = 4;

} // namespace

ConfigFeed::ConfigFeed(http::Loop &loop, StoreClient &store, Handler handler,
                       RefusalHandler onRefused, std::uint64_t seed)
    : loop(loop)
    , store(store)
    , handler(std::move(handler))
    , onRefused(std::move(onRefused))
    , random(seed)
{ }

void ConfigFeed::start()
{
    this->lastAnswerAt = monoNow();
    this->watch();
}

Millis ConfigFeed::storeSilence() const
{
    if (this->failures == 0)
        return Millis(0);
    return std::chrono::duration_cast<Millis>(monoNow() - this->lastAnswerAt);
}

void ConfigFeed::watch()
{
    // After a failure a question that is answered at once tells whether the store is back.
    const Millis wait = this->failures > 0 ? Millis(0) : WatchWait;
    this->store.watch(RootObject, this->watchedVersion, wait,
                      [this](const StoreReply &reply) { this->onWatched(reply); });
}

void ConfigFeed::onWatched(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Unchanged) {
        this->failures = 0;
        this->lastAnswerAt = monoNow();
        return this->watch();
    }
    if (reply.status != StoreStatus::Ok)
        return this->retryLater();
    this->failures = 0;
    this->lastAnswerAt = monoNow();
    this->watchedVersion = reply.version;
    const auto root = toOutcome([&] { return parseRoot(reply.body); });
    if (const auto *error = std::get_if<Error>(&root)) {
        this->onRefused(error->message());
        return this->watch();
    }
    if (this->configs.offerRoot(std::get<ConfigRoot>(root)))
        this->fetchMissing();
    this->watch();
}

// Jitter keeps a herd of instances from coming back to the store at the same moment.
void ConfigFeed::retryLater()
{
    const int doublings = std::min(this->failures++, MaxRetryDoublings);
    const Millis span = FirstRetry * (1 << doublings);
    const Millis delay = span / 2 + Millis(this->random(static_cast<unsigned>(span.count())));
    this->retryTimer = this->loop.after(delay, [this] { this->watch(); });
}

void ConfigFeed::fetchMissing()
{
    if (this->fetching > 0)
        return;
    const auto missing = this->configs.missingChunks();
    if (missing.empty())
        return this->advance();
    this->fetching = missing.size();
    for (const std::string &digest : missing) {
        this->store.read(ChunkPrefix + digest, [this](const StoreReply &reply) {
            if (reply.status == StoreStatus::Ok)
                this->configs.offerChunk(reply.body);
            if (--this->fetching > 0)
                return;
            if (this->configs.missingChunks().empty())
                return this->advance();
            this->retryTimer = this->loop.after(FirstRetry + Millis(this->random(200)),
                                                [this] { this->fetchMissing(); });
        });
    }
}

void ConfigFeed::offer(const ConfigRoot &root, const std::vector<std::string> &chunkTexts)
{
    this->configs.offerRoot(root);
    for (const std::string &text : chunkTexts)
        this->configs.offerChunk(text);
    this->fetchMissing();
}

ConfigSharing ConfigFeed::sharing()
{
    ConfigSharing sharing;
    sharing.version = [this] { return this->configs.activeVersion(); };
    sharing.request = [this] {
        proto::ConfigRequest request;
        request.set_known_version(this->configs.activeVersion());
        for (const auto &[digest, text] : this->configs.chunks())
            request.add_known_chunks(digest);
        return request;
    };
    sharing.answer
        = [this](const proto::ConfigRequest &request) -> std::optional<proto::ConfigOffer> {
        if (this->configs.activeVersion() <= request.known_version())
            return std::nullopt;
        const auto &known = request.known_chunks();
        proto::ConfigOffer offer;
        offer.set_root(toText(this->configs.active()->root));
        for (const std::string &digest : this->configs.active()->root.chunks) {
            if (std::find(known.begin(), known.end(), digest) == known.end())
                offer.add_chunks(this->configs.chunks().at(digest));
        }
        return offer;
    };
    sharing.take = [this](const proto::ConfigOffer &offer) {
        const auto root = toOutcome([&] { return parseRoot(offer.root()); });
        if (const auto *good = std::get_if<ConfigRoot>(&root))
            this->offer(*good, {offer.chunks().begin(), offer.chunks().end()});
    };
    return sharing;
}

void ConfigFeed::advance()
{
    if (this->configs.activatePending())
        return this->handler(this->configs.active());
    if (!this->configs.refusal().empty())
        this->onRefused(this->configs.refusal());
}

} // namespace lavenderhall
