#include "routing/crashattribution.h"

#include <algorithm>
#include <limits>

namespace lavenderhall {

namespace {

// Sound parts that few requests have may by chance be at one or two engines that crash.
constexpr std::size_t CrashesToBlock = 3;
// Engines that crash together, as a rack does, have a common cause that is no request.
constexpr Millis MinTimeBetweenCrashes{250};
constexpr Millis BlockLifetime = std::chrono::minutes(30);
// A block is tried for as long as it lasts: sound requests may share the part.
constexpr int MaxTrials = std::numeric_limits<int>::max();
// Of a part that answers keep beginning under, the others are told no more often.
constexpr Millis BegunNewsInterval = std::chrono::seconds(1);
constexpr Millis BegunLifetime = std::chrono::minutes(2);
constexpr Millis ForgetInterval = std::chrono::seconds(1);

/// Returns how many confirmed \a crashes were not together with an earlier one.
std::size_t distinctCrashes(const std::map<Incarnation, MonoTime> &crashes, MonoTime now)
{
    std::vector<MonoTime> times;
    for (const auto &[engine, at] : crashes) {
        if (now - at >= CrashedEndpoints::ConfirmationTime)
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

std::set<Incarnation> enginesOf(const std::map<Incarnation, MonoTime> &crashes)
{
    std::set<Incarnation> engines;
    for (const auto &[engine, at] : crashes)
        engines.insert(engine);
    return engines;
}

} // namespace

CrashAttribution::CrashAttribution()
    : blocks(BlockLifetime, MaxTrials)
{ }

// News of a crash may arrive after an answer has begun that followed the crash.
std::vector<BegunPart> CrashAttribution::onCrash(const EngineCrash &crash)
{
    std::vector<BegunPart> begunBefore;
    const MonoTime crashedAt = this->crashedEngines.onCrash(crash.engine, crash.at);
    if (crash.at - crashedAt > CrashedEndpoints::MaxTimeToSeeCrash)
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
            if (begunAt >= crashedAt)
                continue;
        }
        if (!this->blocks.onCrash(part, crashedAt))
            this->suspects[part].emplace(crash.engine, crashedAt);
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
    const bool wasBlocked = this->blocks.clear(part, begunAt);
    return isCleared || wasBlocked;
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
    if (!this->crashedEngines.onAlive(engine, at))
        return false;
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
bool CrashAttribution::onBlocked(const CrashBlock &news)
{
    const auto begun = this->begunParts.find(news.subject);
    if (begun != this->begunParts.end() && begun->second.at >= news.crashedAt)
        return false;
    const bool isNew = this->blocks.merge(news);
    if (isNew)
        this->suspects.clear();
    return isNew;
}

// Whichever instance sends them, most parts have been sent before: one under which no answer has
// ever begun is the likelier cause.
std::vector<PartId> CrashAttribution::mostSuspected(MonoTime now,
                                                    const CrashingRequests &requests) const
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
        if (requests.isOneRequestLostAtAll(enginesOf(crashes)))
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
std::vector<CrashBlock> CrashAttribution::blockNewParts(MonoTime now,
                                                        const CrashingRequests &requests)
{
    this->forgetOld(now);
    std::vector<CrashBlock> newlyBlocked;
    for (const PartId &part : this->mostSuspected(now, requests)) {
        MonoTime crashedAt{};
        for (const auto &[engine, at] : this->suspects[part])
            crashedAt = std::max(crashedAt, at);
        newlyBlocked.push_back(this->blocks.add(part, crashedAt, now));
    }
    if (!newlyBlocked.empty())
        this->suspects.clear();
    return newlyBlocked;
}

std::vector<CrashBlock> CrashAttribution::findBlocked(const std::vector<PartId> &parts) const
{
    std::vector<CrashBlock> found;
    for (const PartId &part : parts) {
        if (const CrashBlock *block = this->blocks.find(part))
            found.push_back(*block);
    }
    return found;
}

std::optional<CrashBlock> CrashAttribution::onTrial(const PartId &part, MonoTime now)
{
    return this->blocks.onTrial(part, now);
}

void CrashAttribution::forgetOld(MonoTime now)
{
    if (now - this->forgottenAt < ForgetInterval)
        return;
    this->forgottenAt = now;
    const auto isOld = [now](const auto &crash) {
        return now - crash.second > CrashedEndpoints::SuspicionLifetime;
    };
    this->crashedEngines.forgetOld(now);
    for (auto &[part, crashes] : this->suspects)
        std::erase_if(crashes, isOld);
    std::erase_if(this->suspects, [](const auto &suspect) { return suspect.second.empty(); });
    std::erase_if(this->begunParts,
                  [now](const auto &begun) { return now - begun.second.at > BegunLifetime; });
    this->blocks.forgetOld(now);
}

} // namespace lavenderhall
