#pragma once

#include "base/processstate.h"
#include "http/loop.h"
#include "router/metrics.h"

#include <cstddef>
#include <functional>

/// Log lines and metrics from which a later reader can tell why a process ended: what it used of
/// its limits, and how late its event loop was.
namespace lavenderhall {

/// What a process serves at one moment.
struct ServedLoad
{
    std::size_t openRequests = 0;
    std::size_t callerConnections = 0;

    bool operator==(const ServedLoad &) const = default;
};

/// Writes a line "process_state" every ten seconds, and updates the process's metrics. It must not
/// outlive the loop.
class ProcessWatch
{
public:
    using LoadSource = std::function<ServedLoad()>;

    ProcessWatch(http::Loop &loop, Metrics &metrics, LoadSource load);
    /// Starts the timers. Logs what the process may use.
    void start();
    /// Sets the process's gauges to what they are now.
    void updateMetrics();
    /// Returns how late the event loop was at most since the last line.
    Millis maxLoopLag() const { return this->maxLag; }

private:
    void measureLag();
    void log();

    http::Loop &loop;
    Metrics &metrics;
    LoadSource load;
    MonoTime startedAt{};
    MonoTime lagTimerDue{};
    Millis maxLag{0}; ///< since the last line
    Millis processorTimeAtLine{0}; ///< of the process, at the last line
    http::Timer lagTimer;
    http::Timer logTimer;
};

} // namespace lavenderhall
