#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>

/// Tokens that an instance may grant by itself, without the organisation's account.
///
/// If the holder of a seat fails, its accounts cannot be asked until another process has taken the
/// seat, and then they start empty. The allowance lets requests within the rate continue during
/// these seconds.
namespace lavenderhall {

struct AllowanceSettings
{
    double overage = 0; ///< tolerated excess, as a fraction of the limits
    double slack = 0; ///< tolerated excess above that, in tokens per window
    Millis window{8000}; ///< any interval of this length is checked against the limits
    std::size_t instances = 1; ///< number that may grant at the same time

    bool operator==(const AllowanceSettings &) const = default;
};

/// The limits of an organisation: tokens per second, and tokens at once.
struct TokenLimits
{
    double perSecond = 0;
    double burst = 0;

    auto operator<=>(const TokenLimits &) const = default;
};

/// Returns the limits that the organisation's account enforces: \a limits plus a part of the
/// tolerated excess. The rest is left for restartTokens() and the instances' allowances.
TokenLimits accountLimits(TokenLimits limits, const AllowanceSettings &settings);

/// Returns the tokens that an account starts with, as part of the tolerated excess, after its level
/// was lost with its holder. They may be granted at most once per window.
double restartTokens(TokenLimits limits, const AllowanceSettings &settings);

/// One instance's share of the tolerated excess that accountLimits() and restartTokens() leave: a
/// token bucket for each organisation. The shares are equal, so that the grants of all instances
/// stay within the excess in any window. The buckets start empty, so that an instance cannot grant
/// its share again by restarting.
class Allowance
{
public:
    explicit Allowance(MonoTime startedAt, AllowanceSettings settings = {})
        : startedAt(startedAt)
        , settings(settings)
    { }

    void setSettings(AllowanceSettings changed) { this->settings = changed; }
    /// Consumes \a tokens of the organisation's bucket, whose capacity follows from \a limits;
    /// false, with nothing consumed, if it holds fewer.
    bool tryConsume(const std::string &organisation, TokenLimits limits, double tokens,
                    MonoTime now);

private:
    struct Bucket
    {
        double level = 0;
        MonoTime filledAt{};
    };

    MonoTime startedAt;
    AllowanceSettings settings;
    std::map<std::string, Bucket> buckets;
};

} // namespace lavenderhall
