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

MonoTime timeOf(const proto::PartNews &news, MonoTime now)
{
    return now - Millis(news.age_ms());
}

void logBlocked(const PartId &part, MonoTime retryAt, MonoTime now)
{
    logEvent(LogLevel::Warning, "part_blocked",
             {{"part", part}, {"trial_in_ms", ageOf(now, retryAt).count()}});
}

} // namespace

std::vector<PartId> sharedPartIds(const std::vector<PromptPart> &parts)
{
    std::vector<PartId> ids;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        if (std::find(ids.begin(), ids.end(), parts[index].id) == ids.end())
            ids.push_back(parts[index].id);
    }
    return ids;
}

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
    this->attribution.onEngineAlive(engine, now);
    for (const PartId &part : this->attribution.onAnswerBegun(parts, now)) {
        *this->pendingNews.add_begun() = partNews(part, Millis(0));
        logEvent(LogLevel::Info, "part_cleared", {{"part", part}, {"endpoint", engine.endpointId}});
    }
}

void CrashMonitor::onEngineAlive(const Incarnation &engine, MonoTime now)
{
    this->attribution.onEngineAlive(engine, now);
}

void CrashMonitor::onNews(const proto::CrashNews &news, MonoTime now)
{
    for (const proto::EngineCrash &crash : news.crashes())
        this->recordCrash({{crash.endpoint(), crash.born_ms()},
                           {crash.parts().begin(), crash.parts().end()},
                           now - Millis(crash.age_ms())},
                          now);
    for (const proto::PartNews &begun : news.begun())
        this->attribution.onBegunElsewhere({begun.part(), timeOf(begun, now)});
    bool isAnyNew = false;
    for (const proto::PartNews &told : news.blocked()) {
        const BlockedPart blocked{told.part(), timeOf(told, now)};
        if (!this->attribution.onBlocked(blocked))
            continue;
        isAnyNew = true;
        logBlocked(blocked.part, CrashAttribution::nextTrial(blocked), now);
    }
    if (isAnyNew)
        this->hooks.onPartsBlocked();
}

std::optional<MonoTime> CrashMonitor::refusedUntil(const std::vector<PartId> &parts, MonoTime now)
{
    const auto blocked = this->attribution.findBlocked(parts);
    if (!blocked)
        return std::nullopt;
    const MonoTime trialAt = CrashAttribution::nextTrial(*blocked);
    if (now < trialAt)
        return trialAt;
    if (!this->hooks.isTrialInstance(blocked->part))
        return now + MinRefusal;
    this->attribution.onTrial(blocked->part, now);
    this->collectBlocked({blocked->part, now}, now);
    logEvent(LogLevel::Info, "part_trial", {{"part", blocked->part}});
    return std::nullopt;
}

void CrashMonitor::onTick(MonoTime now)
{
    this->block(now);
    if (now - this->repeatedAt >= RepeatInterval) {
        this->repeatedAt = now;
        const auto blockedParts = this->attribution.blockedParts();
        if (!blockedParts.empty() && this->hooks.isTeller()) {
            for (const BlockedPart &blocked : blockedParts)
                this->collectBlocked(blocked, now);
        }
    }
    this->flush(now);
}

void CrashMonitor::block(MonoTime now)
{
    const auto newlyBlocked = this->attribution.blockNewParts(now);
    for (const BlockedPart &blocked : newlyBlocked) {
        logBlocked(blocked.part, CrashAttribution::nextTrial(blocked), now);
        this->collectBlocked(blocked, now);
    }
    if (!newlyBlocked.empty())
        this->hooks.onPartsBlocked();
}

void CrashMonitor::collectBlocked(const BlockedPart &blocked, MonoTime now)
{
    *this->pendingNews.add_blocked() = partNews(blocked.part, ageOf(blocked.blockedAt, now));
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
    if (news.crashes().empty() && news.blocked().empty() && news.begun().empty())
        return;
    this->hooks.broadcast(news);
}

} // namespace lavenderhall
