#pragma once

#include "base/clock.h"

/// Decides whether this instance watches the store itself or relies on the few instances of its
/// region that do so and pass changes on. In a large fleet, each change would otherwise be sent to
/// every instance by the store.
namespace lavenderhall {

/// Tracks the beats (proto::StoreBeat) of the instances that watch the store.
class WatchPolicy
{
public:
    explicit WatchPolicy(MonoTime now)
        : lastBeatAt(now - BeatTimeout)
        , regularSince(now)
    { }

    /// Called when another instance announces that it watches the store and is up to date.
    void onBeat(MonoTime now)
    {
        if (this->hasMissedBeats(now))
            this->regularSince = now;
        this->lastBeatAt = now;
    }

    /// Returns whether this instance has to watch the store: always if it is one of the region's
    /// watchers (\a isAssigned), else until beats have arrived regularly for SettleTime.
    bool shouldWatch(bool isAssigned, MonoTime now) const
    {
        return isAssigned || this->hasMissedBeats(now) || now - this->regularSince < SettleTime;
    }

private:
    // Three beats are missed: the watchers are unreachable or do not reach the store themselves.
    static constexpr Millis BeatTimeout{1600};
    // Longer than BeatTimeout, so that a single beat during an outage does not end the watch.
    static constexpr Millis SettleTime{2000};

    bool hasMissedBeats(MonoTime now) const { return now - this->lastBeatAt >= BeatTimeout; }

    MonoTime lastBeatAt;
    MonoTime regularSince; ///< start of the latest period without missed beats
};

} // namespace lavenderhall
