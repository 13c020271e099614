#include "forward/endpointselector.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

/// The part of EndpointSelector that compares endpoints and chooses one.
namespace lavenderhall {

bool EndpointSelector::isCandidate(const TrackedEndpoint &endpoint, const ChoiceQuery &query,
                                   MonoTime now) const
{
    const bool isPermitted = endpoint.entry.id == query.permittedEndpoint;
    const MonoTime until = isPermitted ? this->pausedUntil(endpoint) : this->closedUntil(endpoint);
    return this->isSuitable(endpoint, query) && until <= now
        && !this->hasUsedBrittleShare(endpoint, now);
}

bool EndpointSelector::hasUsedBrittleShare(const TrackedEndpoint &endpoint, MonoTime now) const
{
    const RegisteredEndpoint &entry = endpoint.entry;
    if (!this->brittleServices.isBrittle(entry.service, now))
        return false;
    std::int64_t share
        = brittleShare(entry.id, entry.slots, this->location.instance, this->instanceCount);
    if (share == 0 && this->brittleHome(entry.service) == entry.id)
        share = 1;
    return static_cast<std::int64_t>(endpoint.inFlight) >= share;
}

const std::string &EndpointSelector::brittleHome(const std::string &service) const
{
    const auto [entry, isNew] = this->brittleHomes.try_emplace(service);
    if (!isNew)
        return entry->second;
    const std::uint64_t key = hash64(this->location.instance, 0);
    std::uint64_t bestScore = 0;
    for (const auto &[id, endpoint] : this->endpoints) {
        const std::uint64_t score = homeScore(key, id);
        if (endpoint.entry.service != service || endpoint.entry.isLeaving || score < bestScore)
            continue;
        bestScore = score;
        entry->second = id;
    }
    return entry->second;
}

bool EndpointSelector::isSuitable(const TrackedEndpoint &endpoint, const ChoiceQuery &query) const
{
    if (endpoint.entry.service != query.service || endpoint.entry.isLeaving
        || this->notices.isLeaving({endpoint.entry.id, endpoint.entry.startMillis}))
        return false;
    if (std::find(query.triedEndpoints.begin(), query.triedEndpoints.end(), endpoint.entry.id)
        != query.triedEndpoints.end())
        return false;
    if (query.versions.excluded.contains(endpoint.entry.build))
        return false;
    // What two builds write does not fit together.
    if (query.requiredBuild && endpoint.entry.build != *query.requiredBuild)
        return false;
    const std::int64_t version = endpoint.entry.weightsVersion(query.model);
    if (query.requiredWeights && version != *query.requiredWeights)
        return false;
    // An engine whose version is not known may have new weights.
    return version == 0 || version >= query.minWeights;
}

// While only few engines have the newest weights, the share of the requests that prefer them is
// limited to what these engines can serve: all instances see the same new engines, and none sees
// what the others send to them.
bool EndpointSelector::prefersNewest(const Candidates &available, const ChoiceQuery &query,
                                     MonoTime now) const
{
    if (query.model.empty() || query.newestWeights == 0)
        return true;
    std::size_t newest = 0; // engines that have the newest weights
    std::int64_t running = 0;
    std::int64_t slots = 0;
    for (const TrackedEndpoint *endpoint : available) {
        newest += endpoint->entry.weightsVersion(query.model) >= query.newestWeights ? 1 : 0;
        slots += endpoint->entry.slots;
        if (const ReportedLoad *report = this->freshReport(*endpoint, now))
            running += report->running + report->waiting;
    }
    if (newest == 0)
        return false;
    const double slotLoad = static_cast<double>(running + 1) / static_cast<double>(slots + 1);
    const double factor
        = std::clamp(this->settings.newestSlotShare / slotLoad, this->settings.minNewestFactor,
                     this->settings.maxNewestFactor);
    return query.randomDraw
        < factor * static_cast<double>(newest) / static_cast<double>(available.size());
}

std::uint64_t EndpointSelector::homeScoreOf(std::uint64_t key,
                                            const TrackedEndpoint &endpoint) const
{
    const RegisteredEndpoint &entry = endpoint.entry;
    const std::uint64_t hash = homeScore(key, entry.id);
    return this->balance
        ? weightedHomeScore(hash, this->balance->homeWeight(entry.id, entry.service))
        : hash;
}

// An engine that is avoided, because it changes its weights or has failed, is not in \a available:
// it is neither a home nor a source of cached parts.
EndpointSelector::WeightsGroups EndpointSelector::groupByWeights(const Candidates &available,
                                                                 const ChoiceQuery &query,
                                                                 MonoTime now) const
{
    WeightsGroups groups;
    const PromptChain::Link *shared = query.chain.lastSharedLink();
    if (!shared)
        return groups;
    struct HomeScores
    {
        std::uint64_t home = 0;
        std::uint64_t formerHome = 0;
        std::uint64_t thirdHome = 0;
    };
    std::map<std::int64_t, HomeScores> bestScores;
    for (const TrackedEndpoint *endpoint : available) {
        const std::int64_t version = endpoint->entry.weightsVersion(query.model);
        WeightsGroup &group = groups[version];
        HomeScores &scores = bestScores[version];
        const std::uint64_t score = this->homeScoreOf(shared->hash, *endpoint);
        if (!group.home || score > scores.home) {
            group.thirdHome = std::exchange(group.formerHome, group.home);
            scores.thirdHome = std::exchange(scores.formerHome, scores.home);
            group.home = endpoint;
            scores.home = score;
        } else if (!group.formerHome || score > scores.formerHome) {
            group.thirdHome = std::exchange(group.formerHome, endpoint);
            scores.thirdHome = std::exchange(scores.formerHome, score);
        } else if (!group.thirdHome || score > scores.thirdHome) {
            group.thirdHome = endpoint;
            scores.thirdHome = score;
        }
        const std::int64_t cached = endpoint->cache.cachedTokens(query.chain, now);
        if (cached <= group.bestHolderTokens)
            continue;
        group.bestHolder = endpoint;
        group.bestHolderTokens = cached;
    }
    return groups;
}

EndpointSelector::Candidates EndpointSelector::candidatesFor(const ChoiceQuery &query,
                                                             MonoTime now) const
{
    Candidates found;
    for (const auto &[id, endpoint] : this->endpoints) {
        if (!this->isCandidate(endpoint, query, now))
            continue;
        if (id == query.permittedEndpoint)
            return {&endpoint};
        found.push_back(&endpoint);
    }
    return found;
}

bool EndpointSelector::hasCandidate(const ChoiceQuery &query, MonoTime now) const
{
    return std::any_of(this->endpoints.begin(), this->endpoints.end(), [&](const auto &entry) {
        return this->isCandidate(entry.second, query, now);
    });
}

// What other instances have sent since the reports is not known; their requests show in the next
// ones. Endpoints that are paused or avoided count with their slots: nothing is refused while under
// half of all slots are taken.
ServiceLoad EndpointSelector::load(const std::string &service, MonoTime now) const
{
    ServiceLoad load;
    for (const auto &[id, endpoint] : this->endpoints) {
        if (endpoint.entry.service != service || endpoint.entry.isLeaving)
            continue;
        ++load.endpoints;
        load.slots += endpoint.entry.slots;
        const ReportedLoad *report = this->freshReport(endpoint, now);
        if (!report) {
            ++load.silentEndpoints;
            load.taken += static_cast<std::int64_t>(endpoint.inFlight);
            continue;
        }
        load.taken += report->running + report->waiting
            + static_cast<std::int64_t>(endpoint.sentSinceReport);
        load.waiting += report->waiting;
        const auto age = std::chrono::duration_cast<Millis>(now - endpoint.reportedAt);
        load.newsAge = std::max(load.newsAge.value_or(Millis(0)), age);
    }
    return load;
}

std::optional<MonoTime> EndpointSelector::opensAt(const ChoiceQuery &query, MonoTime now) const
{
    std::optional<MonoTime> earliest;
    for (const auto &[id, endpoint] : this->endpoints) {
        if (!this->isSuitable(endpoint, query))
            continue;
        const MonoTime until = this->closedUntil(endpoint);
        if (until <= now)
            return std::nullopt;
        if (!earliest || until < *earliest)
            earliest = until;
    }
    return earliest;
}

std::optional<Choice> EndpointSelector::choose(const ChoiceQuery &query, MonoTime now) const
{
    static const WeightsGroup EmptyGroup;
    const Candidates candidates = this->candidatesFor(query, now);
    Candidates available = candidates;
    std::erase_if(available,
                  [now](const TrackedEndpoint *endpoint) { return endpoint->avoidedUntil > now; });
    const WeightsGroups groups = this->groupByWeights(available, query, now);
    std::vector<Choice> best; // those of the lowest rank that may be picked
    // The rank comes before the cost. It is the sum of 1 for a build that is not preferred, 2 for
    // an endpoint that is avoided, 4 for one whose weights may be too old, and 8 for a build that
    // is not registered.
    int bestRank = 0;
    const bool wantsNewest = this->prefersNewest(available, query, now);
    const auto otherWeightsCost = static_cast<double>(this->settings.otherWeightsCost.count());
    for (const TrackedEndpoint *endpoint : candidates) {
        Choice choice;
        choice.endpointId = endpoint->entry.id;
        choice.build = endpoint->entry.build;
        choice.weightsVersion = endpoint->entry.weightsVersion(query.model);
        choice.requiredWeights = choice.weightsVersion;
        if (choice.weightsVersion == 0 && query.minWeights > 0)
            choice.requiredWeights = query.newestWeights;
        choice.startLimit = query.oldWeightsLimits.limitOf(choice.requiredWeights);
        choice.costMillis = this->baseCost(*endpoint, now);
        choice.expectedMillis = choice.costMillis;
        choice.uncachedTokens = query.chain.totalTokens();
        const auto group = groups.find(choice.weightsVersion);
        if (!query.chain.links.empty())
            this->addPromptCost(*endpoint, query,
                                group == groups.end() ? EmptyGroup : group->second, now, choice);
        const bool mayBeTooOld = choice.weightsVersion < query.minWeights
            || this->mayStartTooLate(*endpoint, choice.startLimit, choice.costMillis, now);
        // A request on unknown weights shares no cached parts, so it needs a prefill of its whole
        // prompt.
        const bool isUnknown = query.newestWeights > 0 && choice.weightsVersion == 0;
        if (isUnknown || wantsNewest != (choice.weightsVersion >= query.newestWeights))
            choice.costMillis += otherWeightsCost;
        const bool isOtherBuild
            = !query.versions.preferred.empty() && choice.build != query.versions.preferred;
        const int rank = (isOtherBuild ? 1 : 0) + (endpoint->avoidedUntil > now ? 2 : 0)
            + (mayBeTooOld ? 4 : 0) + (this->isUnregistered(endpoint->entry) ? 8 : 0);
        if (best.empty() || rank < bestRank) {
            best = {std::move(choice)};
            bestRank = rank;
        } else if (rank == bestRank && this->balance) {
            best.push_back(std::move(choice));
        } else if (rank == bestRank && choice.costMillis < best.front().costMillis) {
            best.front() = std::move(choice);
        }
    }
    if (best.empty())
        return std::nullopt;
    Choice &picked = best.at(this->balance ? this->pick(best, query) : 0);
    picked.candidates = candidates.size();
    if (this->balance)
        picked.load = this->balance->estimate(picked.endpointId, query.service, now);
    return std::move(picked);
}

// A shared part goes to its home whenever that is among the best, so that few engines read it. The
// draw is derived from the request's by a hash, as the request's also decides which weights it
// prefers.
std::size_t EndpointSelector::pick(const std::vector<Choice> &choices,
                                   const ChoiceQuery &query) const
{
    constexpr double DrawSteps = 1 << 30;
    std::vector<PickOption> options;
    options.reserve(choices.size());
    for (const Choice &choice : choices)
        options.push_back(
            {choice.costMillis, this->balance->speed(choice.endpointId, query.service)});
    const auto draw = static_cast<std::uint64_t>(query.randomDraw * DrawSteps);
    constexpr int UnusedBits = 64 - 30;
    const double ownDraw
        = static_cast<double>(hashCombine(draw, choices.size()) >> UnusedBits) / DrawSteps;
    const std::size_t picked = pickNearBest(options, ownDraw);
    for (std::size_t index = 0; index < choices.size(); ++index) {
        const Choice &choice = choices[index];
        if (choice.endpointId == choice.home
            && choice.costMillis <= choices[picked].costMillis + this->settings.homeMarginMillis)
            return index;
    }
    return picked;
}

bool EndpointSelector::isUnregistered(const RegisteredEndpoint &entry) const
{
    const auto found = this->unregisteredBuilds.find(entry.service);
    return found != this->unregisteredBuilds.end() && found->second.contains(entry.build);
}

} // namespace lavenderhall
