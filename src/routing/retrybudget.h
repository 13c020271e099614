#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

/// How many repeats this instance may send to each service. Answers the load pattern of a
/// service in trouble, where repeats would multiply its load.
namespace lavenderhall {

struct RetryBudgetSettings
{
    double ratio = 0.2; ///< repeats per request, over all instances
    std::int64_t slack = 0; ///< repeats in a window beyond that, over all instances
    Millis window{10'000};
    std::int64_t instances = 1; ///< at most so many share the slack

    auto operator<=>(const RetryBudgetSettings &) const = default;
};

/// Each instance spends a part of its own requests and an even share of the slack, so that the
/// sum stays within the fleet's budget without any talk between instances.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {})
        : settings(settings)
    { }

    void setSettings(RetryBudgetSettings changed) { this->settings = changed; }
    void onRequest(const std::string &service, MonoTime now);
    bool allowsRetry(const std::string &service, MonoTime now);
    /// Counts one repeat that is sent.
    void onRetry(const std::string &service, MonoTime now);

private:
    static constexpr std::size_t Slots = 10;
    struct Counts
    {
        std::int64_t slot = 0; ///< number of the newest slot
        std::array<std::int64_t, Slots> requests{};
        std::array<std::int64_t, Slots> repeats{};
    };

    Counts &current(const std::string &service, MonoTime now);

    RetryBudgetSettings settings;
    std::map<std::string, Counts> byService;
};

} // namespace lavenderhall
