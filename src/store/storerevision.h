#pragma once

#include <cstdint>

/// Revisions of an object store that may come back from an older copy.
///
/// The store then repeats revisions that it gave out before, with another meaning. It numbers its
/// copies: each return begins a new era. A store revision as used in the router combines the era
/// with the store's own counter, so that whatever belongs to a newer era compares as newer. Without
/// eras, it equals the counter.
namespace lavenderhall {

inline constexpr int RevisionCounterBits = 48;
inline constexpr std::int64_t MaxRevisionCounter = (std::int64_t{1} << RevisionCounterBits) - 1;
/// The era gets the other bits of a positive 64-bit number, less one for safety.
inline constexpr std::int64_t MaxStoreEra = (std::int64_t{1} << 14) - 1;

/// Returns the store revision for the store's \a counter in \a era.
constexpr std::int64_t storeRevision(std::int64_t era, std::int64_t counter)
{
    return (era << RevisionCounterBits) + counter;
}

/// Returns the era of a store revision.
constexpr std::int64_t eraOf(std::int64_t revision)
{
    return revision >> RevisionCounterBits;
}

/// Returns the store's own counter in a store revision.
constexpr std::int64_t counterOf(std::int64_t revision)
{
    return revision & MaxRevisionCounter;
}

/// Returns the least number by which a lease or a seat may tell its holders of \a era apart: its
/// fencing number or its term. Those of earlier eras, also the ones that the store has lost, are
/// below it.
constexpr std::int64_t firstFenceOf(std::int64_t era)
{
    constexpr int FenceBits = 32; // of numbers that are used within an era
    return era << FenceBits;
}

} // namespace lavenderhall
