#include "limits/allowance.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// A window sees at most a full bucket and one refill of it.
constexpr double BucketPart = 0.5;

} // namespace

bool Allowance::take(const std::string &organisation, double tokensPerSecond, double burst,
                     double tokens, MonoTime now)
{
    const double seconds = std::chrono::duration<double>(this->settings.window).count();
    const double beyond
        = (tokensPerSecond * seconds + burst) * this->settings.overage + this->settings.slack;
    const double capacity = BucketPart * beyond
        / static_cast<double>(std::max<std::size_t>(1, this->settings.instances));
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
