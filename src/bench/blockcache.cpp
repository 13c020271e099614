#include "bench/blockcache.h"

#include <algorithm>

namespace lavenderhall::bench {

std::int64_t BlockCache::cachedBlocks(const std::vector<BlockHash> &prefix) const
{
    const auto firstMissing = std::find_if(prefix.begin(), prefix.end(), [this](BlockHash block) {
        return !this->positions.contains(block);
    });
    return firstMissing - prefix.begin();
}

void BlockCache::insert(const std::vector<BlockHash> &prefix)
{
    for (const BlockHash block : prefix) {
        const auto found = this->positions.find(block);
        if (found != this->positions.end()) {
            this->evictionOrder.splice(this->evictionOrder.end(), this->evictionOrder,
                                       found->second);
            continue;
        }
        this->positions[block] = this->evictionOrder.insert(this->evictionOrder.end(), block);
        if (this->positions.size() <= this->capacityBlocks)
            continue;
        this->positions.erase(this->evictionOrder.front());
        this->evictionOrder.pop_front();
    }
}

void BlockCache::clear()
{
    this->positions.clear();
    this->evictionOrder.clear();
}

} // namespace lavenderhall::bench
