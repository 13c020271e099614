#include "forward/loadwatch.h"

#include "base/digest.h"
#include "base/log.h"

#include <array>

namespace lavenderhall {

namespace {

constexpr EngineCallTimes CallTimes{Millis(300), Millis(500)};
constexpr Millis TellInterval{200};
// An engine is avoided for so long, unless told again.
constexpr Millis UnreachableTime{1000};
constexpr Millis LoadingTime{900};
constexpr Millis ReplacedTime{10'000};
constexpr Millis ForgetTime{10'000};
// The engines of a region are shared out in so many parts, to bound who tells whom.
constexpr std::uint64_t Parts = 4;

} // namespace

LoadWatch::LoadWatch(http::Loop &loop, const PlatformAdapter &adapter, LoadBook &loads,
                     DutyCheck isMine, EngineTelling telling)
    : adapter(adapter)
    , loads(loads)
    , isMine(std::move(isMine))
    , telling(std::move(telling))
    , client(loop)
{ }

void LoadWatch::onTick(const EndpointDirectory &directory, MonoTime now)
{
    std::array<bool, Parts> isMine{};
    for (std::uint64_t part = 0; part < Parts; ++part)
        isMine.at(part) = this->isMine("ask for loads " + std::to_string(part));
    for (const auto &[id, engine] : directory.entries()) {
        const bool isAsked = isMine.at(hash64(id, 0) % Parts) && this->loads.isEngineHere(engine)
            && this->schedule.isDue(id, now);
        if (!isAsked)
            continue;
        this->schedule.onAsked(id, now);
        this->ask(engine);
    }
    this->schedule.forgetBefore(now - ForgetTime);
    this->flush(now);
}

void LoadWatch::ask(const RegisteredEndpoint &engine)
{
    const auto onAnswer = [this, held = this->alive, engine](const auto &answer) {
        if (!*held)
            return;
        if (const auto *why = std::get_if<ReportFailure>(&answer))
            return this->onFailure(engine, *why);
        this->onReport(engine, std::get<EngineReport>(answer));
    };
    askReport(this->client, this->adapter, engine, CallTimes, onAnswer);
}

void LoadWatch::onReport(const RegisteredEndpoint &engine, const EngineReport &report)
{
    const MonoTime now = monoNow();
    learnWeights(this->loads, engine, report, this->telling);
    const bool isNews = this->schedule.onReport(engine.id, report, now);
    if (report.isBusy)
        return this->tellToAvoid(engine, LoadingTime, "loading");
    auto load = messageAbout<proto::EngineLoad>(engine);
    load.set_running(report.running);
    load.set_waiting(report.waiting);
    this->take(load, now);
    if (isNews)
        *this->pending.add_loads() = std::move(load);
}

void LoadWatch::onFailure(const RegisteredEndpoint &engine, ReportFailure why)
{
    if (why == ReportFailure::Malformed)
        return;
    const bool isReplaced = why == ReportFailure::OtherEndpoint;
    if (this->schedule.onFailure(engine.id, why != ReportFailure::NotReached, monoNow())
        || isReplaced)
        this->tellToAvoid(engine, isReplaced ? ReplacedTime : UnreachableTime,
                          isReplaced ? "replaced" : "unreachable");
}

void LoadWatch::onReplaced(const std::string &endpointId)
{
    if (const RegisteredEndpoint *engine = this->loads.entryOf(endpointId))
        this->tellToAvoid(*engine, ReplacedTime, "replaced");
}

void LoadWatch::tellToAvoid(const RegisteredEndpoint &engine, Millis pause, const char *reason)
{
    logEvent(LogLevel::Info, "endpoint_avoided",
             {{"endpoint", engine.id}, {"reason", reason}, {"for_ms", pause.count()}});
    auto load = messageAbout<proto::EngineLoad>(engine);
    load.set_avoid_ms(pause.count());
    this->take(load, monoNow());
    *this->pending.add_loads() = std::move(load);
}

void LoadWatch::take(const proto::EngineLoad &load, MonoTime now)
{
    if (!this->loads.knows(load.endpoint(), load.born_ms()))
        return;
    if (load.avoid_ms() > 0)
        return this->loads.avoid(load.endpoint(), now + Millis(load.avoid_ms()));
    this->loads.onLoad(load.endpoint(), {load.running(), load.waiting()}, now);
}

void LoadWatch::onNotice(const proto::WeightsNotice &notice, MonoTime now)
{
    if (!this->loads.knows(notice.endpoint(), notice.born_ms()))
        return;
    if (notice.version() > 0)
        return this->loads.onWeightsLoaded(notice.endpoint(), notice.model(), notice.version());
    this->loads.onWeightsChange(notice.endpoint(), now + Millis(notice.avoid_ms()));
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
