#pragma once

#include "base/clock.h"

/// Whether this instance follows the store itself, or relies on the few that do so for its
/// region and tell the others. Answers the load pattern of a large fleet, all of whose watches
/// would wake for each change.
namespace lavenderhall {

class WatchPolicy
{
public:
    explicit WatchPolicy(MonoTime now)
        : lastBeat(now - BeatSilence)
        , beatsSince(now)
    { }

    /// An instance that follows the store told that what it knows is current.
    void onBeat(MonoTime now)
    {
        if (this->isSilent(now))
            this->beatsSince = now;
        this->lastBeat = now;
    }

    bool shouldWatch(bool isOnDuty, MonoTime now) const
    {
        return isOnDuty || this->isSilent(now) || now - this->beatsSince < SettleTime;
    }

private:
    // Three beats missed: the others cannot be reached, or do not reach the store either.
    static constexpr Millis BeatSilence{1600};
    // Longer than the silence, so that a beat which comes through only once does not end the watch.
    static constexpr Millis SettleTime{2000};

    bool isSilent(MonoTime now) const { return now - this->lastBeat >= BeatSilence; }

    MonoTime lastBeat;
    MonoTime beatsSince; ///< since then none was missed
};

} // namespace lavenderhall
