#include "forward/loadmonitor.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <array>

namespace lavenderhall {

namespace {

constexpr EngineCallTimeouts CallTimeouts{Millis(300), Millis(500)};
constexpr Millis BroadcastInterval{200};
// How long an engine is avoided after it was found unreachable, loading weights or replaced; each
// further announcement prolongs it.
constexpr Millis UnreachableAvoidance{1000};
constexpr Millis LoadingAvoidance{900};
constexpr Millis ReplacedAvoidance{10'000};
constexpr Millis ForgetTimeout{10'000};
constexpr Millis MaxToldAvoidance = std::chrono::minutes(1); ///< by another instance
// The engines of a region are divided into this many partitions, each assigned to one instance.
// This bounds the number of instances that broadcast to all others.
constexpr std::uint64_t PartitionCount = 4;

std::string partitionTask(std::uint64_t partition)
{
    return "ask for loads " + std::to_string(partition);
}

/// Returns the end of a time that another instance names; times that cannot be are limited.
MonoTime toldEnd(std::int64_t millis, MonoTime now)
{
    return now + Millis(std::clamp<std::int64_t>(millis, 0, MaxToldAvoidance.count()));
}

} // namespace

std::string loadTask(const std::string &endpointId)
{
    return partitionTask(hash64(endpointId, 0) % PartitionCount);
}

LoadMonitor::LoadMonitor(http::Loop &loop, const PlatformAdapter &adapter,
                         EndpointSelector &selector, EndpointReach &reach,
                         AssignmentCheck isAssigned, EngineBroadcast broadcast,
                         AliveHandler onAlive)
    : adapter(adapter)
    , selector(selector)
    , reach(reach)
    , isAssigned(std::move(isAssigned))
    , broadcast(std::move(broadcast))
    , onAlive(std::move(onAlive))
    , client(loop)
{ }

void LoadMonitor::onTick(const EndpointDirectory &directory, MonoTime now)
{
    std::array<bool, PartitionCount> isAssigned{};
    for (std::uint64_t partition = 0; partition < PartitionCount; ++partition)
        isAssigned.at(partition) = this->isAssigned(partitionTask(partition));
    for (const auto &[id, engine] : directory.entries()) {
        const bool mustRequest = isAssigned.at(hash64(id, 0) % PartitionCount)
            && this->selector.isEngineInOwnRegion(engine) && this->schedule.isDue(id, now)
            && !this->selector.isPaused(id, now);
        if (!mustRequest)
            continue;
        this->schedule.onRequested(id, now);
        this->requestLoad(engine);
    }
    this->announceUnreachable();
    this->schedule.forgetBefore(now - ForgetTimeout);
    this->flush(now);
}

void LoadMonitor::requestLoad(const RegisteredEndpoint &engine)
{
    const auto onAnswer = [this, alive = this->alive, engine](const auto &answer) {
        if (!*alive)
            return;
        if (const auto *reportFailure = std::get_if<ReportFailure>(&answer))
            return this->onFailure(engine, *reportFailure);
        this->onReport(engine, std::get<EngineReport>(answer));
    };
    requestReport(this->client, this->adapter, engine, CallTimeouts, onAnswer);
}

void LoadMonitor::onReport(const RegisteredEndpoint &engine, const EngineReport &report)
{
    const MonoTime now = monoNow();
    this->reach.onHeard(engine.service, engine.id, now);
    this->onAlive({engine.id, engine.startMillis});
    applyReportedWeights(this->selector, engine, report, this->broadcast);
    const bool isNews = this->schedule.onReport(engine.id, report, now);
    if (report.isLeaving)
        this->announceLeaving(engine);
    if (report.isBusy)
        return this->announceAvoidance(engine, LoadingAvoidance, "loading");
    auto load = engineMessage<proto::EngineLoad>(engine);
    load.set_running(report.running);
    load.set_waiting(report.waiting);
    this->applyLoad(load, now);
    if (isNews)
        *this->pendingNews.add_loads() = std::move(load);
}

void LoadMonitor::onFailure(const RegisteredEndpoint &engine, ReportFailure reportFailure)
{
    if (reportFailure == ReportFailure::Malformed)
        return;
    const MonoTime now = monoNow();
    this->schedule.onFailure(engine.id, reportFailure != ReportFailure::NotReached, now);
    if (reportFailure == ReportFailure::OtherEndpoint)
        return this->announceAvoidance(engine, ReplacedAvoidance, "replaced");
    this->reach.onUnreachable(engine.service, engine.id, now);
    this->announceUnreachable();
}

// Only engines that are known have a service of which something can have been heard.
void LoadMonitor::announceUnreachable()
{
    const auto lastHeard = [this](const std::string &id) {
        const RegisteredEndpoint *engine = this->selector.findEntry(id);
        return engine ? this->reach.lastHeard(engine->service) : MonoTime();
    };
    for (const std::string &id : this->schedule.takeUnreachable(lastHeard))
        this->announceAvoidance(*this->selector.findEntry(id), UnreachableAvoidance, "unreachable");
}

void LoadMonitor::onEndpointReplaced(const std::string &endpointId)
{
    if (const RegisteredEndpoint *engine = this->selector.findEntry(endpointId))
        this->announceAvoidance(*engine, ReplacedAvoidance, "replaced");
}

void LoadMonitor::onEndpointLeaving(const std::string &endpointId)
{
    if (const RegisteredEndpoint *endpoint = this->selector.findEntry(endpointId))
        this->announceLeaving(*endpoint);
}

void LoadMonitor::announceLeaving(const RegisteredEndpoint &endpoint)
{
    if (!this->selector.onLeaving(endpoint.id, endpoint.startMillis, monoNow()))
        return;
    logEvent(LogLevel::Info, "endpoint_leaving",
             {{"endpoint", endpoint.id}, {"service", endpoint.service}});
    auto load = engineMessage<proto::EngineLoad>(endpoint);
    load.set_leaving(true);
    *this->pendingNews.add_loads() = std::move(load);
}

void LoadMonitor::announceAvoidance(const RegisteredEndpoint &engine, Millis duration,
                                    const char *reason)
{
    logEvent(LogLevel::Info, "endpoint_avoided",
             {{"endpoint", engine.id}, {"reason", reason}, {"for_ms", duration.count()}});
    auto load = engineMessage<proto::EngineLoad>(engine);
    load.set_avoid_ms(duration.count());
    this->applyLoad(load, monoNow());
    *this->pendingNews.add_loads() = std::move(load);
}

void LoadMonitor::applyLoad(const proto::EngineLoad &load, MonoTime now)
{
    if (load.leaving()) {
        this->selector.onLeaving(load.endpoint(), load.born_ms(), now);
        return;
    }
    if (!this->selector.hasIncarnation(load.endpoint(), load.born_ms()))
        return;
    if (load.avoid_ms() > 0)
        return this->selector.avoid(load.endpoint(), toldEnd(load.avoid_ms(), now));
    this->selector.onLoadReport(load.endpoint(), {load.running(), load.waiting()}, now);
}

void LoadMonitor::onWeightsNotice(const proto::WeightsNotice &notice, MonoTime now)
{
    if (!this->selector.hasIncarnation(notice.endpoint(), notice.born_ms()))
        return;
    if (notice.version() > 0)
        return this->selector.onWeightsLoaded(notice.endpoint(), notice.model(), notice.version());
    this->selector.onWeightsChange(notice.endpoint(), toldEnd(notice.avoid_ms(), now));
}

void LoadMonitor::onLoadNews(const proto::LoadNews &news, MonoTime now)
{
    for (const proto::EngineLoad &load : news.loads())
        this->applyLoad(load, now);
}

void LoadMonitor::flush(MonoTime now)
{
    if (now - this->flushedAt < BroadcastInterval)
        return;
    if (this->newsSource)
        this->newsSource(this->pendingNews, now);
    if (this->pendingNews.loads().empty() && this->pendingNews.backlogs().empty())
        return;
    this->flushedAt = now;
    this->broadcast.load(this->pendingNews);
    this->pendingNews.Clear();
}

} // namespace lavenderhall
