#include "routing/endpointreach.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr Millis OutcomeLifetime{4000};
constexpr Millis ProbeInterval{250}; ///< of one request that finds out whether the cut is over
constexpr Millis LossyProbeInterval{2000}; ///< of one that is lost if the cut is not over
/// So many endpoints do not fail together by themselves; a service may have fewer.
constexpr std::size_t MinUnreachable = 3;
/// While many requests are sent, a few in a row meet endpoints that have crashed.
constexpr Millis MinSilence{400};

} // namespace

void EndpointReach::onUnreachable(const std::string &service, const std::string &endpointId,
                                  MonoTime now)
{
    this->record(service, endpointId, {now, false});
}

void EndpointReach::onHeard(const std::string &service, const std::string &endpointId, MonoTime now)
{
    this->services[service].lastHeard = now;
    this->record(service, endpointId, {now, true});
}

void EndpointReach::record(const std::string &service, const std::string &endpointId,
                           Outcome outcome)
{
    auto &outcomes = this->services[service].endpoints;
    outcomes[endpointId] = outcome;
    std::erase_if(outcomes, [&outcome](const auto &entry) {
        return outcome.at - entry.second.at >= OutcomeLifetime;
    });
}

MonoTime EndpointReach::lastHeard(const std::string &service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? MonoTime() : found->second.lastHeard;
}

// An endpoint that failed before another one was heard of may have crashed by itself.
bool EndpointReach::isCutOff(const std::string &service, std::size_t endpoints, MonoTime now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return false;
    const auto &outcomes = found->second.endpoints;
    const MonoTime lastHeard = found->second.lastHeard;
    const auto unreachable = static_cast<std::size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [lastHeard, now](const auto &entry) {
            const Outcome &outcome = entry.second;
            return !outcome.isHeard && outcome.at >= lastHeard
                && now - outcome.at < OutcomeLifetime;
        }));
    const std::size_t needed = std::clamp<std::size_t>(endpoints, 1, MinUnreachable);
    return unreachable >= needed && now - lastHeard >= MinSilence;
}

bool EndpointReach::takeProbe(const std::string &service, bool mayRepeat, MonoTime now)
{
    MonoTime &last = this->services[service].lastProbe;
    if (now - last < (mayRepeat ? ProbeInterval : LossyProbeInterval))
        return false;
    last = now;
    return true;
}

} // namespace lavenderhall
