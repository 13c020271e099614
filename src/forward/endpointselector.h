#pragma once

#include "admission/decision.h"
#include "balance/loadestimate.h"
#include "balance/pick.h"
#include "canary/versionrule.h"
#include "forward/prefixcacheestimate.h"
#include "routing/brittleservices.h"
#include "routing/endpointdirectory.h"
#include "routing/endpointlimits.h"
#include "routing/endpointnotices.h"
#include "routing/table.h"
#include "weights/versionhistory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Tracks the load of each endpoint and selects the endpoint for each request. Traffic consists of
/// long shared prompts, a few of them in high demand: requests with the same prompt go to the
/// engine that has it cached, unless waiting there costs more than another prefill elsewhere.
namespace lavenderhall {

/// Parameters of the cost estimate by which endpoints are compared.
struct ChoiceSettings
{
    double prefillTokensPerMilli = 60; ///< speed of an engine, in tokens per millisecond
    Millis requestCost{4}; ///< for each request in flight from this instance
    Millis runningCost{1}; ///< for each request that the engine reports as running
    Millis waitingCost{30}; ///< for each request that the engine reports as waiting
    Millis zoneRoundTrip{2}; ///< between zones of a region
    Millis regionRoundTrip{24}; ///< between regions
    Millis fetchSetup{2}; ///< fixed cost of a cache transfer from another engine
    double fetchZoneFactor = 2; ///< a transfer between zones takes this many times as long
    double fetchRegionFactor = 10; ///< the same between regions
    std::int64_t minFetchTokens = 256; ///< fewer tokens are not fetched but computed again
    /// Cost per token of a shared part that is read or fetched away from its home: the home still
    /// has to read it later, and every further copy evicts parts of other prompts.
    double duplicateMillisPerToken = 0.15;
    Millis otherWeightsCost{400}; ///< for weights other than those that the random draw prefers
    /// Engines with the newest weights get more than their even share of the requests, up to this
    /// share of their slots.
    double newestSlotShare = 0.5;
    double minNewestFactor = 1.5; ///< at least this many times the even share
    double maxNewestFactor = 4; ///< at most this many times the even share
    // The following apply only where the load is balanced, see docs/design/even-load.md.
    double queuedRequestCost = 15; ///< in milliseconds, for each that the engine reports as waiting
    // Average share of a shared part that the engine has to read although this instance has not
    // sent it there. It need not read the rest: another instance has sent it, or a fetch succeeds.
    double homeReadShare = 0.4; ///< at its home
    double storeReadShare = 0.25; ///< elsewhere, with a store of parts
    double fetchReadShare = 0.5; ///< elsewhere, with a fetch from another engine
    // Price of a copy away from home, as a multiple of the time of reading it at
    // prefillTokensPerMilli.
    double storeCopyPrice = 1; ///< with a store of parts
    double copyPrice = 2; ///< without
    double homeMarginMillis = 80; ///< a home is used if its cost exceeds that of others by no more
    double secondHomePriceFactor = 0.7; ///< so that copies are made at few engines
    double thirdHomePriceFactor = 0.85;

    bool operator==(const ChoiceSettings &) const = default;
};

/// Requests at an engine, from all instances, as it reported them.
struct ReportedLoad
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    auto operator<=>(const ReportedLoad &) const = default;
};

/// Location of this instance, from which the distance to endpoints is derived.
struct InstanceLocation
{
    std::string zone;
    std::map<std::string, std::string> regionOfZone;
    std::string instance{}; ///< name of this instance
};

/// The properties of a request that its choice of an endpoint depends on.
struct ChoiceQuery
{
    std::string service;
    std::string model; ///< "" for plain services
    PromptChain chain;
    std::int64_t newestWeights = 0; ///< version named for the model, 0 if none is known
    std::int64_t minWeights = 0; ///< the request may not begin on an older version
    OldWeightsLimits oldWeightsLimits; ///< until when it may begin on the others
    /// From 0 to 1, fixed for each request; decides whether it prefers the newest weights.
    double randomDraw = 0;
    /// Set if a stream is resumed: the version that it began on.
    std::optional<std::int64_t> requiredWeights;
    /// Set if a stream is resumed: the build that began it.
    std::optional<std::string> requiredBuild;
    std::vector<std::string> triedEndpoints; ///< ids of endpoints that have failed the request
    VersionRule versions; ///< of the service's software that the request may go to
    std::string permittedEndpoint; ///< if it is a candidate, it is chosen; "" for none
};

/// The chosen endpoint, with the estimates that decided the choice.
struct Choice
{
    std::string endpointId;
    std::string build; ///< of the endpoint's software
    double costMillis = 0;
    /// Expected time until the first event, without the preferences that are part of the cost.
    double expectedMillis = 0;
    std::int64_t cachedTokens = 0; ///< estimated number cached there, or fetched to there
    std::optional<Address> source; ///< engine or store from which cached parts may be fetched
    std::optional<Address> target; ///< store to which the engine sends the parts that it reads
    std::int64_t weightsVersion = 0; ///< believed to be loaded there, 0 if not known
    /// Version that the engine is to require: the believed one, or the newest if the believed one
    /// is not known and may be too old; 0 for none.
    std::int64_t requiredWeights = 0;
    std::optional<MonoTime> startLimit; ///< the request may not begin there later, if set
    std::size_t candidates = 0; ///< number of endpoints compared
    std::string home; ///< engine that the prompt prefers among those with the same weights
    std::int64_t uncachedTokens = 0; ///< of the prompt, that the endpoint probably has to read
    EngineEstimate load{}; ///< what waits at the endpoint; only where the load is balanced
};

/// Cost of transferring cached prompt parts between engines of a service.
struct CacheTransferCost
{
    double millisPerToken = 0; ///< within a zone; 0 if transfers are not possible
    double tokenBytes = 0; ///< cache memory per token

    auto operator<=>(const CacheTransferCost &) const = default;
};

/// Keeps the load and the estimated cache of each endpoint, and chooses among the endpoints.
class EndpointSelector
{
public:
    EndpointSelector(InstanceLocation location, ChoiceSettings settings)
        : location(std::move(location))
        , settings(settings)
    { }

    /// Applies a change in the directory.
    void onChange(const EndpointChange &change);
    /// Applies the configuration of the engines of \a service.
    void setEngines(const std::string &service, const EngineSpec &engine);

    /// Sets the stores of cached prompt parts.
    void setCacheStores(std::vector<CacheStoreSpec> stores)
    {
        this->cacheStores = std::move(stores);
    }
    /// Sets the builds of a service that get a request only if no other endpoint can take it.
    void setUnregisteredBuilds(const std::string &service, std::set<std::string> builds)
    {
        this->unregisteredBuilds[service] = std::move(builds);
    }
    /// Whether the service has an endpoint of \a build that does not leave.
    bool hasBuild(const std::string &service, const std::string &build) const;
    /// Returns the number of endpoints of the service that do not leave.
    std::size_t endpointCount(const std::string &service) const;
    /// Sets how many instances send requests to the same endpoints.
    void setInstanceCount(std::size_t count) { this->instanceCount = count; }
    /// Estimates the load of engines from what all instances send, and chooses by it.
    void balanceLoad() { this->balance.emplace(this->settings.prefillTokensPerMilli); }
    /// Returns the estimate of the load; nullptr if the load is not balanced.
    LoadEstimate *loadEstimate() { return this->balance ? &*this->balance : nullptr; }
    /// Returns the region of the endpoint; "" if it is not known.
    std::string regionOf(const std::string &endpointId) const;
    /// Whether \a entry is an engine in the region of this instance.
    bool isEngineInOwnRegion(const RegisteredEndpoint &entry) const;
    /// Records a load report of an engine.
    void onLoadReport(const std::string &endpointId, ReportedLoad reported, MonoTime now);

    /// Returns the endpoint with the lowest cost, or nothing if there is no candidate. An endpoint
    /// that is avoided, whose weights may be too old, or whose build is not registered, is chosen
    /// only if there is no other.
    std::optional<Choice> choose(const ChoiceQuery &query, MonoTime now) const;

    /// Whether choose() would return an endpoint.
    bool hasCandidate(const ChoiceQuery &query, MonoTime now) const;
    /// Returns the load of the endpoints of \a service that do not leave.
    ServiceLoad load(const std::string &service, MonoTime now) const;
    /// If all endpoints that could take the request have asked for a pause, or their limits are
    /// used up, returns when the first of them may get a request again; otherwise nothing.
    std::optional<MonoTime> opensAt(const ChoiceQuery &query, MonoTime now) const;

    /// Records that a request is sent to the endpoint; \a uncachedTokens need a prefill there.
    /// \a readBy is set if the answer does not show when the prefill is done: it counts as done
    /// then.
    void onSent(const std::string &endpointId, const PromptChain &chain,
                std::int64_t uncachedTokens, MonoTime now,
                std::optional<MonoTime> readBy = std::nullopt);
    /// Records the time until the first event of a request that was sent as \a chosen.
    void onFirstEvent(const Choice &chosen, const PromptChain &chain, Micros elapsed);
    /// Records that the prefill is done: the first bytes of the answer have arrived, or the attempt
    /// has ended.
    void onPrefillDone(const std::string &endpointId, std::int64_t uncachedTokens);
    /// Records that a request to the endpoint has ended.
    void onRequestEnded(const std::string &endpointId);
    /// Avoids the endpoint, which refuses requests or has failed: until \a until it is chosen only
    /// if all others are avoided too.
    void avoid(const std::string &endpointId, MonoTime until);
    /// The endpoint has stated that it stops soon: it is not chosen any more. Returns whether this
    /// is news. \a startMillis identifies its incarnation.
    bool onLeaving(const std::string &endpointId, std::int64_t startMillis, MonoTime now);
    /// The endpoint wants no requests from this instance for \a duration: it is not chosen.
    void onPauseRequested(const std::string &endpointId, Millis duration, MonoTime now);
    /// Whether the endpoint has asked for a pause that has not ended.
    bool isPaused(const std::string &endpointId, MonoTime now) const;
    /// Returns the limits that endpoints have named.
    EndpointLimits &limits() { return this->endpointLimits; }
    /// Returns the services that are brittle.
    BrittleServices &brittle() { return this->brittleServices; }
    /// The endpoint is about to change its weights: avoids it, and drops the estimate of its cache.
    void onWeightsChange(const std::string &endpointId, MonoTime until);

    /// The engine has loaded a version of a model and takes requests again.
    void onWeightsLoaded(const std::string &endpointId, const std::string &model,
                         std::int64_t version);
    /// The engine runs weights other than those recorded here.
    void onWeightsUnknown(const std::string &endpointId, const std::string &model);

    /// Whether the endpoint is known with this start time, which identifies its incarnation.
    bool hasIncarnation(const std::string &endpointId, std::int64_t startMillis) const;
    /// Returns the entry of the endpoint; nullptr if it is not known.
    const RegisteredEndpoint *findEntry(const std::string &endpointId) const;
    /// Returns the number of requests from this instance that the endpoint has not yet answered.
    std::size_t inFlight(const std::string &endpointId) const;

private:
    struct TrackedEndpoint
    {
        RegisteredEndpoint entry;
        std::size_t inFlight = 0;
        std::int64_t pendingPrefillTokens = 0;
        MonoTime avoidedUntil{};
        std::optional<ReportedLoad> reported;
        MonoTime reportedAt{};
        std::size_t sentSinceReport = 0; ///< requests from this instance since the last report
        PrefixCacheEstimate cache{0};
    };

    struct Service
    {
        bool hasEngines = false;
        std::int64_t cacheTokens = 0;
        CacheTransferCost transferCost;
    };

    /// Returns the cost of the queue from the estimate of the load.
    double balancedQueueCost(const TrackedEndpoint &endpoint, MonoTime now) const;
    double baseCost(const TrackedEndpoint &endpoint, MonoTime now) const;
    /// Returns the last load report; nullptr if there is none or it has expired.
    const ReportedLoad *freshReport(const TrackedEndpoint &endpoint, MonoTime now) const;
    /// Whether a request may wait at the endpoint beyond its start limit, given the estimate of
    /// \a waitMillis.
    bool mayStartTooLate(const TrackedEndpoint &endpoint, std::optional<MonoTime> startLimit,
                         double waitMillis, MonoTime now) const;
    double queueCost(const TrackedEndpoint &endpoint, MonoTime now) const;
    /// The engines that run the same version of the weights, as seen by one prompt.
    struct WeightsGroup
    {
        /// Preferred engine of the prompt: the one with the highest home score.
        const TrackedEndpoint *home = nullptr;
        /// The engine with the second highest score, which was the home before the home joined.
        const TrackedEndpoint *formerHome = nullptr;
        const TrackedEndpoint *thirdHome = nullptr; ///< the one with the next score
        /// The engine believed to have the longest prefix cached.
        const TrackedEndpoint *bestHolder = nullptr;
        std::int64_t bestHolderTokens = 0; ///< length of that prefix
    };
    using WeightsGroups = std::map<std::int64_t, WeightsGroup>; ///< by version of the weights

    using Candidates = std::vector<const TrackedEndpoint *>;

    Candidates candidatesFor(const ChoiceQuery &query, MonoTime now) const;
    WeightsGroups groupByWeights(const Candidates &available, const ChoiceQuery &query,
                                 MonoTime now) const;
    bool prefersNewest(const Candidates &available, const ChoiceQuery &query, MonoTime now) const;
    void addPromptCost(const TrackedEndpoint &endpoint, const ChoiceQuery &query,
                       const WeightsGroup &group, MonoTime now, Choice &choice) const;
    std::uint64_t homeScoreOf(std::uint64_t key, const TrackedEndpoint &endpoint) const;
    /// Adds the reading time and the price of a copy, by the estimate of the load.
    void addBalancedCost(const TrackedEndpoint &endpoint, const WeightsGroup &group,
                         std::int64_t missingShared, std::int64_t totalTokens,
                         const CacheStoreSpec *store, Choice &choice) const;
    /// Returns the one of \a choices to use, which must not be empty.
    std::size_t pick(const std::vector<Choice> &choices, const ChoiceQuery &query) const;
    double fetchFactor(const std::string &fromZone, const std::string &toZone) const;
    /// Returns the nearest store from which the endpoint fetches cached parts in less time than it
    /// would read them; nullptr if there is none.
    const CacheStoreSpec *usableStore(const TrackedEndpoint &endpoint) const;
    bool isUnregistered(const RegisteredEndpoint &entry) const;
    /// Whether the endpoint's service is brittle and this instance has its share of requests there.
    bool hasUsedBrittleShare(const TrackedEndpoint &endpoint, MonoTime now) const;
    /// Returns the endpoint of the service at which this instance may always have one request.
    const std::string &brittleHome(const std::string &service) const;
    bool isCandidate(const TrackedEndpoint &endpoint, const ChoiceQuery &query, MonoTime now) const;
    /// Whether the endpoint would be a candidate if it were not closed for a while.
    bool isSuitable(const TrackedEndpoint &endpoint, const ChoiceQuery &query) const;
    MonoTime pausedUntil(const TrackedEndpoint &endpoint) const;
    /// Returns until when the endpoint gets no requests, because of a pause or its limit.
    MonoTime closedUntil(const TrackedEndpoint &endpoint) const;
    bool isSameRegion(const std::string &zone, const std::string &other) const;
    const Service &serviceOf(const std::string &name) const;

    InstanceLocation location;
    ChoiceSettings settings;
    std::size_t instanceCount = 1;
    std::map<std::string, TrackedEndpoint> endpoints;
    EndpointNotices notices;
    EndpointLimits endpointLimits;
    BrittleServices brittleServices;
    mutable std::map<std::string, std::string> brittleHomes; ///< by service, until endpoints change
    std::map<std::string, std::set<std::string>> unregisteredBuilds; ///< by service
    std::vector<CacheStoreSpec> cacheStores;
    std::optional<LoadEstimate> balance; ///< set where the load is balanced
    std::map<std::string, Service> services;
};

/// Returns the score of \a id as the home of \a key; of several ids, the one with the highest score
/// is the home. Scores are equal on all instances, and few keys change their home when an id is
/// added or removed (rendezvous hashing).
std::uint64_t homeScore(std::uint64_t key, const std::string &id);

/// Returns the time in which a link of \a linkMbps moves the cache memory of one token.
double transferMillisPerToken(double tokenBytes, double linkMbps);

} // namespace lavenderhall
