#pragma once

#include "base/clock.h"
#include "rollout/order.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Schedules the load requests to engines and decides which of their reports are announced to the
/// other instances. Each instance sees only its own part of an engine's work; without reports of
/// the rest, all of them would send their requests to the same engines that look free. An instance
/// that is cut off from all endpoints for a while must not make the others avoid them.
namespace lavenderhall {

class ReportSchedule
{
public:
    /// Whether a load request to \a engine is due. A busy engine is asked more often than an idle
    /// one, because each request costs it some work.
    bool isDue(const std::string &engine, MonoTime now) const;
    /// Records that a load request was sent.
    void onRequested(const std::string &engine, MonoTime now);
    /// Records a report. Returns whether it is to be announced to the other instances.
    bool onReport(const std::string &engine, const EngineReport &report, MonoTime now);
    /// Records a request without a valid answer; \a wasSent is false if no connection could be
    /// opened.
    void onFailure(const std::string &engine, bool wasSent, MonoTime now);
    /// Returns the engines that are to be announced as unreachable now. \a lastHeard returns when
    /// this instance last heard of any endpoint of the engine's service.
    std::vector<std::string>
    takeUnreachable(const std::function<MonoTime(const std::string &engine)> &lastHeard);
    /// Removes the engines to which no request was sent since \a requestedBefore.
    void forgetBefore(MonoTime requestedBefore);

private:
    struct State
    {
        MonoTime requestedAt{};
        MonoTime nextRequestAt{};
        MonoTime announcedAt{};
        std::int64_t announcedRequests = 0; ///< requests at the engine, as last announced
        int failures = 0; ///< consecutive requests without an answer
        MonoTime firstFailedAt{}; ///< of these
        bool isUnreachable = false; ///< to be announced
    };

    std::map<std::string, State> states;
};

} // namespace lavenderhall
