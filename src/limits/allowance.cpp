#include "limits/allowance.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The account serves all instances alike, so it gets most of what is tolerated, in part for the
// moments after its level was lost.
constexpr double AccountOverage = 0.4;
constexpr double AccountBurstSlack = 0.35;
constexpr double RestartOverage = 0.45;
constexpr double RestartSlack = 0.35;
constexpr double LeftOverage = 1 - AccountOverage - RestartOverage;
constexpr double LeftSlack = 1 - AccountBurstSlack - RestartSlack;
// A window sees at most a full bucket and one refill of it.
constexpr double BucketPart = 0.5;

double secondsOf(const AllowanceSettings &settings)
{
    return std::chrono::duration<double>(settings.window).count();
}

} // namespace

TokenLimits accountLimits(TokenLimits limits, const AllowanceSettings &settings)
{
    const double widened = 1 + settings.overage * AccountOverage;
    return {limits.perSecond * widened,
            limits.burst * widened + settings.slack * AccountBurstSlack};
}

double restartTokens(TokenLimits limits, const AllowanceSettings &settings)
{
    return (limits.perSecond * secondsOf(settings) + limits.burst) * settings.overage
        * RestartOverage
        + settings.slack * RestartSlack;
}

bool Allowance::tryConsume(const std::string &organisation, TokenLimits limits, double tokens,
                     MonoTime now)
{
    const double seconds = secondsOf(this->settings);
    const double left
        = (limits.perSecond * seconds + limits.burst) * this->settings.overage * LeftOverage
        + this->settings.slack * LeftSlack;
    const double instances
        = static_cast<double>(std::max<std::size_t>(1, this->settings.instances));
    const double capacity = BucketPart * left / instances;
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
