#include "forward/crashmonitor.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

// Blocked parts are told again this often, for instances that have just started.
constexpr Millis RepeatInterval{1000};
// A request that comes to an instance other than the one that sends trials is told to wait at
// least this long.
constexpr Millis MinRefusal{1000};
constexpr Millis MaxAge = std::chrono::minutes(30);
// After a longer pause between two ticks the process may have been frozen, and news that speak
// against a crash wait to be read.
constexpr Millis MaxTickGap{500};
constexpr Millis CatchUpTime{1000};

Millis ageOf(MonoTime time, MonoTime now)
{
    return std::chrono::duration_cast<Millis>(now - time);
}

proto::PartNews partNews(const PartId &part, Millis age)
{
    proto::PartNews news;
    news.set_part(part);
    news.set_age_ms(age.count());
    return news;
}

/// Returns the time of \a ageMillis before \a now; ages that cannot be are limited.
MonoTime timeOf(std::int64_t ageMillis, MonoTime now)
{
    return now - Millis(std::clamp<std::int64_t>(ageMillis, 0, MaxAge.count()));
}

CrashBlock blockedPart(const proto::BlockedPart &told, MonoTime now)
{
    const std::int64_t trialInMillis
        = std::clamp<std::int64_t>(told.trial_in_ms(), 0, MaxAge.count());
    return {told.part(), timeOf(told.age_ms(), now), now + Millis(trialInMillis),
            std::max(0, told.trials())};
}

void logBlocked(const CrashBlock &blocked, MonoTime now)
{
    logEvent(LogLevel::Warning, "part_blocked",
             {{"part", blocked.subject},
              {"crash_age_ms", ageOf(blocked.crashedAt, now).count()},
              {"trial_in_ms", ageOf(now, blocked.trialAt).count()}});
}

} // namespace

void CrashMonitor::recordCrash(const EngineCrash &crash, MonoTime now)
{
    for (const BegunPart &begun : this->attribution.onCrash(crash))
        *this->pendingNews.add_begun() = partNews(begun.part, ageOf(begun.begunAt, now));
}

void CrashMonitor::onAttemptLost(const Incarnation &engine, const std::vector<PartId> &parts,
                                 MonoTime now)
{
    if (parts.empty())
        return;
    this->recordCrash({engine, parts, now}, now);
    EngineCrash &crash
        = this->pendingCrashes.try_emplace(engine, EngineCrash{engine, {}, now}).first->second;
    for (const PartId &part : parts) {
        if (std::find(crash.parts.begin(), crash.parts.end(), part) == crash.parts.end())
            crash.parts.push_back(part);
    }
}

void CrashMonitor::onAnswerBegun(const Incarnation &engine, const std::vector<PartId> &parts,
                                 MonoTime now)
{
    this->onEngineAlive(engine, now);
    for (const PartId &part : this->attribution.onAnswerBegun(parts, now)) {
        *this->pendingNews.add_begun() = partNews(part, Millis(0));
        logEvent(LogLevel::Info, "part_cleared", {{"part", part}, {"endpoint", engine.endpointId}});
    }
}

void CrashMonitor::onEngineAlive(const Incarnation &engine, MonoTime now)
{
    if (!this->attribution.onEngineAlive(engine, now))
        return;
    proto::EngineIncarnation &alive = *this->pendingNews.add_alive();
    alive.set_endpoint(engine.endpointId);
    alive.set_born_ms(engine.startMillis);
}

void CrashMonitor::onNews(const proto::CrashNews &news, MonoTime now)
{
    for (const proto::EngineCrash &crash : news.crashes())
        this->recordCrash({{crash.endpoint(), crash.born_ms()},
                           {crash.parts().begin(), crash.parts().end()},
                           timeOf(crash.age_ms(), now)},
                          now);
    for (const proto::PartNews &begun : news.begun())
        this->attribution.onBegunElsewhere({begun.part(), timeOf(begun.age_ms(), now)});
    for (const proto::EngineIncarnation &alive : news.alive())
        this->attribution.onEngineAlive({alive.endpoint(), alive.born_ms()}, now);
    bool isAnyNew = false;
    for (const proto::BlockedPart &told : news.blocked()) {
        const CrashBlock blocked = blockedPart(told, now);
        if (!this->attribution.onBlocked(blocked))
            continue;
        isAnyNew = true;
        logBlocked(blocked, now);
    }
    if (isAnyNew)
        this->hooks.onPartsBlocked();
}

std::optional<MonoTime> CrashMonitor::refusedUntil(const std::vector<PartId> &parts,
                                                   MonoTime now) const
{
    std::optional<MonoTime> until;
    for (const CrashBlock &blocked : this->attribution.findBlocked(parts)) {
        if (now >= blocked.trialAt && this->hooks.isTrialInstance(blocked.subject))
            continue;
        until = std::max({until.value_or(now), blocked.trialAt, now + MinRefusal});
    }
    return until;
}

void CrashMonitor::onSent(const std::vector<PartId> &parts, MonoTime now)
{
    for (const CrashBlock &blocked : this->attribution.findBlocked(parts)) {
        if (const auto tried = this->attribution.onTrial(blocked.subject, now))
            this->collectBlocked(*tried, now);
        logEvent(LogLevel::Info, "part_trial", {{"part", blocked.subject}});
    }
}

void CrashMonitor::onTick(MonoTime now)
{
    if (now - this->tickedAt > MaxTickGap)
        this->blockAfter = now + CatchUpTime;
    this->tickedAt = now;
    if (now >= this->blockAfter)
        this->block(now);
    if (now - this->repeatedAt >= RepeatInterval) {
        this->repeatedAt = now;
        const auto blockedParts = this->attribution.blockedParts();
        if (!blockedParts.empty() && this->hooks.isTeller()) {
            for (const CrashBlock &blocked : blockedParts)
                this->collectBlocked(blocked, now);
        }
    }
    this->flush(now);
}

void CrashMonitor::block(MonoTime now)
{
    const auto newlyBlocked = this->attribution.blockNewParts(now);
    for (const CrashBlock &blocked : newlyBlocked) {
        logBlocked(blocked, now);
        this->collectBlocked(blocked, now);
    }
    if (!newlyBlocked.empty())
        this->hooks.onPartsBlocked();
}

void CrashMonitor::collectBlocked(const CrashBlock &blocked, MonoTime now)
{
    proto::BlockedPart &told = *this->pendingNews.add_blocked();
    told.set_part(blocked.subject);
    told.set_age_ms(ageOf(blocked.crashedAt, now).count());
    told.set_trial_in_ms(ageOf(now, blocked.trialAt).count());
    told.set_trials(blocked.trials);
}

void CrashMonitor::flush(MonoTime now)
{
    for (const auto &[engine, crash] : std::exchange(this->pendingCrashes, {})) {
        proto::EngineCrash &told = *this->pendingNews.add_crashes();
        told.set_endpoint(engine.endpointId);
        told.set_born_ms(engine.startMillis);
        told.set_age_ms(ageOf(crash.at, now).count());
        for (const PartId &part : crash.parts)
            told.add_parts(part);
    }
    const proto::CrashNews news = std::exchange(this->pendingNews, {});
    const bool isEmpty = news.crashes().empty() && news.blocked().empty() && news.begun().empty()
        && news.alive().empty();
    if (isEmpty)
        return;
    this->hooks.broadcast(news);
}

} // namespace lavenderhall
