#pragma once

#include "base/clock.h"
#include "base/json.h"
#include "store/objects.h"

#include <cstdint>
#include <optional>
#include <string>

/// The right to give orders: a lease in one object of the store, taken and renewed by
/// conditional writes, with a number that grows with each taking.
namespace lavenderhall {

struct LeaseRecord
{
    std::string holder;
    std::uint64_t incarnation = 0; ///< of the holder's process
    std::int64_t fence = 0;
    std::int64_t write = 0; ///< number of the holder's write, never used twice

    bool operator==(const LeaseRecord &) const = default;
};

Json toJson(const LeaseRecord &record);
/// Returns the record in \a content; empty if it is none.
std::optional<LeaseRecord> parseLease(const Json &content);

struct LeaseTimings
{
    Millis lease{3000};
    Millis renewInterval{1000};
    Millis readInterval{500}; ///< between looks at a lease that another one holds
    Millis margin{300}; ///< the holder stops so long before its lease lapses

    bool operator==(const LeaseTimings &) const = default;
};

/// A call to the store that the lease wants made.
struct LeaseAction
{
    enum class Kind { Read, Create, Replace };

    Kind kind = Kind::Read;
    LeaseRecord record; ///< to be written
    std::int64_t revision = 0; ///< Replace: only if the object is still at it
    MonoTime askedAt{};

    bool operator==(const LeaseAction &) const = default;
};

/// One process's side of the lease. It believes that it holds the lease only as long as no
/// other process can have taken it, counted from before the write that took or renewed it.
class Lease
{
public:
    Lease(std::string holder, std::uint64_t incarnation, LeaseTimings timings)
        : holder(std::move(holder))
        , incarnation(incarnation)
        , timings(timings)
    { }

    /// Whether this process wants to give orders.
    void setWanted(bool wanted) { this->wanted = wanted; }
    std::optional<LeaseAction> onTick(MonoTime now);
    void onReply(const LeaseAction &asked, const ObjectReply &reply, MonoTime now);

    bool isHeld(MonoTime now) const;
    std::int64_t fence() const { return this->highestFence; }
    const std::string &holderName() const { return this->holder; }
    /// Another process has given orders with a higher number.
    void onFenced(MonoTime now);
    /// Whether this instance was the last to hold the lease, as far as it knows.
    bool wasLastHolder() const;

private:
    LeaseAction write(std::int64_t fence, MonoTime now);
    void learn(const ObjectReply &reply, MonoTime now);
    bool isOwn(const LeaseRecord &record) const;

    const std::string holder;
    const std::uint64_t incarnation;
    const LeaseTimings timings;
    std::optional<LeaseRecord> known;
    std::int64_t revision = 0; ///< of the object, 0 if there is none
    std::int64_t highestFence = 0; ///< ever seen
    MonoTime unchangedSince{}; ///< when this revision was first seen
    MonoTime lastRead{};
    MonoTime lastWrite{};
    MonoTime heldUntil{};
    std::optional<LeaseAction> unanswered; ///< a write whose outcome is not known
    std::int64_t writes = 0; ///< made or tried by this process
    bool hasRead = false;
    bool isBusy = false;
    bool wanted = false;
};

} // namespace lavenderhall
