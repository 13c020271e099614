#pragma once

#include "base/clock.h"
#include "rollout/order.h"

#include <map>
#include <string>

/// Schedules the load requests to engines and decides which of their reports are announced to the
/// other instances. Each instance sees only its own part of an engine's work; without reports of
/// the rest, all of them would send their requests to the same engines that look free.
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
    /// opened. Returns whether the engine is to be announced as unreachable.
    bool onFailure(const std::string &engine, bool wasSent, MonoTime now);
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
    };

    std::map<std::string, State> states;
};

} // namespace lavenderhall
