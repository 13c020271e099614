#include "forward/loadbook.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

// Running requests and what the cache keeps share an engine's memory.
constexpr double CachePart = 0.6;
constexpr Millis ReportLife{2500};
constexpr double AlikeInstances = 8; ///< so many share what one of them sends on average

} // namespace

std::uint64_t homeWeight(std::uint64_t key, const std::string &id)
{
    return hash64(id, key);
}

namespace {

std::int64_t versionIn(const RegisteredEndpoint &entry, const std::string &model)
{
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? 0 : found->second;
}

} // namespace

void LoadBook::onChange(const EndpointChange &change)
{
    if (change.kind == EndpointChange::Kind::Gone) {
        this->loads.erase(change.entry.id);
        return;
    }
    Load &load = this->loads[change.entry.id];
    if (change.kind == EndpointChange::Kind::Restarted)
        load = Load{};
    RegisteredEndpoint entry = change.entry;
    // The registry lags: an engine's weights do not go back within one incarnation.
    for (auto &[model, version] : entry.weights)
        version = std::max(version, versionIn(load.entry, model));
    if (load.entry.weights != entry.weights)
        load.memory.clear();
    load.entry = entry;
    load.memory.setCapacity(this->serviceOf(entry.service).cacheTokens);
}

const LoadBook::Service &LoadBook::serviceOf(const std::string &name) const
{
    static const Service Unknown;
    const auto found = this->services.find(name);
    return found == this->services.end() ? Unknown : found->second;
}

void LoadBook::setEngines(const std::string &service, const EngineSpec &engine)
{
    constexpr double BitsPerByte = 8;
    constexpr double BitsPerMilliAtOneMbps = 1000;
    Service &known = this->services[service];
    known.hasEngines = true;
    known.cacheTokens
        = static_cast<std::int64_t>(CachePart * static_cast<double>(engine.cacheTokens));
    known.move.millisPerToken = engine.linkMbps > 0
        ? engine.tokenBytes * BitsPerByte / (engine.linkMbps * BitsPerMilliAtOneMbps)
        : 0;
    for (auto &[id, load] : this->loads) {
        if (load.entry.service == service)
            load.memory.setCapacity(known.cacheTokens);
    }
}

bool LoadBook::isCandidate(const Load &load, const ChoiceQuery &query) const
{
    if (load.entry.service != query.service || load.entry.isLeaving)
        return false;
    if (std::find(query.tried.begin(), query.tried.end(), load.entry.id) != query.tried.end())
        return false;
    const std::int64_t version = versionIn(load.entry, query.model);
    if (query.onlyWeights)
        return version == *query.onlyWeights;
    // An engine whose weights are not known may have new ones.
    return version == 0 || version >= query.leastWeights;
}

bool LoadBook::isInRegionOf(const std::string &zone, const std::string &other) const
{
    const auto one = this->place.regionOfZone.find(zone);
    const auto two = this->place.regionOfZone.find(other);
    const auto end = this->place.regionOfZone.end();
    return one != end && two != end && one->second == two->second;
}

bool LoadBook::isEngineHere(const RegisteredEndpoint &entry) const
{
    return this->serviceOf(entry.service).hasEngines
        && this->isInRegionOf(entry.zone, this->place.zone);
}

void LoadBook::onLoad(const std::string &endpointId, ReportedLoad reported, MonoTime now)
{
    const auto found = this->loads.find(endpointId);
    if (found == this->loads.end())
        return;
    found->second.reported = reported;
    found->second.reportedAt = now;
    found->second.sentSince = 0;
}

const ReportedLoad *LoadBook::freshReport(const Load &load, MonoTime now) const
{
    return load.reported && now - load.reportedAt < ReportLife ? &*load.reported : nullptr;
}

// What the others have sent since a report is not known; they are taken to do as this one does.
double LoadBook::queueCost(const Load &load, MonoTime now) const
{
    constexpr double QueueMillis = 100; // for each request that waits for a slot
    const auto requestCost = static_cast<double>(this->settings.requestCost.count());
    const auto inFlight = static_cast<double>(load.inFlight);
    if (const ReportedLoad *report = this->freshReport(load, now)) {
        const double alike = std::max(1.0, static_cast<double>(this->instances) / AlikeInstances);
        return static_cast<double>(report->running * this->settings.runningCost.count()
                                   + report->waiting * this->settings.waitingCost.count())
            + static_cast<double>(load.sentSince) * requestCost * alike;
    }
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, load.entry.slots));
    return inFlight * requestCost + std::max(0.0, inFlight - slots + 1) * QueueMillis;
}

double LoadBook::costOf(const Load &load, MonoTime now) const
{
    double cost = this->queueCost(load, now);
    const bool isNear = this->isInRegionOf(load.entry.zone, this->place.zone);
    if (load.entry.zone != this->place.zone)
        cost += static_cast<double>(
            (isNear ? this->settings.zoneHop : this->settings.regionHop).count());
    return cost;
}

// While few engines have the newest weights, only so many requests are drawn to them as they can
// bear: all instances see the same engines as new, and none sees what the others send.
bool LoadBook::prefersNewest(const Candidates &fit, const ChoiceQuery &query, MonoTime now) const
{
    if (query.model.empty() || query.newestWeights == 0)
        return true;
    std::size_t newest = 0;
    std::int64_t running = 0;
    std::int64_t slots = 0;
    for (const Load *load : fit) {
        newest += versionIn(load->entry, query.model) >= query.newestWeights ? 1 : 0;
        slots += load->entry.slots;
        if (const ReportedLoad *report = this->freshReport(*load, now))
            running += report->running + report->waiting;
    }
    if (newest == 0)
        return false;
    const double busy = static_cast<double>(running + 1) / static_cast<double>(slots + 1);
    const double factor
        = std::clamp(this->settings.newestSlotsPart / busy, this->settings.leastNewestFactor,
                     this->settings.mostNewestFactor);
    return query.draw < factor * static_cast<double>(newest) / static_cast<double>(fit.size());
}

double LoadBook::fetchFactor(const Load &from, const Load &to) const
{
    if (from.entry.zone == to.entry.zone)
        return 1;
    return this->isInRegionOf(from.entry.zone, to.entry.zone) ? this->settings.fetchZoneFactor
                                                              : this->settings.fetchRegionFactor;
}

// An engine that is about to change its weights, or fails, is nobody's home and keeps nothing.
LoadBook::PromptGroups LoadBook::groupsOf(const Candidates &fit, const ChoiceQuery &query,
                                          MonoTime now) const
{
    PromptGroups groups;
    const PromptChain::Link *shared = query.chain.shared();
    if (!shared)
        return groups;
    struct Weights
    {
        std::uint64_t home = 0;
        std::uint64_t formerHome = 0;
    };
    std::map<std::int64_t, Weights> best;
    for (const Load *load : fit) {
        const std::int64_t version = versionIn(load->entry, query.model);
        PromptGroup &group = groups[version];
        Weights &weights = best[version];
        const std::uint64_t weight = homeWeight(shared->hash, load->entry.id);
        if (!group.home || weight > weights.home) {
            group.formerHome = std::exchange(group.home, load);
            weights.formerHome = std::exchange(weights.home, weight);
        } else if (!group.formerHome || weight > weights.formerHome) {
            group.formerHome = load;
            weights.formerHome = weight;
        }
        const std::int64_t kept = load->memory.knownTokens(query.chain, now);
        if (kept <= group.keptTokens)
            continue;
        group.keeper = load;
        group.keptTokens = kept;
    }
    return groups;
}

// All instances send prompts with the same parts to the same home first. Once a prompt has been
// sent to an engine, others that run the same weights may fetch its parts from there. What this
// instance has not sent itself, others probably have: an engine that is not the home asks the
// home, and a home that has just joined the home before. A miss costs next to nothing.
void LoadBook::addPromptCost(const Load &load, const ChoiceQuery &query, const PromptGroup &group,
                             MonoTime now, Choice &choice) const
{
    const std::int64_t total = query.chain.totalTokens();
    const std::int64_t shared = total - query.chain.links.back().tokens;
    const double moveMillis = this->serviceOf(load.entry.service).move.millisPerToken;
    const bool canMove = moveMillis > 0 && choice.weightsVersion > 0;
    std::int64_t cached = load.memory.knownTokens(query.chain, now);
    const std::int64_t fetched = group.keptTokens - cached;
    const bool isHome = group.home == &load;
    if (canMove && group.keeper && group.keeper != &load
        && fetched >= this->settings.leastFetchTokens) {
        choice.source = group.keeper->entry.address;
        choice.costMillis += static_cast<double>(this->settings.fetchSetup.count())
            + static_cast<double>(fetched) * moveMillis * this->fetchFactor(*group.keeper, load);
        cached = group.keptTokens;
    } else if (canMove && cached < shared) {
        const Load *likely = isHome ? group.formerHome : group.home;
        if (likely)
            choice.source = likely->entry.address;
    }
    const std::int64_t reread
        = group.home && !isHome ? std::max<std::int64_t>(0, shared - cached) : 0;
    choice.cachedTokens = cached;
    choice.costMillis += static_cast<double>(load.unreadTokens + total - cached)
            / this->settings.promptTokensPerMilli
        + static_cast<double>(reread) * this->settings.rereadMillisPerToken;
}

LoadBook::Candidates LoadBook::candidatesFor(const ChoiceQuery &query) const
{
    Candidates found;
    for (const auto &[id, load] : this->loads) {
        if (this->isCandidate(load, query))
            found.push_back(&load);
    }
    return found;
}

bool LoadBook::hasCandidate(const ChoiceQuery &query) const
{
    return std::any_of(this->loads.begin(), this->loads.end(),
                       [&](const auto &entry) { return this->isCandidate(entry.second, query); });
}

std::optional<Choice> LoadBook::choose(const ChoiceQuery &query, MonoTime now) const
{
    static const PromptGroup Nobody;
    const Candidates candidates = this->candidatesFor(query);
    Candidates fit = candidates;
    std::erase_if(fit, [now](const Load *load) { return load->avoidedUntil > now; });
    const PromptGroups groups = this->groupsOf(fit, query, now);
    std::optional<Choice> best;
    int bestRank = 0; // 0: fit, higher: the less so
    const bool wantsNewest = this->prefersNewest(fit, query, now);
    const auto otherWeightsCost = static_cast<double>(this->settings.otherWeightsCost.count());
    for (const Load *load : candidates) {
        Choice choice;
        choice.endpointId = load->entry.id;
        choice.weightsVersion = versionIn(load->entry, query.model);
        choice.costMillis = this->costOf(*load, now);
        // What runs on unknown weights shares no parts with anybody, and reads all of its prompt.
        const bool isUnknown = query.newestWeights > 0 && choice.weightsVersion == 0;
        if (isUnknown || wantsNewest != (choice.weightsVersion >= query.newestWeights))
            choice.costMillis += otherWeightsCost;
        const auto group = groups.find(choice.weightsVersion);
        if (!query.chain.links.empty())
            this->addPromptCost(*load, query, group == groups.end() ? Nobody : group->second, now,
                                choice);
        const bool mayBeTooOld = choice.weightsVersion < query.leastWeights;
        const int rank = (load->avoidedUntil > now ? 1 : 0) + (mayBeTooOld ? 2 : 0);
        const bool isBetter = !best || rank < bestRank
            || (rank == bestRank && choice.costMillis < best->costMillis);
        if (!isBetter)
            continue;
        best = choice;
        bestRank = rank;
    }
    if (best)
        best->candidates = candidates.size();
    return best;
}

void LoadBook::onSent(const std::string &endpointId, const PromptChain &chain,
                      std::int64_t uncachedTokens, MonoTime now)
{
    const auto found = this->loads.find(endpointId);
    if (found == this->loads.end())
        return;
    ++found->second.inFlight;
    ++found->second.sentSince;
    found->second.unreadTokens += uncachedTokens;
    found->second.memory.onSent(chain, now);
}

// An endpoint that has restarted in between starts from zero, hence the bounds.
void LoadBook::onPromptRead(const std::string &endpointId, std::int64_t uncachedTokens)
{
    const auto found = this->loads.find(endpointId);
    if (found == this->loads.end())
        return;
    found->second.unreadTokens
        = std::max<std::int64_t>(0, found->second.unreadTokens - uncachedTokens);
}

void LoadBook::onEnded(const std::string &endpointId)
{
    const auto found = this->loads.find(endpointId);
    if (found != this->loads.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void LoadBook::avoid(const std::string &endpointId, MonoTime until)
{
    const auto found = this->loads.find(endpointId);
    if (found != this->loads.end())
        found->second.avoidedUntil = std::max(found->second.avoidedUntil, until);
}

void LoadBook::onWeightsChange(const std::string &endpointId, MonoTime until)
{
    this->avoid(endpointId, until);
    const auto found = this->loads.find(endpointId);
    if (found != this->loads.end())
        found->second.memory.clear();
}

void LoadBook::onWeightsLoaded(const std::string &endpointId, const std::string &model,
                               std::int64_t version)
{
    const auto found = this->loads.find(endpointId);
    // Within one incarnation the version only grows.
    if (found == this->loads.end() || versionIn(found->second.entry, model) >= version)
        return;
    found->second.entry.weights[model] = version;
    found->second.memory.clear();
    found->second.avoidedUntil = {};
}

void LoadBook::onWeightsUnknown(const std::string &endpointId, const std::string &model)
{
    const auto found = this->loads.find(endpointId);
    if (found == this->loads.end())
        return;
    found->second.entry.weights[model] = 0;
    found->second.memory.clear();
}

bool LoadBook::knows(const std::string &endpointId, std::int64_t startMillis) const
{
    const RegisteredEndpoint *entry = this->entryOf(endpointId);
    return entry && entry->startMillis == startMillis;
}

const RegisteredEndpoint *LoadBook::entryOf(const std::string &endpointId) const
{
    const auto found = this->loads.find(endpointId);
    return found == this->loads.end() ? nullptr : &found->second.entry;
}

std::size_t LoadBook::inFlight(const std::string &endpointId) const
{
    const auto found = this->loads.find(endpointId);
    return found == this->loads.end() ? 0 : found->second.inFlight;
}

} // namespace lavenderhall
