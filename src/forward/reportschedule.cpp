#include "forward/reportschedule.h"

#include <cstdlib>

namespace lavenderhall {

namespace {

constexpr Millis BusyInterval{350};
constexpr Millis IdleInterval{2000};
constexpr Millis CallTimeout{600}; ///< a request without an answer is repeated after it
constexpr Millis ReannounceInterval{1500}; ///< before the report expires at the other instances
constexpr std::int64_t IdleRequestLimit = 8; ///< an engine with fewer counts as idle: none waits
constexpr int AnnouncedFailures = 2; ///< consecutive ones until an engine is announced
// A report is announced if the number of requests has changed by more than 1 plus the announced
// number divided by this.
constexpr std::int64_t ChangeDivisor = 8;

} // namespace

bool ReportSchedule::isDue(const std::string &engine, MonoTime now) const
{
    const auto found = this->states.find(engine);
    return found == this->states.end() || now >= found->second.nextRequestAt;
}

void ReportSchedule::onRequested(const std::string &engine, MonoTime now)
{
    State &state = this->states[engine];
    state.requestedAt = now;
    state.nextRequestAt = now + CallTimeout;
}

bool ReportSchedule::onReport(const std::string &engine, const EngineReport &report, MonoTime now)
{
    State &state = this->states[engine];
    const std::int64_t requests = report.running + report.waiting;
    const bool wasUnreachable = state.failures > 0;
    const bool isIdle = requests < IdleRequestLimit && state.announcedRequests < IdleRequestLimit;
    const std::int64_t change = std::abs(requests - state.announcedRequests);
    state.nextRequestAt = now + (isIdle ? IdleInterval : BusyInterval);
    state.failures = 0;
    state.isUnreachable = false;
    const bool isNews = change > 1 + state.announcedRequests / ChangeDivisor
        || now - state.announcedAt > ReannounceInterval;
    if (!wasUnreachable && (isIdle || !isNews))
        return false;
    state.announcedRequests = requests;
    state.announcedAt = now;
    return true;
}

void ReportSchedule::onFailure(const std::string &engine, bool wasSent, MonoTime now)
{
    State &state = this->states[engine];
    state.nextRequestAt = now + BusyInterval;
    if (state.failures == 0)
        state.firstFailedAt = now;
    state.failures += wasSent ? 1 : AnnouncedFailures;
    state.isUnreachable = state.failures >= AnnouncedFailures;
}

// As long as nothing has been heard of any endpoint since the failure, this instance may be cut off
// from all of them.
std::vector<std::string>
ReportSchedule::takeUnreachable(const std::function<MonoTime(const std::string &engine)> &lastHeard)
{
    std::vector<std::string> engines;
    for (auto &[engine, state] : this->states) {
        if (!state.isUnreachable || lastHeard(engine) <= state.firstFailedAt)
            continue;
        state.isUnreachable = false;
        engines.push_back(engine);
    }
    return engines;
}

void ReportSchedule::forgetBefore(MonoTime requestedBefore)
{
    std::erase_if(this->states,
                  [&](const auto &entry) { return entry.second.requestedAt < requestedBefore; });
}

} // namespace lavenderhall
