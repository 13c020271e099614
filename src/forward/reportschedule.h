#pragma once

#include "base/clock.h"
#include "rollout/order.h"

#include <map>
#include <string>

/// When to ask which engine for its load, and what of the answers the other instances need.
/// Answers the load pattern of many instances that each see only their own part of an engine's
/// work: without news of the rest, all of them crowd onto the engines that look free.
namespace lavenderhall {

class ReportSchedule
{
public:
    /// Whether \a engine is to be asked now. An engine that works is asked more often than an idle
    /// one, since each question costs it something.
    bool isDue(const std::string &engine, MonoTime now) const;
    void onRequested(const std::string &engine, MonoTime now);
    /// An answer has come. Whether the others are to be told.
    bool onReport(const std::string &engine, const EngineReport &report, MonoTime now);
    /// No answer: \a wasSent is false if not even a connection came about. Whether the others
    /// are to be told that the engine cannot be reached.
    bool onFailure(const std::string &engine, bool wasSent, MonoTime now);
    /// Forgets engines that are not asked any more.
    void forgetBefore(MonoTime requestedBefore);

private:
    struct State
    {
        MonoTime requestedAt{};
        MonoTime nextRequestAt{};
        MonoTime announcedAt{};
        std::int64_t announcedRequests = 0; ///< requests at the engine
        int failures = 0; ///< in a row
    };

    std::map<std::string, State> states;
};

} // namespace lavenderhall
