#pragma once

#include "base/clock.h"
#include "placement/prefix.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

/// Records the prompt prefixes that this instance has sent to each endpoint, and so which endpoints
/// are likely to cache them.
///
/// The number of blocks is bounded; the least recently used are evicted first. An entry is valid
/// for a limited time only, as engines evict blocks, and until the engine restarts.
namespace lavenderhall {

class PrefixHistory
{
public:
    /// Keeps at most \a maxBlocks blocks; an entry is valid for \a retention.
    PrefixHistory(std::size_t maxBlocks, Millis retention)
        : maxBlocks(maxBlocks)
        , retention(retention)
    { }

    void setRetention(Millis newRetention) { this->retention = newRetention; }
    /// A prompt with \a prefix was sent to \a endpoint, which computes and caches the blocks that
    /// it lacks.
    void onSent(const std::string &endpoint, const std::vector<BlockHash> &prefix, MonoTime now);
    /// The endpoint has lost its cache, so its earlier entries are invalid.
    void onCacheLost(const std::string &endpoint);

    /// An endpoint that is likely to cache a prefix.
    struct PrefixMatch
    {
        std::uint32_t endpoint = 0; ///< its number, see endpointNumber()
        std::size_t blocks = 0; ///< cached blocks, from the start of the prefix
    };
    /// Returns the endpoints that are likely to cache at least the first block of \a prefix.
    std::vector<PrefixMatch> findMatches(const std::vector<BlockHash> &prefix, MonoTime now) const;
    /// Returns the number that stands for \a endpoint in matches; 0 if nothing was ever sent to it.
    std::uint32_t endpointNumber(const std::string &endpoint) const;
    std::size_t blockCount() const { return this->blocks.size(); }

private:
    /// A block as it was sent to one endpoint.
    struct SentBlock
    {
        std::uint32_t endpoint;
        std::uint32_t generation; ///< of the endpoint's cache when the block was sent
        MonoTime sentAt;
    };
    struct Block
    {
        std::vector<SentBlock> copies;
        std::list<BlockHash>::iterator recency; ///< its entry in byRecency
    };

    bool isValid(const SentBlock &copy, MonoTime now) const;

    std::size_t maxBlocks;
    Millis retention;
    std::unordered_map<std::string, std::uint32_t> numbers;
    std::vector<std::uint32_t> generations{0}; ///< by number; one more with each loss of the cache
    std::unordered_map<BlockHash, Block> blocks;
    std::list<BlockHash> byRecency; ///< least recently used first
};

} // namespace lavenderhall
