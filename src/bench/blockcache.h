#pragma once

#include "placement/prefix.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

/// The prefix cache of a simulated engine.
namespace lavenderhall::bench {

/// Cached prompt blocks; evicts the least recently used ones beyond its capacity.
class BlockCache
{
public:
    explicit BlockCache(std::size_t capacityBlocks = 0)
        : capacityBlocks(capacityBlocks)
    { }

    /// Returns how many blocks from the start of \a prefix are cached.
    std::int64_t cachedBlocks(const std::vector<BlockHash> &prefix) const;
    /// Makes the blocks of \a prefix the most recently used ones, and evicts the least recently
    /// used ones beyond the capacity.
    void insert(const std::vector<BlockHash> &prefix);
    void clear();

private:
    std::size_t capacityBlocks;
    std::list<BlockHash> evictionOrder; ///< least recently used first
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> positions; ///< in evictionOrder
};

} // namespace lavenderhall::bench
