#include "forward/loadbook.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Running requests and what the cache keeps share an engine's memory.
constexpr double CachePart = 0.6;

} // namespace

const std::string *homeOf(std::uint64_t key, const std::vector<const std::string *> &ids)
{
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const std::string *id : ids) {
        const std::uint64_t weight = hash64(*id, key);
        if (best && weight <= bestWeight)
            continue;
        best = id;
        bestWeight = weight;
    }
    return best;
}

namespace {

std::int64_t versionIn(const RosterEntry &entry, const std::string &model)
{
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? 0 : found->second;
}

} // namespace

void LoadBook::onChange(const RosterChange &change)
{
    if (change.kind == RosterChange::Kind::Gone) {
        this->loads.erase(change.entry.id);
        return;
    }
    Load &load = this->loads[change.entry.id];
    if (change.kind == RosterChange::Kind::Restarted)
        load = Load{};
    RosterEntry entry = change.entry;
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
    return !query.onlyWeights || versionIn(load.entry, query.model) == *query.onlyWeights;
}

bool LoadBook::isInRegionOf(const std::string &zone, const std::string &other) const
{
    const auto one = this->place.regionOfZone.find(zone);
    const auto two = this->place.regionOfZone.find(other);
    const auto end = this->place.regionOfZone.end();
    return one != end && two != end && one->second == two->second;
}

double LoadBook::costOf(const Load &load, const ChoiceQuery &query) const
{
    constexpr double QueueMillis = 100; // for each request that waits for a slot
    double cost = 0;
    const bool isNear = this->isInRegionOf(load.entry.zone, this->place.zone);
    if (load.entry.zone != this->place.zone)
        cost += static_cast<double>(
            (isNear ? this->settings.zoneHop : this->settings.regionHop).count());
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, load.entry.slots));
    const auto inFlight = static_cast<double>(load.inFlight);
    cost += inFlight * static_cast<double>(this->settings.requestCost.count());
    if (inFlight >= slots)
        cost += (inFlight - slots + 1) * QueueMillis;
    if (!query.model.empty() && versionIn(load.entry, query.model) < query.newestWeights)
        cost += static_cast<double>(this->settings.oldWeightsCost.count());
    return cost;
}

// All instances send prompts with the same parts to the same home first. Once a prompt has been
// sent there, other engines may fetch its parts from the home, if both run the same weights.
void LoadBook::addPromptCost(const Load &load, const ChoiceQuery &query, const Load *home,
                             MonoTime now, Choice &choice) const
{
    const std::int64_t total = query.chain.totalTokens();
    const std::int64_t shared = total - query.chain.links.back().tokens;
    std::int64_t cached = load.memory.knownTokens(query.chain, now);
    const std::int64_t atHome = home ? home->memory.knownTokens(query.chain, now) : 0;
    const double moveMillis = this->serviceOf(load.entry.service).move.millisPerToken;
    const bool canFetch = home && home != &load && moveMillis > 0
        && atHome - cached >= this->settings.leastFetchTokens
        && versionIn(home->entry, query.model) == choice.weightsVersion;
    if (canFetch) {
        double factor = 1;
        if (home->entry.zone != load.entry.zone)
            factor = this->isInRegionOf(home->entry.zone, load.entry.zone)
                ? this->settings.fetchZoneFactor
                : this->settings.fetchRegionFactor;
        choice.source = home->entry.address;
        choice.costMillis += static_cast<double>(this->settings.fetchSetup.count())
            + static_cast<double>(atHome - cached) * moveMillis * factor;
        cached = atHome;
    }
    const std::int64_t reread
        = home && home != &load ? std::max<std::int64_t>(0, shared - cached) : 0;
    choice.cachedTokens = cached;
    choice.costMillis += static_cast<double>(load.unreadTokens + total - cached)
            / this->settings.promptTokensPerMilli
        + static_cast<double>(reread) * this->settings.rereadMillisPerToken;
}

std::optional<Choice> LoadBook::choose(const ChoiceQuery &query, MonoTime now) const
{
    std::vector<const Load *> candidates;
    std::vector<const std::string *> steady; // not about to change, leave or fail
    for (const auto &[id, load] : this->loads) {
        if (!this->isCandidate(load, query))
            continue;
        candidates.push_back(&load);
        if (load.avoidedUntil <= now)
            steady.push_back(&id);
    }
    const PromptChain::Link *shared = query.chain.shared();
    const std::string *homeId = shared ? homeOf(shared->hash, steady) : nullptr;
    const Load *home = homeId ? &this->loads.at(*homeId) : nullptr;
    std::optional<Choice> best;
    bool isBestAvoided = false;
    for (const Load *load : candidates) {
        Choice choice;
        choice.endpointId = load->entry.id;
        choice.candidates = candidates.size();
        choice.weightsVersion = versionIn(load->entry, query.model);
        choice.costMillis = this->costOf(*load, query);
        if (!query.chain.links.empty())
            this->addPromptCost(*load, query, home, now, choice);
        const bool isAvoided = load->avoidedUntil > now;
        const bool isBetter = !best || (isBestAvoided && !isAvoided)
            || (isBestAvoided == isAvoided && choice.costMillis < best->costMillis);
        if (!isBetter)
            continue;
        best = choice;
        isBestAvoided = isAvoided;
    }
    return best;
}

void LoadBook::onSent(const std::string &endpointId, const PromptChain &chain,
                      std::int64_t uncachedTokens, MonoTime now)
{
    const auto found = this->loads.find(endpointId);
    if (found == this->loads.end())
        return;
    ++found->second.inFlight;
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
    if (found == this->loads.end() || versionIn(found->second.entry, model) >= version)
        return;
    found->second.entry.weights[model] = version;
    found->second.memory.clear();
    found->second.avoidedUntil = {};
}

const RosterEntry *LoadBook::entryOf(const std::string &endpointId) const
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
