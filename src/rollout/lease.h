#pragma once

#include "base/clock.h"
#include "base/json.h"
#include "store/objects.h"

#include <cstdint>
#include <optional>
#include <string>

/// The lease that entitles its holder to send orders to engines. It is kept in one object of the
/// store, is acquired and renewed by conditional writes, and carries a fencing number that grows
/// with each acquisition. A store that comes back from an older copy may have lost the lease, and
/// the fencing numbers that were used since: whoever acquires it then waits for a whole lease, and
/// goes on with numbers that the lost ones cannot have reached.
namespace lavenderhall {

/// The content of the lease's object in the store.
struct LeaseRecord
{
    std::string holder;
    std::uint64_t incarnation = 0; ///< of the holder's process
    std::int64_t fence = 0; ///< fencing number
    std::int64_t write = 0; ///< number of the holder's write, never used twice

    bool operator==(const LeaseRecord &) const = default;
};

Json toJson(const LeaseRecord &record);
/// Returns the record in \a content; empty if it is not a valid record.
std::optional<LeaseRecord> parseLease(const Json &content);

/// Intervals and durations of the lease.
struct LeaseTimings
{
    Millis lease{3000}; ///< validity after each write
    Millis renewInterval{1000}; ///< between the holder's writes
    Millis readInterval{500}; ///< between reads of a lease that another process holds
    Millis margin{300}; ///< the holder stops this early, and others wait this much longer

    bool operator==(const LeaseTimings &) const = default;
};

/// A request to the store that the caller must send on behalf of the lease.
struct LeaseAction
{
    enum class Kind { Read, Create, Replace };

    Kind kind = Kind::Read;
    LeaseRecord record; ///< Create, Replace: the record to write
    std::int64_t revision = 0; ///< Replace: the revision that the object must still have
    MonoTime sentAt{};

    bool operator==(const LeaseAction &) const = default;
};

/// One process's side of the lease. The process counts as the holder only while no other process
/// can have acquired the lease. Its validity counts from before the write that acquired or
/// renewed it was sent.
class Lease
{
public:
    Lease(std::string holder, std::uint64_t incarnation, LeaseTimings timings)
        : holder(std::move(holder))
        , incarnation(incarnation)
        , timings(timings)
    { }

    /// Sets whether this process is to acquire and renew the lease.
    void setWanted(bool isWanted) { this->isWanted = isWanted; }
    /// Returns the next request to the store; empty if none is due or one is unanswered.
    std::optional<LeaseAction> onTick(MonoTime now);
    /// Handles the store's reply to a request that onTick() returned.
    void onReply(const LeaseAction &request, const ObjectReply &reply, MonoTime now);

    /// Whether this process holds the lease at \a now.
    bool isHeld(MonoTime now) const;
    /// Returns the highest fencing number seen: this process's own while it holds the lease.
    std::int64_t fence() const { return this->highestFence; }
    const std::string &holderName() const { return this->holder; }
    /// An engine refused an order because another process has sent one with a higher fencing
    /// number.
    void onFenced(MonoTime now);
    /// Whether this instance was the last known holder, also in an earlier process.
    bool wasLastHolder() const;

private:
    LeaseAction write(std::int64_t fence, MonoTime now);
    bool isFree(MonoTime now) const;
    void applyEra(std::int64_t newEra, MonoTime now);
    void applyObject(const ObjectReply &reply, MonoTime now);
    bool isOwn(const LeaseRecord &record) const;

    const std::string holder;
    const std::uint64_t incarnation;
    const LeaseTimings timings;
    std::optional<LeaseRecord> lastRecord;
    std::int64_t revision = 0; ///< of the object, 0 if there is none
    std::int64_t highestFence = 0;
    std::int64_t era = 0; ///< of the store; 0 until it is known, and if the store has none
    std::optional<MonoTime> eraChangedAt; ///< when this process noticed the last change of the era
    MonoTime unchangedSince{}; ///< when the current revision was first seen
    MonoTime lastRead{};
    MonoTime lastWrite{};
    MonoTime heldUntil{};
    std::optional<LeaseAction> unconfirmedWrite; ///< a write whose outcome is not known
    std::int64_t writeCount = 0; ///< attempted by this process
    bool hasRead = false;
    bool isBusy = false; ///< a request is unanswered
    bool isWanted = false;
};

} // namespace lavenderhall
