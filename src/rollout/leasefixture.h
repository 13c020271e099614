#pragma once

#include "rollout/lease.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <cstddef>
#include <map>
#include <optional>

/// A store and a check of all holders, for tests of processes that compete for the lease.
namespace lavenderhall {

inline constexpr MonoTime Start{std::chrono::seconds(1000)};

/// A store with one object and conditional writes. It may come back from an older copy.
struct FakeStore
{
    std::optional<StoredObject> object; ///< its revision is the store's counter
    std::int64_t counter = 10;
    std::int64_t era = 0;

    ObjectReply reply(StoreStatus status) const
    {
        ObjectReply answer{status, this->object, this->era};
        if (answer.object)
            answer.object->revision = storeRevision(this->era, answer.object->revision);
        return answer;
    }

    ObjectReply apply(const LeaseAction &action)
    {
        const bool exists = this->object.has_value();
        if (action.kind == LeaseAction::Kind::Read)
            return this->reply(exists ? StoreStatus::Ok : StoreStatus::NotFound);
        const bool isCreate = action.kind == LeaseAction::Kind::Create;
        if (isCreate == exists || (exists && this->object->revision != counterOf(action.revision)))
            return this->reply(StoreStatus::Conflict);
        this->object = StoredObject{"weights", ++this->counter, toJson(action.record)};
        return this->reply(StoreStatus::Ok);
    }

    /// Continues from \a copy in the next era.
    void comeBack(const FakeStore &copy)
    {
        const std::int64_t newEra = this->era + 1;
        *this = copy;
        this->era = newEra;
    }
};

/// Checks at each moment that there is at most one holder of a lease, that the fencing number never
/// decreases and that each number has only one holder.
class LeaseAuditor
{
public:
    explicit LeaseAuditor(unsigned seed)
        : seed(seed)
    { }

    /// The contender with number \a index is about to act at \a now.
    void check(std::size_t index, const Lease &lease, MonoTime now)
    {
        if (!lease.isHeld(now))
            return;
        ++this->holders;
        const std::int64_t fence = lease.fence();
        cr_assert(fence > 0, "seed %u: held without a fencing number", this->seed);
        cr_assert(fence >= this->highestFence, "seed %u: fencing number went back", this->seed);
        this->highestFence = fence;
        const auto entry = this->holderOfFence.emplace(fence, index).first;
        cr_assert(entry->second == index, "seed %u: shared fencing number", this->seed);
    }

    /// All contenders have been checked for this moment.
    void endMoment()
    {
        cr_assert(this->holders <= 1, "seed %u: %zu holders", this->seed, this->holders);
        this->holders = 0;
    }

    /// Returns the number of fencing numbers with which the lease has been held.
    std::size_t acquisitions() const { return this->holderOfFence.size(); }

private:
    unsigned seed;
    std::size_t holders = 0; ///< at this moment, so far
    std::int64_t highestFence = 0;
    std::map<std::int64_t, std::size_t> holderOfFence;
};

} // namespace lavenderhall
