#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

/// Limits the retries that this instance sends to each service, so that retries do not multiply
/// the load of a service that is failing.
namespace lavenderhall {

struct RetryBudgetSettings
{
    double ratio = 0.2; ///< retries per request, over all instances
    std::int64_t slack = 0; ///< further retries per window, over all instances
    Millis window{10'000}; ///< sliding window that requests and retries are counted in
    std::int64_t instances = 1; ///< upper bound on the instances that share the slack

    auto operator<=>(const RetryBudgetSettings &) const = default;
};

/// Counts requests and retries per service in a sliding window. Each instance may use a fraction of
/// its own requests and an equal share of the slack, so that the sum over all instances stays
/// within the fleet's budget without coordination.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {})
        : settings(settings)
    { }

    void setSettings(RetryBudgetSettings newSettings) { this->settings = newSettings; }
    /// Counts one request that arrived for \a service.
    void onRequest(const std::string &service, MonoTime now);
    /// Whether one more retry is within the budget of \a service.
    bool allowsRetry(const std::string &service, MonoTime now);
    /// Counts one retry that is sent to \a service.
    void onRetry(const std::string &service, MonoTime now);

private:
    static constexpr std::size_t Slots = 10; ///< equal parts of the window
    struct Counts
    {
        std::int64_t slot = 0; ///< number of the newest slot
        std::array<std::int64_t, Slots> requests{};
        std::array<std::int64_t, Slots> retries{};
    };

    /// Returns the counts of \a service, with slots older than the window set to 0.
    Counts &countsAt(const std::string &service, MonoTime now);

    RetryBudgetSettings settings;
    std::map<std::string, Counts> byService;
};

} // namespace lavenderhall
