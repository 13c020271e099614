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

void LoadBook::onChange(const RosterChange &change)
{
    if (change.kind == RosterChange::Kind::Gone) {
        this->loads.erase(change.entry.id);
        return;
    }
    Load &load = this->loads[change.entry.id];
    if (change.kind == RosterChange::Kind::Restarted)
        load = Load{};
    if (load.entry.weights != change.entry.weights)
        load.memory.clear();
    load.entry = change.entry;
    const auto tokens = this->cacheTokens.find(change.entry.service);
    if (tokens != this->cacheTokens.end())
        load.memory.setCapacity(tokens->second);
}

void LoadBook::setCacheTokens(const std::string &service, std::int64_t tokens)
{
    const auto usable = static_cast<std::int64_t>(CachePart * static_cast<double>(tokens));
    this->cacheTokens[service] = usable;
    for (auto &[id, load] : this->loads) {
        if (load.entry.service == service)
            load.memory.setCapacity(usable);
    }
}

bool LoadBook::isCandidate(const Load &load, const ChoiceQuery &query) const
{
    if (load.entry.service != query.service || load.entry.isLeaving)
        return false;
    if (std::find(query.tried.begin(), query.tried.end(), load.entry.id) != query.tried.end())
        return false;
    if (!query.onlyWeights)
        return true;
    const auto weights = load.entry.weights.find(query.model);
    return weights != load.entry.weights.end() && weights->second == *query.onlyWeights;
}

double LoadBook::hopMillis(const std::string &zone) const
{
    if (zone == this->place.zone)
        return 0;
    const auto own = this->place.regionOfZone.find(this->place.zone);
    const auto other = this->place.regionOfZone.find(zone);
    const bool isNear = own != this->place.regionOfZone.end()
        && other != this->place.regionOfZone.end() && own->second == other->second;
    return static_cast<double>(
        (isNear ? this->settings.zoneHop : this->settings.regionHop).count());
}

double LoadBook::costOf(const Load &load, const ChoiceQuery &query, const std::string &home,
                        std::int64_t &cached) const
{
    double cost = this->hopMillis(load.entry.zone);
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, load.entry.slots));
    const auto inFlight = static_cast<double>(load.inFlight);
    cost += inFlight * static_cast<double>(this->settings.requestCost.count());
    // A request beyond the slots waits for a whole one before it.
    if (inFlight >= slots)
        cost += (inFlight - slots + 1) * 100;
    if (query.model.empty())
        return cost;
    cached = load.memory.knownTokens(query.chain);
    const PromptChain::Link *shared = query.chain.shared();
    if (shared && load.entry.id == home) {
        const std::int64_t sharedTokens
            = query.chain.totalTokens() - query.chain.links.back().tokens;
        cached = std::max(cached,
                          static_cast<std::int64_t>(this->settings.homeShare
                                                    * static_cast<double>(sharedTokens)));
    }
    const std::int64_t unread = load.unreadTokens + query.chain.totalTokens() - cached;
    cost += static_cast<double>(unread) / this->settings.promptTokensPerMilli;
    const auto weights = load.entry.weights.find(query.model);
    const std::int64_t version = weights == load.entry.weights.end() ? 0 : weights->second;
    if (version < query.newestWeights)
        cost += static_cast<double>(this->settings.oldWeightsCost.count());
    return cost;
}

std::optional<Choice> LoadBook::choose(const ChoiceQuery &query, MonoTime now) const
{
    std::vector<const Load *> candidates;
    std::vector<const std::string *> ids;
    for (const auto &[id, load] : this->loads) {
        if (!this->isCandidate(load, query))
            continue;
        candidates.push_back(&load);
        ids.push_back(&id);
    }
    const PromptChain::Link *shared = query.chain.shared();
    const std::string *home = shared ? homeOf(shared->hash, ids) : nullptr;
    std::optional<Choice> best;
    bool isBestAvoided = false;
    for (const Load *load : candidates) {
        Choice choice{load->entry.id, 0, 0, candidates.size()};
        choice.costMillis = this->costOf(*load, query, home ? *home : "", choice.cachedTokens);
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
                      std::int64_t uncachedTokens)
{
    const auto found = this->loads.find(endpointId);
    if (found == this->loads.end())
        return;
    ++found->second.inFlight;
    found->second.unreadTokens += uncachedTokens;
    found->second.memory.onSent(chain);
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
