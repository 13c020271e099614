#include "routing/crashattribution.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Sound parts that few requests have may by chance be at one or two engines that crash.
constexpr std::size_t CrashesToBlock = 3;
// Engines that crash together, as a rack does, have a common cause that is no request.
constexpr Millis MinTimeBetweenCrashes{250};
// All instances see the crash of an engine within this time. What is sent to it later, as behind a
// proxy that still accepts connections, is lost too, but was not there when it crashed.
constexpr Millis MaxTimeToSeeCrash{100};
// A connection that ended is a crash only if the engine then shows no sign of life. Reports of
// engines reach all instances within this time.
constexpr Millis ConfirmationTime{1000};
// A sign of life that another instance tells of may be this old.
constexpr Millis MaxNewsDelay{500};
// The first request that finds out whether a blocked part still crashes engines is sent after this
// time. Each further one follows after twice the time.
constexpr Millis FirstTrialInterval = std::chrono::minutes(1);
constexpr int MaxTrialDoublings = 4;
// What is told again of a part must be newer by this much to count, as each message takes time.
constexpr Millis MinNewsProgress = MaxNewsDelay;
constexpr Millis SuspicionLifetime = std::chrono::minutes(10);
constexpr Millis BlockLifetime = std::chrono::minutes(30);
// Of a part that answers keep beginning under, the others are told no more often.
constexpr Millis BegunNewsInterval = std::chrono::seconds(1);
constexpr Millis BegunLifetime = std::chrono::minutes(2);
constexpr Millis ForgetInterval = std::chrono::seconds(1);

/// Returns how many confirmed \a crashes were not together with an earlier one.
std::size_t distinctCrashes(const std::map<Incarnation, MonoTime> &crashes, MonoTime now)
{
    std::vector<MonoTime> times;
    for (const auto &[engine, at] : crashes) {
        if (now - at >= ConfirmationTime)
            times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<MonoTime> last;
    for (const MonoTime at : times) {
        if (last && at - *last < MinTimeBetweenCrashes)
            continue;
        last = at;
        ++count;
    }
    return count;
}

} // namespace

std::optional<MonoTime> CrashAttribution::firstSeen(const EngineCrash &crash)
{
    const MonoTime first = this->crashedEngines.emplace(crash.engine, crash.at).first->second;
    if (crash.at - first > MaxTimeToSeeCrash)
        return std::nullopt;
    return first;
}

// News of a crash may arrive after an answer has begun that followed the crash.
std::vector<BegunPart> CrashAttribution::onCrash(const EngineCrash &crash)
{
    std::vector<BegunPart> begunBefore;
    const std::optional<MonoTime> crashedAt = this->firstSeen(crash);
    if (!crashedAt)
        return begunBefore;
    for (const PartId &part : crash.parts) {
        const auto begun = this->begunParts.find(part);
        if (begun != this->begunParts.end()) {
            const MonoTime begunAt = begun->second.at;
            std::optional<MonoTime> &toldAt = begun->second.toldAt;
            if (!toldAt || begunAt - *toldAt > BegunNewsInterval) {
                toldAt = begunAt;
                begunBefore.push_back({part, begunAt});
            }
            if (begunAt >= *crashedAt)
                continue;
        }
        const auto blockedPart = this->blocked.find(part);
        if (blockedPart != this->blocked.end()) {
            MonoTime &lastCrash = blockedPart->second.crashedAt;
            lastCrash = std::max(lastCrash, *crashedAt);
            continue;
        }
        this->suspects[part].emplace(crash.engine, *crashedAt);
    }
    return begunBefore;
}

bool CrashAttribution::clear(const PartId &part, MonoTime begunAt)
{
    bool isCleared = false;
    const auto suspect = this->suspects.find(part);
    if (suspect != this->suspects.end()) {
        isCleared = std::erase_if(suspect->second,
                                  [begunAt](const auto &crash) { return crash.second <= begunAt; })
            > 0;
        if (suspect->second.empty())
            this->suspects.erase(suspect);
    }
    const auto blockedPart = this->blocked.find(part);
    if (blockedPart != this->blocked.end() && blockedPart->second.crashedAt <= begunAt) {
        this->blocked.erase(blockedPart);
        isCleared = true;
    }
    return isCleared;
}

std::vector<PartId> CrashAttribution::onAnswerBegun(const std::vector<PartId> &parts, MonoTime now)
{
    std::vector<PartId> cleared;
    for (const PartId &part : parts) {
        Begun &begun = this->begunParts[part];
        begun.at = std::max(begun.at, now);
        if (this->clear(part, now))
            cleared.push_back(part);
    }
    return cleared;
}

void CrashAttribution::onBegunElsewhere(const BegunPart &news)
{
    Begun &begun = this->begunParts[news.part];
    begun.at = std::max(begun.at, news.begunAt);
    begun.toldAt = std::max(begun.toldAt.value_or(news.begunAt), news.begunAt);
    this->clear(news.part, news.begunAt);
}

bool CrashAttribution::onEngineAlive(const Incarnation &engine, MonoTime at)
{
    const auto crashed = this->crashedEngines.find(engine);
    if (crashed == this->crashedEngines.end() || crashed->second + MaxNewsDelay >= at)
        return false;
    this->crashedEngines.erase(crashed);
    bool wasSuspected = false;
    for (auto &[part, crashes] : this->suspects) {
        const auto found = crashes.find(engine);
        if (found == crashes.end())
            continue;
        crashes.erase(found);
        wasSuspected = true;
    }
    std::erase_if(this->suspects, [](const auto &suspect) { return suspect.second.empty(); });
    return wasSuspected;
}

// An instance that has seen an answer begin since knows better.
bool CrashAttribution::onBlocked(const BlockedPart &news)
{
    const auto begun = this->begunParts.find(news.part);
    if (begun != this->begunParts.end() && begun->second.at >= news.crashedAt)
        return false;
    const auto [found, isNew] = this->blocked.emplace(news.part, news);
    if (isNew)
        this->suspects.clear();
    BlockedPart &known = found->second;
    if (news.crashedAt - known.crashedAt > MinNewsProgress)
        known.crashedAt = news.crashedAt;
    if (news.trialAt - known.trialAt > MinNewsProgress) {
        known.trialAt = news.trialAt;
        known.trials = std::max(known.trials, news.trials);
    }
    return isNew;
}

// Whichever instance sends them, most parts have been sent before: one under which no answer has
// ever begun is the likelier cause.
std::vector<PartId> CrashAttribution::mostSuspected(MonoTime now) const
{
    struct Rank
    {
        bool hasNeverBegun = false;
        std::size_t crashes = 0;

        auto operator<=>(const Rank &) const = default;
    };
    Rank highest;
    std::vector<PartId> found;
    for (const auto &[part, crashes] : this->suspects) {
        const Rank rank{!this->begunParts.contains(part), distinctCrashes(crashes, now)};
        if (rank.crashes < CrashesToBlock || rank < highest)
            continue;
        if (rank > highest)
            found.clear();
        highest = rank;
        found.push_back(part);
    }
    return found;
}

// A part that is blocked explains all crashes so far: other parts were at the same engines by
// chance. Not every crash is known to have been under it, as the instance that sent the request may
// be frozen or gone.
std::vector<BlockedPart> CrashAttribution::blockNewParts(MonoTime now)
{
    this->forgetOld(now);
    std::vector<BlockedPart> newlyBlocked;
    for (const PartId &part : this->mostSuspected(now)) {
        BlockedPart block{part, {}, now + FirstTrialInterval, 0};
        for (const auto &[engine, at] : this->suspects[part])
            block.crashedAt = std::max(block.crashedAt, at);
        this->blocked.emplace(part, block);
        newlyBlocked.push_back(std::move(block));
    }
    if (!newlyBlocked.empty())
        this->suspects.clear();
    return newlyBlocked;
}

std::vector<BlockedPart> CrashAttribution::findBlocked(const std::vector<PartId> &parts) const
{
    std::vector<BlockedPart> found;
    for (const PartId &part : parts) {
        const auto blockedPart = this->blocked.find(part);
        if (blockedPart != this->blocked.end())
            found.push_back(blockedPart->second);
    }
    return found;
}

std::optional<BlockedPart> CrashAttribution::onTrial(const PartId &part, MonoTime now)
{
    const auto found = this->blocked.find(part);
    if (found == this->blocked.end())
        return std::nullopt;
    BlockedPart &tried = found->second;
    tried.trials = std::min(tried.trials + 1, MaxTrialDoublings);
    tried.trialAt = now + FirstTrialInterval * (1 << tried.trials);
    return tried;
}

std::vector<BlockedPart> CrashAttribution::blockedParts() const
{
    std::vector<BlockedPart> found;
    for (const auto &[part, blockedPart] : this->blocked)
        found.push_back(blockedPart);
    return found;
}

void CrashAttribution::forgetOld(MonoTime now)
{
    if (now - this->forgottenAt < ForgetInterval)
        return;
    this->forgottenAt = now;
    const auto isOld = [now](const auto &crash) { return now - crash.second > SuspicionLifetime; };
    std::erase_if(this->crashedEngines, isOld);
    for (auto &[part, crashes] : this->suspects)
        std::erase_if(crashes, isOld);
    std::erase_if(this->suspects, [](const auto &suspect) { return suspect.second.empty(); });
    std::erase_if(this->begunParts,
                  [now](const auto &begun) { return now - begun.second.at > BegunLifetime; });
    std::erase_if(this->blocked,
                  [now](const auto &part) { return now - part.second.crashedAt > BlockLifetime; });
}

} // namespace lavenderhall
