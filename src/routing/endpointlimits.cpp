#include "routing/endpointlimits.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// All instances are told this often that a limit is still named.
constexpr Millis RenewalInterval{500};
constexpr Millis StateLifetime = std::chrono::minutes(10);
// More overloaded endpoints at a time than any deployment has.
constexpr std::size_t MaxStates = 10'000;

} // namespace

EndpointLimits::State &EndpointLimits::stateToChange(const Incarnation &endpoint, MonoTime now)
{
    const auto known = this->states.find(endpoint);
    if (known != this->states.end()) {
        known->second.changedAt = now;
        return known->second;
    }
    std::erase_if(this->states, [now](const auto &entry) {
        return now - entry.second.changedAt > StateLifetime;
    });
    if (this->states.size() >= MaxStates)
        this->states.erase(std::min_element(
            this->states.begin(), this->states.end(), [](const auto &left, const auto &right) {
                return left.second.changedAt < right.second.changedAt;
            }));
    State &added = this->states[endpoint];
    added.changedAt = now;
    return added;
}

void NamedLimit::merge(const NamedLimit &other)
{
    if (other.namedAt >= this->namedAt) {
        this->requestsPerSecond = other.requestsPerSecond;
        this->namedAt = other.namedAt;
    }
    this->liftedAt = std::max(this->liftedAt, other.liftedAt);
}

void EndpointLimits::onNamed(const Incarnation &endpoint, double requestsPerSecond, MonoTime now)
{
    this->stateToChange(endpoint, now).limit.merge({requestsPerSecond, now, {}});
}

void EndpointLimits::onNoneNamed(const Incarnation &endpoint, MonoTime sentAt)
{
    const auto found = this->states.find(endpoint);
    if (found == this->states.end())
        return;
    MonoTime &liftedAt = found->second.limit.liftedAt;
    liftedAt = std::max(liftedAt, sentAt);
}

void EndpointLimits::onTold(const Incarnation &endpoint, const NamedLimit &known, MonoTime now)
{
    State &state = this->stateToChange(endpoint, now);
    state.limit.merge(known);
    state.told.merge(known);
}

// A limit that is named again is told from time to time: only an answer to a later request can end
// it, and each instance has to know what is later.
std::optional<NamedLimit> EndpointLimits::takeNews(const Incarnation &endpoint)
{
    const auto found = this->states.find(endpoint);
    if (found == this->states.end())
        return std::nullopt;
    const NamedLimit &limit = found->second.limit;
    NamedLimit &told = found->second.told;
    const bool isChanged = limit.isInForce() != told.isInForce()
        || (limit.isInForce() && limit.requestsPerSecond != told.requestsPerSecond);
    const bool isRenewed = limit.isInForce() && limit.namedAt - told.namedAt >= RenewalInterval;
    if (!isChanged && !isRenewed)
        return std::nullopt;
    told = limit;
    return limit;
}

void EndpointLimits::onUsedUp(const Incarnation &endpoint, MonoTime until)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end())
        found->second.usedUpUntil = until;
}

const NamedLimit *EndpointLimits::find(const Incarnation &endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? nullptr : &found->second.limit;
}

bool EndpointLimits::isLimited(const Incarnation &endpoint) const
{
    const NamedLimit *limit = this->find(endpoint);
    return limit && limit->isInForce();
}

MonoTime EndpointLimits::closedUntil(const Incarnation &endpoint) const
{
    const auto found = this->states.find(endpoint);
    if (found == this->states.end() || !found->second.limit.isInForce())
        return MonoTime{};
    return found->second.usedUpUntil;
}

} // namespace lavenderhall
