#include "canary/versions.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The order was written before its endpoints started; news of both kinds of object travel apart.
constexpr Millis OrderDelay{2500};
// A version that was found to be bad serves only if no other has been there for so long.
constexpr Millis FallbackDelay{5000};

} // namespace

void ServiceVersions::onPresent(const PresentVersions &versions, MonoTime now)
{
    const bool isFirst = this->firstSeen.empty();
    for (const auto &[version, start] : versions) {
        // All versions of the first look may have been there for long.
        this->firstSeen.try_emplace(version, isFirst ? MonoTime::min() : now);
        this->lastPresent[version] = now;
    }
    for (const auto &[version, start] : this->present) {
        if (!versions.contains(version))
            this->lastPresent[version] = now;
    }
    this->present = versions;
}

void ServiceVersions::barOthers(const std::string &version)
{
    for (const auto &[other, start] : this->present) {
        if (other != version)
            this->barred.insert(other);
    }
    this->barred.erase(version);
}

// Before the orders are known, the version whose endpoints have run for longest is in use.
std::set<std::string> ServiceVersions::heldBack(bool areOrdersKnown, MonoTime now) const
{
    std::set<std::string> versions;
    const auto oldest = std::min_element(
        this->present.begin(), this->present.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    for (const auto &[version, start] : this->present) {
        const auto seen = this->firstSeen.find(version);
        const bool isNew = seen != this->firstSeen.end() && seen->second != MonoTime::min()
            && now - seen->second < OrderDelay;
        if (isNew || (!areOrdersKnown && version != oldest->first))
            versions.insert(version);
    }
    return versions;
}

VersionRule ServiceVersions::rule(const std::string &candidate, bool isExposed, bool isShifted,
                                  bool isBad, bool areOrdersKnown, MonoTime now) const
{
    VersionRule rule;
    const bool hasCandidate = this->present.contains(candidate);
    if (isShifted && hasCandidate) {
        rule.excluded = this->barred;
        for (const auto &[version, start] : this->present)
            rule.excluded.insert(version);
        rule.excluded.erase(candidate);
        return rule;
    }
    rule.excluded = this->heldBack(areOrdersKnown, now);
    rule.excluded.erase(candidate);
    rule.excluded.insert(this->barred.begin(), this->barred.end());
    if (!candidate.empty() && !isExposed)
        rule.excluded.insert(candidate);
    if (isExposed && hasCandidate)
        rule.preferred = candidate;
    const auto isAllowed = [&](const auto &entry) { return !rule.excluded.contains(entry.first); };
    if (std::any_of(this->present.begin(), this->present.end(), isAllowed))
        return rule;
    // If not all of the versions are bad, the exclusions are lifted at once, otherwise when no
    // other version has been present for FallbackDelay.
    const bool areAllBad
        = std::all_of(this->present.begin(), this->present.end(), [&](const auto &entry) {
              return this->barred.contains(entry.first) || (isBad && entry.first == candidate);
          });
    const auto isRecent = [&](const auto &entry) {
        return !this->present.contains(entry.first) && now - entry.second < FallbackDelay;
    };
    const bool hadOthers
        = std::any_of(this->lastPresent.begin(), this->lastPresent.end(), isRecent);
    if (areAllBad && hadOthers)
        return rule;
    rule.excluded.clear();
    if (this->present.size() > 1 && !candidate.empty() && !isExposed)
        rule.excluded.insert(candidate);
    return rule;
}

} // namespace lavenderhall
