#include "base/logratelimiter.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

bool LogRateLimiter::tryAcquire(MonoTime now)
{
    const double elapsed = std::chrono::duration<double>(now - this->refilledAt).count();
    this->tokens = std::min(this->burstLines, this->tokens + elapsed * this->linesPerSecond);
    this->refilledAt = now;
    if (this->tokens < 1) {
        ++this->dropped;
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeDroppedCount()
{
    return std::exchange(this->dropped, 0);
}

} // namespace lavenderhall
