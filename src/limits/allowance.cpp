#include "limits/allowance.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Parts of the tolerated excess. The account serves all instances alike, so it gets most of the
// excess: one part raises its limits, another is what it starts with after its level was lost.
// The remainder is divided among the instances' allowances.
constexpr double AccountOverage = 0.4;
constexpr double AccountBurstSlack = 0.35;
constexpr double RestartOverage = 0.45;
constexpr double RestartSlack = 0.35;
constexpr double AllowanceOverage = 1 - AccountOverage - RestartOverage;
constexpr double AllowanceSlack = 1 - AccountBurstSlack - RestartSlack;
// In one window an instance can grant a full bucket and one refill of it, so a bucket holds half
// of the instance's share.
constexpr double BucketPart = 0.5;

double windowSeconds(const AllowanceSettings &settings)
{
    return std::chrono::duration<double>(settings.window).count();
}

} // namespace

TokenLimits accountLimits(TokenLimits limits, const AllowanceSettings &settings)
{
    const double factor = 1 + settings.overage * AccountOverage;
    return {limits.perSecond * factor, limits.burst * factor + settings.slack * AccountBurstSlack};
}

double restartTokens(TokenLimits limits, const AllowanceSettings &settings)
{
    return (limits.perSecond * windowSeconds(settings) + limits.burst) * settings.overage
        * RestartOverage
        + settings.slack * RestartSlack;
}

bool Allowance::tryConsume(const std::string &organisation, TokenLimits limits, double tokens,
                           MonoTime now)
{
    const double seconds = windowSeconds(this->settings);
    const double sharedExcess
        = (limits.perSecond * seconds + limits.burst) * this->settings.overage * AllowanceOverage
        + this->settings.slack * AllowanceSlack;
    const double instances
        = static_cast<double>(std::max<std::size_t>(1, this->settings.instances));
    const double capacity = BucketPart * sharedExcess / instances;
    const auto [entry, isNew] = this->buckets.try_emplace(organisation, Bucket{0, this->startedAt});
    Bucket &bucket = entry->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.level = std::min(capacity, bucket.level + elapsed * capacity / seconds);
    bucket.filledAt = now;
    if (bucket.level < tokens)
        return false;
    bucket.level -= tokens;
    return true;
}

} // namespace lavenderhall
