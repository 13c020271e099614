#include "routing/retrybudget.h"

#include <numeric>

namespace lavenderhall {

namespace {

// The fraction of the budget that is used. The rest is a margin: windows slide, so an instance's
// latest requests may lie in another window than their retries.
constexpr double UsedFraction = 0.8;

std::int64_t sumOf(const auto &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::int64_t{0});
}

} // namespace

RetryBudget::Counts &RetryBudget::countsAt(const std::string &service, MonoTime now)
{
    Counts &counts = this->byService[service];
    const Micros slotTime = this->settings.window / Slots;
    const std::int64_t slot = now.time_since_epoch() / slotTime;
    if (slot - counts.slot >= static_cast<std::int64_t>(Slots)) {
        counts.requests.fill(0);
        counts.retries.fill(0);
        counts.slot = slot;
    }
    for (; counts.slot < slot; ++counts.slot) {
        const auto next = static_cast<std::size_t>(counts.slot + 1) % Slots;
        counts.requests[next] = 0;
        counts.retries[next] = 0;
    }
    return counts;
}

void RetryBudget::onRequest(const std::string &service, MonoTime now)
{
    Counts &counts = this->countsAt(service, now);
    ++counts.requests[static_cast<std::size_t>(counts.slot) % Slots];
}

bool RetryBudget::allowsRetry(const std::string &service, MonoTime now)
{
    const Counts &counts = this->countsAt(service, now);
    const double allowed
        = this->settings.ratio * UsedFraction * static_cast<double>(sumOf(counts.requests))
        + UsedFraction * static_cast<double>(this->settings.slack)
            / static_cast<double>(std::max<std::int64_t>(1, this->settings.instances));
    return static_cast<double>(sumOf(counts.retries)) + 1 <= allowed;
}

void RetryBudget::onRetry(const std::string &service, MonoTime now)
{
    Counts &counts = this->countsAt(service, now);
    ++counts.retries[static_cast<std::size_t>(counts.slot) % Slots];
}

} // namespace lavenderhall
