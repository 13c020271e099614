#include "forward/loadwatch.h"

#include "base/digest.h"
#include "base/log.h"

namespace lavenderhall {

namespace {

constexpr Millis CallTimeout{500};
constexpr Millis ConnectTimeout{300};
constexpr Millis TellInterval{200};
// An engine is avoided for so long, unless told again.
constexpr Millis UnreachableTime{1000};
constexpr Millis LoadingTime{900};
constexpr Millis ReplacedTime{10'000};
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

std::variant<EngineReport, ReportFailure> readEngineReport(const PlatformAdapter &adapter,
                                                           const RosterEntry &engine,
                                                           const http::Response &response)
{
    const auto read = attempt([&] { return adapter.readReport(response); });
    if (const auto *report = std::get_if<EngineReport>(&read)) {
        if (report->bornMillis.value_or(engine.bornMillis) == engine.bornMillis)
            return *report;
        return ReportFailure::OtherEndpoint;
    }
    const Error &error = std::get<Error>(read);
    if (error.code == ErrorCode::NotFound)
        return ReportFailure::OtherEndpoint;
    logEvent(LogLevel::Warning, "report_malformed",
             {{"endpoint", engine.id}, {"detail", error.detail}});
    return ReportFailure::Malformed;
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
            return this->onFailure(engine, ReportFailure::NoAnswer, failure.maybeSent);
        const auto report = readEngineReport(this->adapter, engine, *response);
        if (const auto *why = std::get_if<ReportFailure>(&report))
            return this->onFailure(engine, *why, true);
        this->onReport(engine, std::get<EngineReport>(report));
    };
    http::startWhole(this->client, std::move(request), onAnswer);
}

void LoadWatch::onReport(const RosterEntry &engine, const EngineReport &report)
{
    const MonoTime now = monoNow();
    learnWeights(this->loads, engine, report, this->telling);
    const bool isNews = this->schedule.onReport(engine.id, report, now);
    if (report.isBusy)
        return this->tellToAvoid(engine, LoadingTime, "loading");
    proto::EngineLoad load = loadOf(engine);
    load.set_running(report.running);
    load.set_waiting(report.waiting);
    this->take(load, now);
    if (isNews)
        *this->pending.add_loads() = std::move(load);
}

void LoadWatch::onFailure(const RosterEntry &engine, ReportFailure why, bool wasSent)
{
    if (why == ReportFailure::Malformed)
        return;
    const bool isReplaced = why == ReportFailure::OtherEndpoint;
    if (this->schedule.onFailure(engine.id, wasSent, monoNow()) || isReplaced)
        this->tellToAvoid(engine, isReplaced ? ReplacedTime : UnreachableTime,
                          isReplaced ? "replaced" : "unreachable");
}

void LoadWatch::onReplaced(const std::string &endpointId)
{
    if (const RosterEntry *engine = this->loads.entryOf(endpointId))
        this->tellToAvoid(*engine, ReplacedTime, "replaced");
}

void LoadWatch::tellToAvoid(const RosterEntry &engine, Millis pause, const char *reason)
{
    logEvent(LogLevel::Info, "endpoint_avoided",
             {{"endpoint", engine.id}, {"reason", reason}, {"for_ms", pause.count()}});
    proto::EngineLoad load = loadOf(engine);
    load.set_avoid_ms(pause.count());
    this->take(load, monoNow());
    *this->pending.add_loads() = std::move(load);
}

void LoadWatch::take(const proto::EngineLoad &load, MonoTime now)
{
    const RosterEntry *entry = this->loads.entryOf(load.endpoint());
    if (!entry || entry->bornMillis != load.born_ms())
        return;
    if (load.avoid_ms() > 0)
        return this->loads.avoid(load.endpoint(), now + Millis(load.avoid_ms()));
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
