#include "forward/endpointselector.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

// Share of an engine's cache memory that is left for cached prompts; running requests use the rest.
constexpr double CacheShare = 0.6;
// The speed of an engine is learned from requests with at most this share of their own tokens
// before them.
constexpr double MaxWaitingShareOfSample = 0.5;

} // namespace

std::uint64_t homeScore(std::uint64_t key, const std::string &id)
{
    return hash64(id, key);
}

double transferMillisPerToken(double tokenBytes, double linkMbps)
{
    constexpr double BitsPerByte = 8;
    constexpr double BitsPerMilliAtOneMbps = 1000;
    return tokenBytes * BitsPerByte / (linkMbps * BitsPerMilliAtOneMbps);
}

void EndpointSelector::onChange(const EndpointChange &change)
{
    this->brittleHomes.clear();
    const bool isIncarnationOver = change.kind == EndpointChange::Kind::Gone
        || change.kind == EndpointChange::Kind::Restarted;
    if (this->balance && isIncarnationOver)
        this->balance->forget(change.entry.id);
    if (change.kind == EndpointChange::Kind::Gone) {
        this->endpoints.erase(change.entry.id);
        return;
    }
    TrackedEndpoint &endpoint = this->endpoints[change.entry.id];
    if (change.kind == EndpointChange::Kind::Restarted)
        endpoint = TrackedEndpoint{};
    RegisteredEndpoint entry = change.entry;
    // The entry in the store lags behind. Within one incarnation the version of the weights never
    // decreases.
    for (auto &[model, version] : entry.weights)
        version = std::max(version, endpoint.entry.weightsVersion(model));
    if (endpoint.entry.weights != entry.weights)
        endpoint.cache.clear();
    endpoint.entry = entry;
    endpoint.cache.setCapacity(this->serviceOf(entry.service).cacheTokens);
}

const EndpointSelector::Service &EndpointSelector::serviceOf(const std::string &name) const
{
    static const Service Unknown;
    const auto found = this->services.find(name);
    return found == this->services.end() ? Unknown : found->second;
}

void EndpointSelector::setEngines(const std::string &service, const EngineSpec &engine)
{
    Service &info = this->services[service];
    info.hasEngines = true;
    info.cacheTokens
        = static_cast<std::int64_t>(CacheShare * static_cast<double>(engine.cacheTokens));
    info.transferCost.tokenBytes = engine.tokenBytes;
    info.transferCost.millisPerToken
        = engine.linkMbps > 0 ? transferMillisPerToken(engine.tokenBytes, engine.linkMbps) : 0;
    for (auto &[id, endpoint] : this->endpoints) {
        if (endpoint.entry.service == service)
            endpoint.cache.setCapacity(info.cacheTokens);
    }
}

MonoTime EndpointSelector::pausedUntil(const TrackedEndpoint &endpoint) const
{
    return this->notices.pausedUntil({endpoint.entry.id, endpoint.entry.startMillis});
}

MonoTime EndpointSelector::closedUntil(const TrackedEndpoint &endpoint) const
{
    const Incarnation incarnation{endpoint.entry.id, endpoint.entry.startMillis};
    return std::max(this->pausedUntil(endpoint), this->endpointLimits.closedUntil(incarnation));
}

bool EndpointSelector::isSameRegion(const std::string &zone, const std::string &other) const
{
    const auto region = this->location.regionOfZone.find(zone);
    const auto otherRegion = this->location.regionOfZone.find(other);
    const auto end = this->location.regionOfZone.end();
    return region != end && otherRegion != end && region->second == otherRegion->second;
}

std::string EndpointSelector::regionOf(const std::string &endpointId) const
{
    const RegisteredEndpoint *entry = this->findEntry(endpointId);
    const auto region = this->location.regionOfZone.find(entry ? entry->zone : std::string());
    return entry && region != this->location.regionOfZone.end() ? region->second : std::string();
}

bool EndpointSelector::isEngineInOwnRegion(const RegisteredEndpoint &entry) const
{
    return this->serviceOf(entry.service).hasEngines
        && this->isSameRegion(entry.zone, this->location.zone);
}

void EndpointSelector::onLoadReport(const std::string &endpointId, ReportedLoad reported,
                                    MonoTime now)
{
    const auto found = this->endpoints.find(endpointId);
    if (found == this->endpoints.end())
        return;
    found->second.reported = reported;
    found->second.reportedAt = now;
    found->second.sentSinceReport = 0;
}

bool EndpointSelector::hasBuild(const std::string &service, const std::string &build) const
{
    return std::any_of(this->endpoints.begin(), this->endpoints.end(), [&](const auto &entry) {
        const RegisteredEndpoint &endpoint = entry.second.entry;
        return endpoint.service == service && endpoint.build == build && !endpoint.isLeaving;
    });
}

std::size_t EndpointSelector::endpointCount(const std::string &service) const
{
    return static_cast<std::size_t>(
        std::count_if(this->endpoints.begin(), this->endpoints.end(), [&](const auto &entry) {
            const RegisteredEndpoint &endpoint = entry.second.entry;
            return endpoint.service == service && !endpoint.isLeaving;
        }));
}

void EndpointSelector::onSent(const std::string &endpointId, const PromptChain &chain,
                              std::int64_t uncachedTokens, MonoTime now,
                              std::optional<MonoTime> readBy)
{
    const auto found = this->endpoints.find(endpointId);
    if (found == this->endpoints.end())
        return;
    ++found->second.inFlight;
    ++found->second.sentSinceReport;
    found->second.pendingPrefillTokens += uncachedTokens;
    found->second.cache.onSent(chain, now);
    if (this->balance && this->serviceOf(found->second.entry.service).hasEngines)
        this->balance->sent().onSent({endpointId, found->second.entry.startMillis}, uncachedTokens,
                                     readBy, now);
}

// Only the request's own part is certain to have been read, together with what was read before it.
// A request behind many others would show errors of the estimate rather than the engine's speed.
void EndpointSelector::onFirstEvent(const Choice &chosen, const PromptChain &chain, Micros elapsed)
{
    if (!this->balance || chain.links.empty())
        return;
    const std::int64_t ownTokens = chain.links.back().tokens;
    const double tokensBefore = chosen.load.waitingTokens;
    if (tokensBefore > MaxWaitingShareOfSample * static_cast<double>(ownTokens))
        return;
    this->balance->sent().onSample(chosen.endpointId, {ownTokens, elapsed});
}

// Never goes below 0: an endpoint that has restarted since the request was sent has started from 0
// again.
void EndpointSelector::onPrefillDone(const std::string &endpointId, std::int64_t uncachedTokens)
{
    if (this->balance)
        this->balance->sent().onRead(endpointId, uncachedTokens);
    const auto found = this->endpoints.find(endpointId);
    if (found == this->endpoints.end())
        return;
    found->second.pendingPrefillTokens
        = std::max<std::int64_t>(0, found->second.pendingPrefillTokens - uncachedTokens);
}

void EndpointSelector::onRequestEnded(const std::string &endpointId)
{
    const auto found = this->endpoints.find(endpointId);
    if (found != this->endpoints.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void EndpointSelector::avoid(const std::string &endpointId, MonoTime until)
{
    const auto found = this->endpoints.find(endpointId);
    if (found != this->endpoints.end())
        found->second.avoidedUntil = std::max(found->second.avoidedUntil, until);
}

bool EndpointSelector::onLeaving(const std::string &endpointId, std::int64_t startMillis,
                                 MonoTime now)
{
    return this->notices.onLeaving({endpointId, startMillis}, now);
}

void EndpointSelector::onPauseRequested(const std::string &endpointId, Millis duration,
                                        MonoTime now)
{
    if (const RegisteredEndpoint *entry = this->findEntry(endpointId))
        this->notices.onPauseRequested({endpointId, entry->startMillis}, duration, now);
}

bool EndpointSelector::isPaused(const std::string &endpointId, MonoTime now) const
{
    const auto found = this->endpoints.find(endpointId);
    return found != this->endpoints.end() && this->pausedUntil(found->second) > now;
}

void EndpointSelector::onWeightsChange(const std::string &endpointId, MonoTime until)
{
    this->avoid(endpointId, until);
    const auto found = this->endpoints.find(endpointId);
    if (found != this->endpoints.end())
        found->second.cache.clear();
}

void EndpointSelector::onWeightsLoaded(const std::string &endpointId, const std::string &model,
                                       std::int64_t version)
{
    const auto found = this->endpoints.find(endpointId);
    // Within one incarnation the version never decreases.
    if (found == this->endpoints.end() || found->second.entry.weightsVersion(model) >= version)
        return;
    found->second.entry.weights[model] = version;
    found->second.cache.clear();
    found->second.avoidedUntil = {};
}

void EndpointSelector::onWeightsUnknown(const std::string &endpointId, const std::string &model)
{
    const auto found = this->endpoints.find(endpointId);
    if (found == this->endpoints.end())
        return;
    found->second.entry.weights[model] = 0;
    found->second.cache.clear();
}

bool EndpointSelector::hasIncarnation(const std::string &endpointId, std::int64_t startMillis) const
{
    const RegisteredEndpoint *entry = this->findEntry(endpointId);
    return entry && entry->startMillis == startMillis;
}

const RegisteredEndpoint *EndpointSelector::findEntry(const std::string &endpointId) const
{
    const auto found = this->endpoints.find(endpointId);
    return found == this->endpoints.end() ? nullptr : &found->second.entry;
}

std::size_t EndpointSelector::inFlight(const std::string &endpointId) const
{
    const auto found = this->endpoints.find(endpointId);
    return found == this->endpoints.end() ? 0 : found->second.inFlight;
}

} // namespace lavenderhall
