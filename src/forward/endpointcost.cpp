#include "forward/endpointselector.h"

#include <algorithm>
#include <cmath>

/// The part of EndpointSelector that estimates what a request costs at an endpoint.
namespace lavenderhall {

namespace {

constexpr Millis ReportLifetime{2500};
constexpr double SentEstimateDivisor = 8; ///< see queueCost()

} // namespace

const ReportedLoad *EndpointSelector::freshReport(const TrackedEndpoint &endpoint,
                                                  MonoTime now) const
{
    return endpoint.reported && now - endpoint.reportedAt < ReportLifetime ? &*endpoint.reported
                                                                           : nullptr;
}

// Without a recent report, the engine may be slow or out of reach, and nothing is known about its
// queue.
bool EndpointSelector::mayStartTooLate(const TrackedEndpoint &endpoint,
                                       std::optional<MonoTime> startLimit, double waitMillis,
                                       MonoTime now) const
{
    if (!startLimit)
        return false;
    const bool isReportFresh = this->freshReport(endpoint, now) != nullptr;
    const auto wait = isReportFresh ? Millis(std::llround(waitMillis)) : ReportLifetime;
    return now + wait > *startLimit;
}

// Requests that wait at the engine are part of the tokens that wait to be read, unless all slots
// are taken: then each waits for the end of another one. The report may be older than the tokens.
double EndpointSelector::balancedQueueCost(const TrackedEndpoint &endpoint, MonoTime now) const
{
    const RegisteredEndpoint &entry = endpoint.entry;
    const EngineEstimate estimate = this->balance->estimate(entry.id, entry.service, now);
    double queued = 0;
    double running = 0;
    if (const ReportedLoad *report = this->freshReport(endpoint, now)) {
        const double slowness = this->settings.prefillTokensPerMilli / estimate.speed;
        running
            = static_cast<double>(report->running * this->settings.runningCost.count()) * slowness;
        queued = static_cast<double>(report->waiting)
            * (report->running >= entry.slots
                   ? static_cast<double>(this->settings.waitingCost.count())
                   : this->settings.queuedRequestCost)
            * slowness;
    }
    return running + std::max(queued, estimate.waitMillis());
}

// What other instances have sent since the last report is not known. The estimate assumes that on
// average one in SentEstimateDivisor instances has sent as many requests as this one.
double EndpointSelector::queueCost(const TrackedEndpoint &endpoint, MonoTime now) const
{
    constexpr double QueuedRequestMillis = 100; // for each request beyond the slots
    if (this->balance && this->serviceOf(endpoint.entry.service).hasEngines)
        return this->balancedQueueCost(endpoint, now);
    const auto requestCost = static_cast<double>(this->settings.requestCost.count());
    const auto inFlight = static_cast<double>(endpoint.inFlight);
    if (const ReportedLoad *report = this->freshReport(endpoint, now)) {
        const double fleetFactor
            = std::max(1.0, static_cast<double>(this->instanceCount) / SentEstimateDivisor);
        return static_cast<double>(report->running * this->settings.runningCost.count()
                                   + report->waiting * this->settings.waitingCost.count())
            + static_cast<double>(endpoint.sentSinceReport) * requestCost * fleetFactor;
    }
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, endpoint.entry.slots));
    return inFlight * requestCost + std::max(0.0, inFlight - slots + 1) * QueuedRequestMillis;
}

double EndpointSelector::baseCost(const TrackedEndpoint &endpoint, MonoTime now) const
{
    double cost = this->queueCost(endpoint, now);
    const bool isNear = this->isSameRegion(endpoint.entry.zone, this->location.zone);
    if (endpoint.entry.zone != this->location.zone)
        cost += static_cast<double>(
            (isNear ? this->settings.zoneRoundTrip : this->settings.regionRoundTrip).count());
    return cost;
}

double EndpointSelector::fetchFactor(const std::string &fromZone, const std::string &toZone) const
{
    if (fromZone == toZone)
        return 1;
    return this->isSameRegion(fromZone, toZone) ? this->settings.fetchZoneFactor
                                                : this->settings.fetchRegionFactor;
}

// A transfer over a slow link or between regions can take longer than reading the tokens anew.
const CacheStoreSpec *EndpointSelector::usableStore(const TrackedEndpoint &endpoint) const
{
    const double tokenBytes = this->serviceOf(endpoint.entry.service).transferCost.tokenBytes;
    const CacheStoreSpec *best = nullptr;
    double bestMillis = 1 / this->settings.prefillTokensPerMilli;
    for (const CacheStoreSpec &store : this->cacheStores) {
        if (store.linkMbps <= 0)
            continue;
        const double millis = transferMillisPerToken(tokenBytes, store.linkMbps)
            * this->fetchFactor(store.zone, endpoint.entry.zone);
        if (millis >= bestMillis)
            continue;
        best = &store;
        bestMillis = millis;
    }
    return best;
}

// All instances send prompts with the same parts to the same home first. Under load the own parts
// of all requests fill the engines' memory within seconds, and shared parts are evicted. Where a
// store is near enough, each engine therefore sends it what it reads and fetches from it what it
// lacks; no instance has to know which engine holds what. Without one, others that run the same
// weights may fetch a prompt's parts from an engine that it has been sent to. If this instance has
// not sent it itself, another one probably has: an engine that is not the home tries to fetch from
// the home, and a home that has just joined from the former home. A failed fetch costs next to
// nothing.
void EndpointSelector::addPromptCost(const TrackedEndpoint &endpoint, const ChoiceQuery &query,
                                     const WeightsGroup &group, MonoTime now, Choice &choice) const
{
    const std::int64_t total = query.chain.totalTokens();
    const std::int64_t shared = total - query.chain.links.back().tokens;
    const double transferMillis
        = this->serviceOf(endpoint.entry.service).transferCost.millisPerToken;
    const bool canTransfer = transferMillis > 0 && choice.weightsVersion > 0;
    std::int64_t cached = endpoint.cache.cachedTokens(query.chain, now);
    const std::int64_t missing = std::max<std::int64_t>(0, shared - cached);
    const std::int64_t fetchable = group.bestHolderTokens - cached;
    const bool isHome = group.home == &endpoint;
    const CacheStoreSpec *store = this->usableStore(endpoint);
    if (canTransfer && group.bestHolder && group.bestHolder != &endpoint
        && fetchable >= this->settings.minFetchTokens) {
        choice.source = store ? store->address : group.bestHolder->entry.address;
        choice.costMillis += static_cast<double>(this->settings.fetchSetup.count())
            + static_cast<double>(fetchable) * transferMillis
                * this->fetchFactor(group.bestHolder->entry.zone, endpoint.entry.zone);
        cached = group.bestHolderTokens;
    } else if (canTransfer && store) {
        choice.source = store->address;
    } else if (canTransfer && cached < shared) {
        const TrackedEndpoint *likelyHolder = isHome ? group.formerHome : group.home;
        if (likelyHolder)
            choice.source = likelyHolder->entry.address;
    }
    if (canTransfer && store)
        choice.target = store->address;
    const std::int64_t duplicateTokens = group.home && !isHome ? missing : 0;
    choice.cachedTokens = cached;
    choice.home = group.home ? group.home->entry.id : std::string();
    if (this->balance && this->serviceOf(endpoint.entry.service).hasEngines)
        return this->addBalancedCost(endpoint, group, std::max<std::int64_t>(0, shared - cached),
                                     total, canTransfer ? store : nullptr, choice);
    choice.uncachedTokens = std::max<std::int64_t>(0, total - cached);
    choice.costMillis += static_cast<double>(endpoint.pendingPrefillTokens + total - cached)
        / this->settings.prefillTokensPerMilli;
    choice.expectedMillis = choice.costMillis;
    choice.costMillis
        += static_cast<double>(duplicateTokens) * this->settings.duplicateMillisPerToken;
}

// Whether another instance has sent a shared part to the engine is not known. The price of a copy
// keeps prompts at their homes while these are only a little busier than others, but must not make
// a request wait for many times the time of a fetch.
void EndpointSelector::addBalancedCost(const TrackedEndpoint &endpoint, const WeightsGroup &group,
                                       std::int64_t missingShared, std::int64_t totalTokens,
                                       const CacheStoreSpec *store, Choice &choice) const
{
    const RegisteredEndpoint &entry = endpoint.entry;
    const double tokenBytes = this->serviceOf(entry.service).transferCost.tokenBytes;
    const auto missing = static_cast<double>(missingShared);
    const bool isHome = group.home == &endpoint;
    double readShare = choice.source ? this->settings.fetchReadShare : 1;
    if (isHome)
        readShare = this->settings.homeReadShare;
    if (store)
        readShare = this->settings.storeReadShare;
    if (store && !isHome)
        choice.costMillis += missing * transferMillisPerToken(tokenBytes, store->linkMbps)
            * this->fetchFactor(store->zone, entry.zone);
    choice.uncachedTokens = std::max<std::int64_t>(0, totalTokens - choice.cachedTokens)
        - std::llround(missing * (1 - readShare));
    choice.load.speed = this->balance->speed(entry.id, entry.service);
    choice.costMillis += static_cast<double>(choice.uncachedTokens) / choice.load.speed;
    choice.expectedMillis = choice.costMillis;
    if (isHome || !group.home)
        return;
    double price = store ? this->settings.storeCopyPrice : this->settings.copyPrice;
    if (group.formerHome == &endpoint)
        price *= this->settings.secondHomePriceFactor;
    else if (group.thirdHome == &endpoint)
        price *= this->settings.thirdHomePriceFactor;
    choice.costMillis += missing * price / this->settings.prefillTokensPerMilli;
}

} // namespace lavenderhall
