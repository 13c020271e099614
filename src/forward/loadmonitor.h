#pragma once

#include "forward/enginecalls.h"
#include "forward/reportschedule.h"

#include <functional>
#include <memory>
#include <string>

/// Asks the engines that fall to this instance how loaded they are, and tells all others.
namespace lavenderhall {

class LoadMonitor
{
public:
    /// Whether a task, by its name, falls to this instance.
    using DutyCheck = std::function<bool(const std::string &task)>;

    LoadMonitor(http::Loop &loop, const PlatformAdapter &adapter, EndpointSelector &selector,
                DutyCheck isOnDuty, EngineBroadcast broadcast);
    ~LoadMonitor() { *this->alive = false; }

    void onTick(const Roster &roster, MonoTime now);
    /// An endpoint's address belongs to another one, as the answer to a request told.
    void onEndpointReplaced(const std::string &endpointId);
    /// Another instance tells that an engine is about to change its weights, or has.
    void onWeightsNotice(const proto::WeightsNotice &notice, MonoTime now);
    /// Another instance tells how loaded engines are.
    void onLoadNews(const proto::LoadNews &news, MonoTime now);

private:
    void requestLoad(const RosterEntry &engine);
    void onReport(const RosterEntry &engine, const EngineReport &report);
    void onFailure(const RosterEntry &engine, ReportFailure reportFailure);
    void announceAvoidance(const RosterEntry &engine, Millis duration, const char *reason);
    void applyLoad(const proto::EngineLoad &load, MonoTime now);
    void flush(MonoTime now);

    const PlatformAdapter &adapter;
    EndpointSelector &selector;
    DutyCheck isOnDuty;
    EngineBroadcast broadcast;
    http::Client client;
    ReportSchedule schedule;
    proto::LoadNews pendingNews; ///< told together
    MonoTime flushedAt{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
