#include "routing/weightsversionhistory.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxVersions = 64;

} // namespace

std::optional<MonoTime> OldWeightsLimits::limitOf(std::int64_t version) const
{
    const auto newer = this->byNewerVersion.upper_bound(version);
    if (newer == this->byNewerVersion.end())
        return std::nullopt;
    return newer->second;
}

bool WeightsVersionHistory::onNamed(std::int64_t version, MonoTime now, Millis age, bool isAssumed)
{
    if (version <= this->newest())
        return false;
    this->versions.push_back({version, now - age, isAssumed});
    if (this->versions.size() > MaxVersions)
        this->versions.erase(this->versions.begin());
    return true;
}

bool WeightsVersionHistory::onTimeKnown(std::int64_t version, MonoTime namedAt)
{
    if (version <= 0 || version > this->newest() || this->versions.size() > MaxVersions)
        return false;
    const auto found
        = std::find_if(this->versions.begin(), this->versions.end(),
                       [version](const NamedVersion &named) { return named.version >= version; });
    if (found->version != version) {
        this->versions.insert(found, {version, namedAt, false});
        return true;
    }
    if (!found->isAssumed && namedAt >= found->namedAt)
        return false;
    *found = {version, namedAt, false};
    return true;
}

std::vector<WeightsVersionHistory::NamedVersion> WeightsVersionHistory::namedAtKnownTimes() const
{
    std::vector<NamedVersion> found = this->versions;
    std::erase_if(found, [](const NamedVersion &named) { return named.isAssumed; });
    return found;
}

std::int64_t WeightsVersionHistory::oldestAllowed(MonoTime now, Millis allowedTime) const
{
    std::int64_t version = 0;
    for (const NamedVersion &named : this->versions) {
        if (now - named.namedAt > allowedTime)
            version = named.version;
    }
    return version;
}

OldWeightsLimits WeightsVersionHistory::limits(Millis allowedTime) const
{
    std::map<std::int64_t, MonoTime> byNewerVersion;
    for (const NamedVersion &named : this->versions)
        byNewerVersion.emplace(named.version, named.namedAt + allowedTime);
    return OldWeightsLimits(std::move(byNewerVersion));
}

} // namespace lavenderhall
