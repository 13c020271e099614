#pragma once

#include "forward/enginecalls.h"
#include "forward/reportschedule.h"
#include "routing/endpointreach.h"

#include <functional>
#include <memory>
#include <string>

/// Requests load reports from the engines that are assigned to this instance, and broadcasts them
/// to all other instances.
namespace lavenderhall {

/// Returns the name of the task of requesting the reports of the engine. In each region it is
/// assigned to one instance.
std::string loadTask(const std::string &endpointId);

class LoadMonitor
{
public:
    /// Returns whether the task of that name is assigned to this instance.
    using AssignmentCheck = std::function<bool(const std::string &task)>;
    /// Called when an engine has reported.
    using AliveHandler = std::function<void(const Incarnation &engine)>;
    /// Adds what else is to be announced to a broadcast.
    using NewsSource = std::function<void(proto::LoadNews &news, MonoTime now)>;

    LoadMonitor(http::Loop &loop, const PlatformAdapter &adapter, EndpointSelector &selector,
                EndpointReach &reach, AssignmentCheck isAssigned, EngineBroadcast broadcast,
                AliveHandler onAlive);
    ~LoadMonitor() { *this->alive = false; }

    /// Sets the source of further news, which is asked before each broadcast that may be sent.
    void setNewsSource(NewsSource source) { this->newsSource = std::move(source); }
    /// Sends the load requests and broadcasts that are due; to be called periodically.
    void onTick(const EndpointDirectory &directory, MonoTime now);
    /// Handles an answer to a request which states that the address of the endpoint belongs to
    /// another one now.
    void onEndpointReplaced(const std::string &endpointId);
    /// Handles the statement of an endpoint, in an answer to a request, that it stops soon.
    void onEndpointLeaving(const std::string &endpointId);
    /// Handles the notice of another instance that an engine is about to change its weights, or
    /// has changed them.
    void onWeightsNotice(const proto::WeightsNotice &notice, MonoTime now);
    /// Handles load reports that another instance has broadcast.
    void onLoadNews(const proto::LoadNews &news, MonoTime now);

private:
    void requestLoad(const RegisteredEndpoint &engine);
    void onReport(const RegisteredEndpoint &engine, const EngineReport &report);
    void onFailure(const RegisteredEndpoint &engine, ReportFailure reportFailure);
    void announceUnreachable();
    void announceAvoidance(const RegisteredEndpoint &engine, Millis duration, const char *reason);
    void announceLeaving(const RegisteredEndpoint &endpoint);
    void applyLoad(const proto::EngineLoad &load, MonoTime now);
    void flush(MonoTime now);

    const PlatformAdapter &adapter;
    EndpointSelector &selector;
    EndpointReach &reach;
    AssignmentCheck isAssigned;
    EngineBroadcast broadcast;
    AliveHandler onAlive;
    NewsSource newsSource;
    http::Client client;
    ReportSchedule schedule;
    proto::LoadNews pendingNews; ///< collected for the next broadcast
    MonoTime flushedAt{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lavenderhall
