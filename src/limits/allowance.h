#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>

/// Tokens that an instance may grant on its own, beyond what an organisation's account gives.
/// Answers the failure of a seat's holder: requests within the rate go on for the seconds until
/// another takes over, whose accounts start empty.
namespace lavenderhall {

struct AllowanceSettings
{
    double overage = 0; ///< part of a rate and burst that may be granted beyond them
    double slack = 0; ///< tokens in a window that may be granted beyond that
    Millis window{8000};
    std::size_t instances = 1; ///< that may grant at the same time

    bool operator==(const AllowanceSettings &) const = default;
};

/// A rate and burst of an organisation, in tokens.
struct TokenLimits
{
    double perSecond = 0;
    double burst = 0;

    auto operator<=>(const TokenLimits &) const = default;
};

/// Returns what the organisation's account may grant: its limits with most of what is tolerated
/// beyond them. The rest is left to the instances' own allowances.
TokenLimits accountLimits(TokenLimits limits, const AllowanceSettings &settings);

/// Returns what the account may begin with, beyond its limits, when its level was lost: once in
/// a window at most.
double restartTokens(TokenLimits limits, const AllowanceSettings &settings);

/// What the account leaves of that, divided evenly, so that the grants of all instances stay
/// within it in any window. It starts empty: an instance that restarts has none twice.
class Allowance
{
public:
    explicit Allowance(MonoTime startedAt, AllowanceSettings settings = {})
        : startedAt(startedAt)
        , settings(settings)
    { }

    void setSettings(AllowanceSettings changed) { this->settings = changed; }
    /// Whether \a tokens may be granted to an organisation with this rate and burst.
    bool tryConsume(const std::string &organisation, TokenLimits limits, double tokens, MonoTime now);

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
