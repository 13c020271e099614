#pragma once

#include "base/clock.h"

/// Decides whether this instance watches the store itself or relies on the few instances of its
/// region that do so and pass changes on. In a large fleet, each change would otherwise be sent to
/// every instance by the store.
namespace lavenderhall {

/// Tracks the heartbeats (proto::StoreBeat) of the instances that watch the store.
class WatchPolicy
{
public:
    explicit WatchPolicy(MonoTime now)
        : lastHeartbeatAt(now - HeartbeatTimeout)
        , regularSince(now)
    { }

    /// Called when another instance announces that it watches the store and is up to date.
    void onHeartbeat(MonoTime now)
    {
        if (this->hasMissedHeartbeats(now))
            this->regularSince = now;
        this->lastHeartbeatAt = now;
    }

    /// Returns whether this instance has to watch the store: always if it is one of the region's
    /// watchers (\a isAssigned), else until heartbeats have arrived regularly for SettleTime.
    bool shouldWatch(bool isAssigned, MonoTime now) const
    {
        return isAssigned || this->hasMissedHeartbeats(now)
            || now - this->regularSince < SettleTime;
    }

private:
    // Three heartbeats are missed: the watchers are unreachable or do not reach the store
    // themselves.
    static constexpr Millis HeartbeatTimeout{1600};
    // Longer than HeartbeatTimeout, so that a single heartbeat during an outage does not end the
    // watch.
    static constexpr Millis SettleTime{2000};

    bool hasMissedHeartbeats(MonoTime now) const
    {
        return now - this->lastHeartbeatAt >= HeartbeatTimeout;
    }

    MonoTime lastHeartbeatAt;
    MonoTime regularSince; ///< start of the latest period without missed heartbeats
};

} // namespace lavenderhall
