#include "routing/retrybudget.h"

#include <numeric>

namespace lavenderhall {

namespace {

// Windows slide, and an instance's requests of the last moments may lie in another window than
// its repeats: the rest of the ratio is kept as a margin.
constexpr double UsedPart = 0.8;

std::int64_t sumOf(const auto &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::int64_t{0});
}

} // namespace

RetryBudget::Counts &RetryBudget::current(const std::string &service, MonoTime now)
{
    Counts &counts = this->byService[service];
    const Micros slotTime = this->settings.window / Slots;
    const std::int64_t slot = now.time_since_epoch() / slotTime;
    if (slot - counts.slot >= static_cast<std::int64_t>(Slots)) {
        counts.requests.fill(0);
        counts.repeats.fill(0);
        counts.slot = slot;
    }
    for (; counts.slot < slot; ++counts.slot) {
        const auto next = static_cast<std::size_t>(counts.slot + 1) % Slots;
        counts.requests[next] = 0;
        counts.repeats[next] = 0;
    }
    return counts;
}

void RetryBudget::onRequest(const std::string &service, MonoTime now)
{
    Counts &counts = this->current(service, now);
    ++counts.requests[static_cast<std::size_t>(counts.slot) % Slots];
}

bool RetryBudget::allowsRetry(const std::string &service, MonoTime now)
{
    const Counts &counts = this->current(service, now);
    const double allowed
        = this->settings.ratio * UsedPart * static_cast<double>(sumOf(counts.requests))
        + UsedPart * static_cast<double>(this->settings.slack)
            / static_cast<double>(std::max<std::int64_t>(1, this->settings.instances));
    return static_cast<double>(sumOf(counts.repeats)) + 1 <= allowed;
}

void RetryBudget::onRetry(const std::string &service, MonoTime now)
{
    Counts &counts = this->current(service, now);
    ++counts.repeats[static_cast<std::size_t>(counts.slot) % Slots];
}

} // namespace lavenderhall
