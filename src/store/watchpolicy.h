#pragma once

#include "base/clock.h"

#include <algorithm>
#include <map>
#include <string>

/// Decides whether this instance watches the store itself or relies on the few instances of its
/// region that do so and pass changes on. In a large fleet, each change would otherwise be sent to
/// every instance by the store.
namespace lavenderhall {

/// What an instance that watches the store knows of it.
enum class StoreContact {
    Unknown, ///< it has not heard from the store yet
    Current, ///< it has all changes
    Lost, ///< the store does not answer it
};

/// A heartbeat of an instance of the region that watches the store.
struct StoreHeartbeat
{
    std::string sender; ///< name of the instance
    bool hasLostStore = false;
    bool isInSync = false; ///< this instance has all that the sender has

    auto operator<=>(const StoreHeartbeat &) const = default;
};

/// Tracks the heartbeats (proto::StoreBeat) of the instances that watch the store.
class WatchPolicy
{
public:
    explicit WatchPolicy(MonoTime now)
        : lastHeartbeatAt(now - HeartbeatTimeout)
        , regularSince(now)
    { }

    /// Only heartbeats in sync let this instance rely on their senders: one that starts again and
    /// again announces lists that it never gets to send.
    void onHeartbeat(const StoreHeartbeat &heartbeat, MonoTime now)
    {
        this->senders.insert_or_assign(heartbeat.sender, Sender{now, heartbeat.hasLostStore});
        if (heartbeat.hasLostStore || !heartbeat.isInSync)
            return;
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

    /// Returns whether the store may have been out of reach for all: the instances that watched it
    /// say so, and none of them had contact lately.
    bool mayStoreHaveBeenLost(MonoTime now) const
    {
        bool isAnyLost = false;
        for (const auto &[name, sender] : this->senders) {
            if (now - sender.heardAt > MemoryTime)
                continue;
            if (!sender.hasLostStore)
                return false;
            isAnyLost = true;
        }
        return isAnyLost;
    }

private:
    // Three heartbeats are missed: the watchers are unreachable or do not reach the store
    // themselves.
    static constexpr Millis HeartbeatTimeout{1600};
    // Longer than HeartbeatTimeout, so that a single heartbeat during an outage does not end the
    // watch.
    static constexpr Millis SettleTime{2000};
    // Beyond the time in which heartbeats are missed and a list is read.
    static constexpr Millis MemoryTime{5000};

    /// The last heartbeat of an instance.
    struct Sender
    {
        MonoTime heardAt{};
        bool hasLostStore = false;
    };

    bool hasMissedHeartbeats(MonoTime now) const
    {
        return now - this->lastHeartbeatAt >= HeartbeatTimeout;
    }

    MonoTime lastHeartbeatAt; ///< in sync
    MonoTime regularSince; ///< start of the latest period without missed heartbeats
    std::map<std::string, Sender> senders; ///< by name
};

} // namespace lavenderhall
