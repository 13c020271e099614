#pragma once

#include "forward/enginecalls.h"
#include "forward/reportschedule.h"

#include <functional>
#include <memory>
#include <string>

/// Asks the engines that fall to this instance how loaded they are, and tells all others.
namespace lavenderhall {

class LoadWatch
{
public:
    /// Whether a task, by its name, falls to this instance.
    using DutyCheck = std::function<bool(const std::string &task)>;

    LoadWatch(http::Loop &loop, const PlatformAdapter &adapter, LoadBook &loads, DutyCheck isMine,
              EngineTelling telling);
    ~LoadWatch() { *this->alive = false; }

    void onTick(const EndpointDirectory &directory, MonoTime now);
    /// An endpoint's address belongs to another one, as the answer to a request told.
    void onReplaced(const std::string &endpointId);
    /// Another instance tells that an engine is about to change its weights, or has.
    void onNotice(const proto::WeightsNotice &notice, MonoTime now);
    /// Another instance tells how loaded engines are.
    void onNews(const proto::LoadNews &news, MonoTime now);

private:
    void ask(const RegisteredEndpoint &engine);
    void onReport(const RegisteredEndpoint &engine, const EngineReport &report);
    void onFailure(const RegisteredEndpoint &engine, ReportFailure why);
    void tellToAvoid(const RegisteredEndpoint &engine, Millis pause, const char *reason);
    void take(const proto::EngineLoad &load, MonoTime now);
    void flush(MonoTime now);

    const PlatformAdapter &adapter;
    LoadBook &loads;
    DutyCheck isMine;
    EngineTelling telling;
    http::Client client;
    ReportSchedule schedule;
    proto::LoadNews pending; ///< told together
    MonoTime flushedAt{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
