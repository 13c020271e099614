#include "rollout/candidacy.h"

namespace lavenderhall {

namespace {

/// Without the lease, an instance sends no orders that would show whether they reach the engines.
/// It leaves the rollout to the others for a little longer than the lease takes to expire.
constexpr Millis CutOffPause{4500};

} // namespace

// Fewer outdated engines mean that some instance makes progress, so the delay starts again. A
// holder that is cut off lets the lease expire, for another instance to acquire.
bool LeaseCandidacy::isWanted(const CandidacyInput &input, MonoTime now)
{
    if (this->outdated == 0 || input.outdated < this->outdated)
        this->unchangedSince = now;
    this->outdated = input.outdated;
    if (this->pausedAt && now - *this->pausedAt >= CutOffPause)
        this->pausedAt.reset();
    if (input.isCutOff && !this->pausedAt)
        this->pausedAt = now;
    if (input.outdated == 0 || this->pausedAt)
        return false;
    const bool isDue = now - this->unchangedSince >= this->takeoverDelay;
    return input.isHolder || input.wasLastHolder || isDue;
}

} // namespace lavenderhall
