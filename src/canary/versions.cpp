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

void ServiceVersions::excludeOthers(const std::string &version)
{
    for (const auto &[other, start] : this->present) {
        if (other != version)
            this->ruledOut.insert(other);
    }
    this->ruledOut.erase(version);
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

VersionRule ServiceVersions::rule(const CandidateVersion &candidate, bool areOrdersKnown,
                                  MonoTime now) const
{
    VersionRule rule;
    const bool hasCandidate = this->present.contains(candidate.version);
    if (candidate.isShifted && hasCandidate) {
        rule.excluded = this->ruledOut;
        for (const auto &[version, start] : this->present)
            rule.excluded.insert(version);
        rule.excluded.erase(candidate.version);
        return rule;
    }
    rule.excluded = this->heldBack(areOrdersKnown, now);
    rule.excluded.erase(candidate.version);
    rule.excluded.insert(this->ruledOut.begin(), this->ruledOut.end());
    const bool isKeptFromCandidate = !candidate.version.empty() && !candidate.isExposed;
    if (isKeptFromCandidate)
        rule.excluded.insert(candidate.version);
    if (candidate.isExposed && hasCandidate)
        rule.preferred = candidate.version;
    const auto isAllowed = [&](const auto &entry) { return !rule.excluded.contains(entry.first); };
    const bool isAnyAllowed = std::any_of(this->present.begin(), this->present.end(), isAllowed);
    if (isAnyAllowed || this->mustRefuse(candidate, now))
        return rule;
    rule.excluded.clear();
    if (this->present.size() > 1 && isKeptFromCandidate)
        rule.excluded.insert(candidate.version);
    return rule;
}

// If one of the versions is not bad, it serves at once. If all are, they serve when no other
// version has been present for FallbackDelay: a worse version is better than none.
bool ServiceVersions::mustRefuse(const CandidateVersion &candidate, MonoTime now) const
{
    const auto isBad = [&](const auto &entry) {
        return this->ruledOut.contains(entry.first)
            || (candidate.isBad && entry.first == candidate.version);
    };
    const auto hasLeftLately = [&](const auto &entry) {
        return !this->present.contains(entry.first) && now - entry.second < FallbackDelay;
    };
    return std::all_of(this->present.begin(), this->present.end(), isBad)
        && std::any_of(this->lastPresent.begin(), this->lastPresent.end(), hasLeftLately);
}

} // namespace lavenderhall
