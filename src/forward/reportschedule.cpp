#include "forward/reportschedule.h"

#include <cstdlib>

namespace lavenderhall {

namespace {

constexpr Millis BusyInterval{350};
constexpr Millis IdleInterval{2000};
constexpr Millis CallTime{600}; ///< until an answer counts as failed at the latest
constexpr Millis RepeatInterval{1500}; ///< what was told fades away at the others
constexpr std::int64_t IdleRequests = 8; ///< an engine with fewer makes nobody wait
constexpr int FailuresToTell = 2;

} // namespace

bool ReportSchedule::isDue(const std::string &engine, MonoTime now) const
{
    const auto found = this->states.find(engine);
    return found == this->states.end() || now >= found->second.nextAt;
}

void ReportSchedule::onAsked(const std::string &engine, MonoTime now)
{
    State &state = this->states[engine];
    state.askedAt = now;
    state.nextAt = now + CallTime;
}

bool ReportSchedule::onReport(const std::string &engine, const EngineReport &report, MonoTime now)
{
    State &state = this->states[engine];
    const std::int64_t requests = report.running + report.waiting;
    const bool wasLost = state.failures > 0;
    const bool isIdle = requests < IdleRequests && state.told < IdleRequests;
    const std::int64_t change = std::abs(requests - state.told);
    state.nextAt = now + (isIdle ? IdleInterval : BusyInterval);
    state.failures = 0;
    const bool isNews = change > 1 + state.told / 8 || now - state.toldAt > RepeatInterval;
    if (!wasLost && (isIdle || !isNews))
        return false;
    state.told = requests;
    state.toldAt = now;
    return true;
}

bool ReportSchedule::onFailure(const std::string &engine, bool wasSent, MonoTime now)
{
    State &state = this->states[engine];
    state.nextAt = now + BusyInterval;
    state.failures += wasSent ? 1 : FailuresToTell;
    return state.failures >= FailuresToTell;
}

void ReportSchedule::forgetBefore(MonoTime askedBefore)
{
    std::erase_if(this->states,
                  [&](const auto &entry) { return entry.second.askedAt < askedBefore; });
}

} // namespace lavenderhall
