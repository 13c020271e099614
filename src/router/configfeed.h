#pragma once

#include "config/tracker.h"
#include "http/loop.h"
#include "router/fleet.h"
#include "store/store.h"

#include <functional>
#include <pcg_random.hpp>
#include <string>

/// Brings configurations from the platform's store into a tracker.
namespace lavenderhall {

class ConfigFeed
{
public:
    using Handler = std::function<void(const ActiveConfigPtr &config)>;
    using RefusalHandler = std::function<void(const std::string &reason)>;

    ConfigFeed(http::Loop &loop, StoreClient &store, Handler handler, RefusalHandler onRefused,
               std::uint64_t seed);

    void start();
    /// Takes in a root heard from elsewhere, with the chunks that came along.
    void offer(const ConfigRoot &root, const std::vector<std::string> &chunkTexts);
    const ConfigTracker &tracker() const { return this->configs; }
    /// How instances share configurations through this feed, which must outlive them.
    struct ConfigSharing sharing();
    /// How long the store has not answered, 0 if the last call was answered.
    Millis storeSilence() const;

private:
    void watch();
    void onWatched(const StoreReply &reply);
    void fetchMissing();
    void advance();
    void retryLater();

    http::Loop &loop;
    StoreClient &store;
    Handler handler;
    RefusalHandler onRefused;
    ConfigTracker configs;
    pcg32 random;
    std::int64_t watchedVersion = 0;
    int failures = 0;
    std::size_t fetching = 0;
    MonoTime lastAnswerAt{};
    http::Timer retryTimer;
};

} // namespace lavenderhall
