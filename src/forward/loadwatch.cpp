#include "forward/loadwatch.h"

#include "base/digest.h"
#include "base/log.h"

namespace lavenderhall {

namespace {

constexpr Millis CallTimeout{500};
constexpr Millis ConnectTimeout{300};
constexpr Millis TellInterval{200};
constexpr Millis UnreachableTime{1000}; ///< that an engine is avoided, unless told again
constexpr Millis ForgetTime{10'000};
// The engines of a region are shared out in so many parts, to bound who tells whom.
constexpr std::uint64_t Parts = 4;

std::string taskFor(const RosterEntry &engine)
{
    return "ask for loads " + std::to_string(hash64(engine.id, 0) % Parts);
}

proto::EngineLoad loadOf(const RosterEntry &engine)
{
    proto::EngineLoad load;
    load.set_endpoint(engine.id);
    load.set_born_ms(engine.bornMillis);
    return load;
}

} // namespace

void learnWeights(LoadBook &loads, const RosterEntry &engine, const EngineReport &report,
                  const EngineTelling &telling)
{
    const RosterEntry *known = loads.entryOf(engine.id);
    if (!known || report.isBusy)
        return;
    const auto before = known->weights;
    for (const auto &[model, version] : report.weights) {
        const auto listed = before.find(model);
        if (listed != before.end() && listed->second >= version)
            continue;
        loads.onWeightsLoaded(engine.id, model, version);
        if (!telling.weights)
            continue;
        proto::WeightsNotice notice;
        notice.set_endpoint(engine.id);
        notice.set_born_ms(engine.bornMillis);
        notice.set_model(model);
        notice.set_version(version);
        telling.weights(notice);
    }
}

ReportFailure logReportFailure(const RosterEntry &engine, const Error &error)
{
    logEvent(LogLevel::Warning, "report_failed",
             {{"endpoint", engine.id}, {"detail", error.detail}});
    return error.code == ErrorCode::NotFound ? ReportFailure::OtherEndpoint
                                             : ReportFailure::Malformed;
}

LoadWatch::LoadWatch(http::Loop &loop, const PlatformAdapter &adapter, LoadBook &loads,
                     DutyCheck isMine, EngineTelling telling)
    : adapter(adapter)
    , loads(loads)
    , isMine(std::move(isMine))
    , telling(std::move(telling))
    , client(loop)
{ }

void LoadWatch::onTick(const Roster &roster, MonoTime now)
{
    for (const auto &[id, engine] : roster.entries()) {
        const bool isAsked = this->loads.isEngineHere(engine) && this->schedule.isDue(id, now)
            && this->isMine(taskFor(engine));
        if (!isAsked)
            continue;
        this->schedule.onAsked(id, now);
        this->ask(engine);
    }
    this->schedule.forgetBefore(now - ForgetTime);
    this->flush(now);
}

void LoadWatch::ask(const RosterEntry &engine)
{
    http::CallRequest request = this->adapter.writeReportCall(engine);
    request.to = engine.address;
    request.headTimeout = CallTimeout;
    request.connectTimeout = ConnectTimeout;
    const auto onAnswer = [this, held = this->alive, engine](const http::Response *response,
                                                             const http::CallFailure &failure) {
        if (!*held)
            return;
        if (!response)
            return this->onFailure(engine, failure.maybeSent);
        const auto report = attempt([&] { return this->adapter.readReport(*response); });
        if (const auto *good = std::get_if<EngineReport>(&report))
            return this->onReport(engine, *good);
        const ReportFailure why = logReportFailure(engine, std::get<Error>(report));
        this->onFailure(engine, why != ReportFailure::OtherEndpoint);
    };
    http::startWhole(this->client, std::move(request), onAnswer);
}

void LoadWatch::onReport(const RosterEntry &engine, const EngineReport &report)
{
    const MonoTime now = monoNow();
    learnWeights(this->loads, engine, report, this->telling);
    proto::EngineLoad load = loadOf(engine);
    load.set_running(report.running);
    load.set_waiting(report.waiting);
    this->take(load, now);
    if (this->schedule.onReport(engine.id, report, now))
        *this->pending.add_loads() = std::move(load);
}

void LoadWatch::onFailure(const RosterEntry &engine, bool wasSent)
{
    const MonoTime now = monoNow();
    if (!this->schedule.onFailure(engine.id, wasSent, now))
        return;
    logEvent(LogLevel::Info, "engine_unreachable",
             {{"endpoint", engine.id}, {"was_sent", wasSent ? 1 : 0}});
    proto::EngineLoad load = loadOf(engine);
    load.set_is_unreachable(true);
    this->take(load, now);
    *this->pending.add_loads() = std::move(load);
}

void LoadWatch::take(const proto::EngineLoad &load, MonoTime now)
{
    const RosterEntry *entry = this->loads.entryOf(load.endpoint());
    if (!entry || entry->bornMillis != load.born_ms())
        return;
    if (load.is_unreachable())
        return this->loads.avoid(load.endpoint(), now + UnreachableTime);
    this->loads.onLoad(load.endpoint(), {load.running(), load.waiting()}, now);
}

void LoadWatch::onNews(const proto::LoadNews &news, MonoTime now)
{
    for (const proto::EngineLoad &load : news.loads())
        this->take(load, now);
}

void LoadWatch::flush(MonoTime now)
{
    if (this->pending.loads().empty() || now - this->flushedAt < TellInterval)
        return;
    this->flushedAt = now;
    this->telling.load(this->pending);
    this->pending.Clear();
}

} // namespace lavenderhall
