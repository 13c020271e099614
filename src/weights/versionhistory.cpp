#include "weights/versionhistory.h"

#include <algorithm>
#include <iterator>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxVersions = 64;
// An instance that can reach the store, or another one that can, learns of a version within this
// time. So the names that it missed before a version which it finds are no older than that.
constexpr Millis MaxLearningTime{1000};
// Answers of other instances differ by the time that each was under way.
constexpr Millis MinCorrection{5};
// For missing names of which nothing is known. No earlier time makes a difference.
constexpr MonoTime LongAgo = MonoTime{} - std::chrono::hours(24);

} // namespace

std::optional<MonoTime> OldWeightsLimits::limitOf(std::int64_t version) const
{
    const auto newer = this->byNewerVersion.upper_bound(version);
    if (newer == this->byNewerVersion.end())
        return std::nullopt;
    return newer->second;
}

std::int64_t OldWeightsLimits::oldestAllowed(MonoTime now) const
{
    std::int64_t version = 0;
    for (const auto &[newerVersion, until] : this->byNewerVersion) {
        if (until < now)
            version = newerVersion;
    }
    return version;
}

bool WeightsVersionHistory::onNamed(std::int64_t version, MonoTime now, Millis age, bool isAssumed)
{
    if (version <= this->newest())
        return false;
    const MonoTime namedAt = now - age;
    if (isAssumed)
        this->append({version, namedAt, true, std::nullopt, namedAt}, now);
    else
        this->append({version, namedAt, false, this->newest(), LongAgo}, now);
    return true;
}

bool WeightsVersionHistory::onNamedAfterGap(std::int64_t version, MonoTime now)
{
    if (version <= this->newest())
        return false;
    this->append({version, now, false, std::nullopt, now - MaxLearningTime}, now);
    return true;
}

bool WeightsVersionHistory::onWatched(std::int64_t version, std::int64_t previous, MonoTime now)
{
    const NamedVersion named{version, now, false, previous, LongAgo};
    if (version > this->newest()) {
        this->append(named, now);
        return true;
    }
    return this->onTold(named);
}

bool WeightsVersionHistory::onTold(const NamedVersion &told)
{
    if (told.version <= 0 || told.version > this->newest())
        return false;
    const auto found = std::find_if(
        this->versions.begin(), this->versions.end(),
        [&told](const NamedVersion &named) { return named.version >= told.version; });
    if (found->version != told.version)
        return this->insert(told, found);
    return this->update(*found, told);
}

void WeightsVersionHistory::append(const NamedVersion &named, MonoTime now)
{
    this->versions.push_back(named);
    this->learntAt = now;
    if (this->versions.size() <= MaxVersions)
        return;
    // What is older than the dropped version is taken to be too old.
    this->versions.erase(this->versions.begin());
    this->versions.front().missingSince = LongAgo;
}

// The names that are missing before the next version are missing before this one too.
bool WeightsVersionHistory::insert(NamedVersion named, Position next)
{
    if (this->versions.size() >= MaxVersions)
        return false;
    named.missingSince = next->missingSince;
    this->versions.insert(next, named);
    return true;
}

// A version can't have been named later than an instance learnt of it, so the earliest of the known
// times is the best.
bool WeightsVersionHistory::update(NamedVersion &known, const NamedVersion &told)
{
    const NamedVersion before = known;
    if (known.isAssumed || told.namedAt + MinCorrection < known.namedAt) {
        known.namedAt = told.namedAt;
        known.isAssumed = told.isAssumed;
    }
    if (!known.previous)
        known.previous = told.previous;
    return known != before;
}

bool WeightsVersionHistory::isIncomplete() const
{
    return std::any_of(this->versions.begin(), this->versions.end(), [](const NamedVersion &named) {
        return named.isAssumed || !named.previous;
    });
}

std::vector<NamedVersion> WeightsVersionHistory::namedAtKnownTimes() const
{
    std::vector<NamedVersion> found = this->versions;
    std::erase_if(found, [](const NamedVersion &named) { return named.isAssumed; });
    return found;
}

std::int64_t WeightsVersionHistory::oldestAllowed(MonoTime now, Millis allowedTime) const
{
    return this->limits(allowedTime).oldestAllowed(now);
}

// Versions are named in their order, so what is missing between two recorded ones was named after
// the first.
MonoTime WeightsVersionHistory::missingSince(Position next) const
{
    if (next == this->versions.begin())
        return next->missingSince;
    return std::max(next->missingSince, std::prev(next)->namedAt);
}

// The time of a version limits the versions from the one before it on. If that one is not recorded,
// older versions were replaced by it, at a time that is not known, so they get an early limit.
OldWeightsLimits WeightsVersionHistory::limits(Millis allowedTime) const
{
    std::map<std::int64_t, MonoTime> byNewerVersion;
    for (auto named = this->versions.begin(); named != this->versions.end(); ++named) {
        const std::int64_t before = named == this->versions.begin() ? 0 : std::prev(named)->version;
        const MonoTime earliest = std::min(named->namedAt, this->missingSince(named));
        const std::int64_t previous = named->previous.value_or(named->version);
        if (previous > before)
            byNewerVersion.emplace(previous, earliest + allowedTime);
        byNewerVersion.emplace(named->version, named->namedAt + allowedTime);
    }
    // Once a version is named, all older ones are replaced. So none may be allowed for longer than
    // a newer one, even if this instance learnt late of a version between the two.
    for (auto limit = byNewerVersion.rbegin(); limit != byNewerVersion.rend(); ++limit) {
        if (limit != byNewerVersion.rbegin())
            limit->second = std::min(limit->second, std::prev(limit)->second);
    }
    return OldWeightsLimits(std::move(byNewerVersion));
}

} // namespace lavenderhall
