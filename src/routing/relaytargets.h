#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Which other instance serves a request that this one cannot serve.
///
/// Up to most of the instances of a zone lose their endpoints at the same moment, and relay all
/// that their callers send. Some of the others are cut off as well, and some are slow or busy. An
/// instance that answers slowly has many relayed requests open.
namespace lavenderhall {

/// Chooses among the other instances by the requests that they have open for this one, and by what
/// earlier ones have answered.
class RelayTargets
{
public:
    /// A request is sent to the instance.
    void onSent(const Address &instance) { ++this->openRequests[instance]; }
    /// A request that was sent there has ended in any way.
    void onEnded(const Address &instance);
    /// The instance could not serve a request: it is not chosen for a while.
    void onUnable(const Address &instance, MonoTime now);
    /// Returns one of \a instances with the fewest open requests that is not known to be unable, by
    /// the random number \a draw; nothing if there is none.
    std::optional<Address> choose(const std::vector<Address> &instances, std::uint64_t draw,
                                  MonoTime now) const;

private:
    bool isAble(const Address &instance, MonoTime now) const;
    std::size_t openAt(const Address &instance) const;

    std::map<Address, std::size_t> openRequests; ///< only instances that have some
    std::map<Address, MonoTime> unableUntil;
};

} // namespace lavenderhall
