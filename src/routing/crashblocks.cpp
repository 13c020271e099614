#include "routing/crashblocks.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The first request that finds out whether a block is still needed is sent after this time. Each
// further one follows after twice the time.
constexpr Millis FirstTrialInterval = std::chrono::minutes(1);
constexpr int MaxTrialDoublings = 4;
// A sign of life that another instance tells of may be this old.
constexpr Millis MaxNewsDelay{500};
// What is told again of a block must be newer by this much to count, as each message takes time.
constexpr Millis MinNewsProgress = MaxNewsDelay;
// More than a deployment can have; the one that has crashed an endpoint least lately is dropped.
constexpr std::size_t MaxBlocks = 1000;

} // namespace

void CrashBlocks::makeRoom()
{
    if (this->blocks.size() < MaxBlocks)
        return;
    this->blocks.erase(std::min_element(this->blocks.begin(), this->blocks.end(),
                                        [](const auto &left, const auto &right) {
                                            return left.second.crashedAt < right.second.crashedAt;
                                        }));
}

CrashBlock CrashBlocks::add(const std::string &subject, MonoTime crashedAt, MonoTime now)
{
    CrashBlock block{subject, crashedAt, now + FirstTrialInterval, 0};
    this->makeRoom();
    this->blocks.insert_or_assign(subject, block);
    return block;
}

bool CrashBlocks::merge(const CrashBlock &told)
{
    if (!this->blocks.contains(told.subject))
        this->makeRoom();
    const auto [found, isNew] = this->blocks.emplace(told.subject, told);
    CrashBlock &known = found->second;
    if (told.crashedAt - known.crashedAt > MinNewsProgress)
        known.crashedAt = told.crashedAt;
    if (told.trialAt - known.trialAt > MinNewsProgress) {
        known.trialAt = told.trialAt;
        known.trials = std::max(known.trials, told.trials);
    }
    return isNew;
}

bool CrashBlocks::onCrash(const std::string &subject, MonoTime at)
{
    const auto found = this->blocks.find(subject);
    if (found == this->blocks.end())
        return false;
    found->second.crashedAt = std::max(found->second.crashedAt, at);
    return true;
}

bool CrashBlocks::clear(const std::string &subject, MonoTime begunAt)
{
    const auto found = this->blocks.find(subject);
    if (found == this->blocks.end() || found->second.crashedAt > begunAt)
        return false;
    this->blocks.erase(found);
    return true;
}

std::optional<CrashBlock> CrashBlocks::onTrial(const std::string &subject, MonoTime now)
{
    const auto found = this->blocks.find(subject);
    if (found == this->blocks.end())
        return std::nullopt;
    CrashBlock &tried = found->second;
    tried.trials = std::min(tried.trials + 1, this->maxTrials);
    tried.trialAt = tried.trials < this->maxTrials
        ? now + FirstTrialInterval * (1 << std::min(tried.trials, MaxTrialDoublings))
        : now + this->lifetime;
    return tried;
}

const CrashBlock *CrashBlocks::find(const std::string &subject) const
{
    const auto found = this->blocks.find(subject);
    return found == this->blocks.end() ? nullptr : &found->second;
}

std::vector<CrashBlock> CrashBlocks::all() const
{
    std::vector<CrashBlock> found;
    for (const auto &[subject, block] : this->blocks)
        found.push_back(block);
    return found;
}

void CrashBlocks::forgetOld(MonoTime now)
{
    std::erase_if(this->blocks, [this, now](const auto &block) {
        return now - block.second.crashedAt > this->lifetime;
    });
}

MonoTime CrashedEndpoints::onCrash(const Incarnation &endpoint, MonoTime at)
{
    MonoTime &first = this->crashedAt.emplace(endpoint, at).first->second;
    first = std::min(first, at);
    return first;
}

std::optional<MonoTime> CrashedEndpoints::crashTime(const Incarnation &endpoint) const
{
    const auto crashed = this->crashedAt.find(endpoint);
    return crashed == this->crashedAt.end() ? std::nullopt : std::optional(crashed->second);
}

bool CrashedEndpoints::onAlive(const Incarnation &endpoint, MonoTime at)
{
    const auto crashed = this->crashedAt.find(endpoint);
    if (crashed == this->crashedAt.end() || crashed->second + MaxNewsDelay >= at)
        return false;
    this->crashedAt.erase(crashed);
    return true;
}

void CrashedEndpoints::forgetOld(MonoTime now)
{
    std::erase_if(this->crashedAt,
                  [now](const auto &crash) { return now - crash.second > SuspicionLifetime; });
}

} // namespace lavenderhall
