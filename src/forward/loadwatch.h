#pragma once

#include "forward/adapter.h"
#include "forward/loadbook.h"
#include "forward/reportschedule.h"
#include "proto/peer.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

/// Asks the engines that fall to this instance how loaded they are, and tells all others.
namespace lavenderhall {

/// How instances hear from each other about engines.
struct EngineTelling
{
    std::function<void(const proto::LoadNews &news)> load;
    std::function<void(const proto::WeightsNotice &notice)> weights;
};

/// Takes in the weights that \a engine reports, and tells of those that are news.
void learnWeights(LoadBook &loads, const RosterEntry &engine, const EngineReport &report,
                  const EngineTelling &telling);

/// Reads an engine's answer. An answer of another one, which has the address now, is none.
std::variant<EngineReport, ReportFailure> readEngineReport(const PlatformAdapter &adapter,
                                                           const RosterEntry &engine,
                                                           const http::Response &response);

class LoadWatch
{
public:
    /// Whether a task, by its name, falls to this instance.
    using DutyCheck = std::function<bool(const std::string &task)>;

    LoadWatch(http::Loop &loop, const PlatformAdapter &adapter, LoadBook &loads, DutyCheck isMine,
              EngineTelling telling);
    ~LoadWatch() { *this->alive = false; }

    void onTick(const Roster &roster, MonoTime now);
    /// An endpoint's address belongs to another one, as the answer to a request told.
    void onReplaced(const std::string &endpointId);
    /// Another instance has asked.
    void onNews(const proto::LoadNews &news, MonoTime now);

private:
    void ask(const RosterEntry &engine);
    void onReport(const RosterEntry &engine, const EngineReport &report);
    void onFailure(const RosterEntry &engine, ReportFailure why, bool wasSent);
    void tellToAvoid(const RosterEntry &engine, Millis pause, const char *reason);
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
