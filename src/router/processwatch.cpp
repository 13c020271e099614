#include "router/processwatch.h"

#include "base/log.h"

#include <algorithm>
#include <ctime>
#include <unistd.h>

namespace lavenderhall {

namespace {

constexpr Millis LagInterval{500};
constexpr Millis LogInterval{10'000};

Millis processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    const auto total = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
    return std::chrono::duration_cast<Millis>(total);
}

Millis millisBetween(MonoTime begin, MonoTime end)
{
    return std::chrono::duration_cast<Millis>(end - begin);
}

} // namespace

ProcessWatch::ProcessWatch(http::Loop &loop, Metrics &metrics, LoadSource load)
    : loop(loop)
    , metrics(metrics)
    , load(std::move(load))
{ }

void ProcessWatch::start()
{
    this->startedAt = monoNow();
    this->lagTimerDue = this->startedAt;
    this->processorTimeAtLine = processorTime();
    const ProcessState state = readProcessState();
    logEvent(LogLevel::Info, "process_limits",
             {{"pid", getpid()},
              {"descriptors", state.openDescriptors},
              {"max_descriptors", state.maxDescriptors},
              {"resident_bytes", state.residentBytes},
              {"max_address_bytes", state.maxAddressBytes}});
    this->measureLag();
    this->logTimer = this->loop.after(LogInterval, [this] { this->log(); });
}

// A timer that fires late shows that a callback has run for long, or that the process did not get
// the processor.
void ProcessWatch::measureLag()
{
    const MonoTime now = monoNow();
    this->maxLag = std::max(this->maxLag, millisBetween(this->lagTimerDue, now));
    this->lagTimerDue = now + LagInterval;
    this->lagTimer = this->loop.after(LagInterval, [this] { this->measureLag(); });
}

void ProcessWatch::log()
{
    const ProcessState state = readProcessState();
    const ServedLoad served = this->load();
    const Millis used = processorTime();
    logEvent(LogLevel::Info, "process_state",
             {{"uptime_ms", millisBetween(this->startedAt, monoNow()).count()},
              {"open_requests", served.openRequests},
              {"caller_connections", served.callerConnections},
              {"descriptors", state.openDescriptors},
              {"max_descriptors", state.maxDescriptors},
              {"resident_bytes", state.residentBytes},
              {"loop_lag_ms", this->maxLag.count()},
              {"processor_ms", (used - this->processorTimeAtLine).count()}});
    this->maxLag = Millis(0);
    this->processorTimeAtLine = used;
    this->logTimer = this->loop.after(LogInterval, [this] { this->log(); });
}

void ProcessWatch::updateMetrics()
{
    this->metrics.setProcessState(readProcessState());
    this->metrics.setLoopLag(static_cast<double>(this->maxLag.count()) / 1000.0);
    this->metrics.setCallerConnections(static_cast<double>(this->load().callerConnections));
}

} // namespace lavenderhall
