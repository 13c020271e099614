#include "routing/permitissuer.h"

#include <algorithm>
#include <chrono>

namespace lavenderhall {

namespace {

// An endpoint that accepts fewer gets this many requests a second all the same: only its answers
// tell that the limit is over.
constexpr double MinRequestsPerSecond = 0.2;
// Permits that nobody has asked for are kept for as long as a request takes to come.
constexpr double BurstSeconds = 0.25;
// Refused instances ask again no later, as the limit may have been raised.
constexpr Millis MaxWait{2000};
constexpr Millis BucketLifetime = std::chrono::minutes(1);

} // namespace

PermitIssuer::Bucket &PermitIssuer::bucketOf(const Incarnation &endpoint, MonoTime now)
{
    const auto known = this->buckets.find(endpoint);
    if (known != this->buckets.end())
        return known->second;
    std::erase_if(this->buckets, [now](const auto &entry) {
        return now - entry.second.refilledAt > BucketLifetime;
    });
    return this->buckets.emplace(endpoint, Bucket{0, 0, now}).first->second;
}

// Refused instances are told to return one after the other, in the order in which they asked, so
// that they do not all ask again for each token.
PermitDecision PermitIssuer::decide(const Incarnation &endpoint, double requestsPerSecond,
                                    MonoTime now)
{
    const double rate = std::max(requestsPerSecond, MinRequestsPerSecond);
    Bucket &bucket = this->bucketOf(endpoint, now);
    const double refilled
        = rate * std::max(0.0, std::chrono::duration<double>(now - bucket.refilledAt).count());
    bucket.refilledAt = now;
    bucket.tokens = std::min(bucket.tokens + refilled, 1 + rate * BurstSeconds);
    bucket.refused = std::max(0.0, bucket.refused - refilled);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return {true, Millis(0)};
    }
    const std::chrono::duration<double> wait((1 - bucket.tokens + bucket.refused) / rate);
    bucket.refused += 1;
    return {false, std::min(MaxWait, std::chrono::ceil<Millis>(wait))};
}

} // namespace lavenderhall
