#pragma once

#include "config/tracker.h"
#include "http/loop.h"
#include "router/fleet.h"
#include "store/store.h"

#include <functional>
#include <pcg_random.hpp>
#include <string>

/// Loads configurations from the platform's store and from other instances.
namespace lavenderhall {

/// Watches the root object of the configuration in the store, fetches the chunks that are missing,
/// and reports each version that takes effect. Retries with exponential backoff and jitter while
/// the store does not answer.
class ConfigLoader
{
public:
    using ConfigHandler = std::function<void(const ActiveConfigPtr &config)>;
    using RefusalHandler = std::function<void(const std::string &reason)>;

    /// \a onConfig is called with each version that takes effect, \a onRefused with the reason why
    /// a version was refused. \a seed is for the jitter of retries.
    ConfigLoader(http::Loop &loop, StoreClient &store, ConfigHandler onConfig,
                 RefusalHandler onRefused, std::uint64_t seed);

    void start();
    /// Offers a root that another instance has sent, with the texts of chunks that came with it.
    void offer(const ConfigRoot &root, const std::vector<std::string> &chunkTexts);
    const ConfigTracker &tracker() const { return this->configTracker; }
    /// Returns the callbacks by which peers exchange configurations; this object must outlive them.
    struct ReplicatedConfig replicatedConfig();
    /// Returns for how long the store has not answered, 0 if it answered the last call.
    Millis storeOutageDuration() const;

private:
    void watch();
    void onWatched(const StoreReply &reply);
    void fetchMissing();
    /// Activates the pending configuration if it is complete and valid, and calls onConfig.
    /// Otherwise calls onRefused if the latest one to arrive in full was invalid.
    void activatePending();
    void scheduleRetry();

    http::Loop &loop;
    StoreClient &store;
    ConfigHandler onConfig;
    RefusalHandler onRefused;
    ConfigTracker configTracker;
    pcg32 random;
    std::int64_t watchedVersion = 0; ///< of the root object, 0 before it was read
    int consecutiveFailures = 0; ///< of watching the root object
    std::size_t pendingFetches = 0; ///< reads of chunks in progress
    MonoTime lastAnswerAt{}; ///< of the store to a watch of the root object
    http::Timer retryTimer;
};

} // namespace lavenderhall
