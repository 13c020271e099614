#include "routing/endpointnotices.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

// An endpoint that asks for more has most likely sent a damaged value, and is tried again.
constexpr Millis MaxPause = std::chrono::minutes(5);
// Notices are kept for a while after the endpoint has gone, as its entry in the store may return.
constexpr Millis NoticeLifetime = std::chrono::minutes(10);

} // namespace

EndpointNotices::Notices &EndpointNotices::noticesToChange(const Incarnation &endpoint,
                                                           MonoTime now)
{
    std::erase_if(this->notices, [now](const auto &entry) {
        return now - entry.second.changedAt > NoticeLifetime;
    });
    Notices &changed = this->notices[endpoint];
    changed.changedAt = now;
    return changed;
}

bool EndpointNotices::onLeaving(const Incarnation &endpoint, MonoTime now)
{
    return !std::exchange(this->noticesToChange(endpoint, now).isLeaving, true);
}

void EndpointNotices::onPauseRequested(const Incarnation &endpoint, Millis duration, MonoTime now)
{
    if (duration <= Millis(0))
        return;
    Notices &changed = this->noticesToChange(endpoint, now);
    changed.pausedUntil = std::max(changed.pausedUntil, now + std::min(duration, MaxPause));
}

bool EndpointNotices::isLeaving(const Incarnation &endpoint) const
{
    const auto found = this->notices.find(endpoint);
    return found != this->notices.end() && found->second.isLeaving;
}

MonoTime EndpointNotices::pausedUntil(const Incarnation &endpoint) const
{
    const auto found = this->notices.find(endpoint);
    return found == this->notices.end() ? MonoTime{} : found->second.pausedUntil;
}

} // namespace lavenderhall
