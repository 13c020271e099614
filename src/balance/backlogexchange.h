#pragma once

#include "balance/loadestimate.h"
#include "proto/peer.pb.h"

#include <functional>
#include <map>
#include <string>

/// Exchanges with other instances what waits at engines. Each instance tells the one that requests
/// an engine's reports what it has sent there. That one adds it up and announces the sum together
/// with the reports.
namespace lavenderhall {

/// Functions by which the exchange sees the rest of the instance.
struct ExchangeHooks
{
    /// The instances of a region among which a task is assigned.
    struct Task
    {
        std::string region;
        std::string name;

        auto operator<=>(const Task &) const = default;
    };

    /// Returns the task of requesting the reports of the engine; the region is "" if the engine is
    /// not known.
    std::function<Task(const std::string &endpointId)> taskOf;
    /// Sends to the instance that does the task, possibly this one.
    std::function<void(const Task &task, const proto::WorkNews &news)> send;
    /// Whether this instance does the task for the engine now.
    std::function<bool(const std::string &endpointId)> isOwnTask;
    /// Returns the service of the engine; nullptr if this incarnation is not known.
    std::function<const std::string *(const Incarnation &engine)> serviceOf;
};

class BacklogExchange
{
public:
    BacklogExchange(LoadEstimate &estimate, ExchangeHooks hooks)
        : estimate(estimate)
        , hooks(std::move(hooks))
    { }

    /// Sets how many instances there are; they tell less often the more there are.
    void setInstanceCount(std::size_t count) { this->instanceCount = count; }
    /// Tells what is due; to be called periodically.
    void onTick(MonoTime now);
    /// Handles what the process \a from has sent to engines.
    void onWorkNews(const proto::ProcessId &from, const proto::WorkNews &news, MonoTime now);
    /// Adds the backlogs that are to be announced now to \a news, which is broadcast then.
    void addBacklogs(proto::LoadNews &news, MonoTime now);
    /// Handles the backlogs that another instance has announced.
    void onLoadNews(const proto::LoadNews &news, MonoTime now);

private:
    void apply(const proto::EngineBacklog &message, MonoTime now);

    LoadEstimate &estimate;
    ExchangeHooks hooks;
    std::size_t instanceCount = 1;
    BacklogLedger ledger;
    std::map<ExchangeHooks::Task, MonoTime> lastSentAt;
};

} // namespace lavenderhall
