#pragma once

#include "base/clock.h"
#include "placement/prefix.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

/// What this instance has sent where: which endpoints are likely to hold which prefixes.
///
/// Memory is bounded; the blocks used least recently are forgotten first. An entry counts for a
/// limited time only, as engines evict, and dies with the engine's incarnation.
namespace lavenderhall {

class PrefixHistory
{
public:
    PrefixHistory(std::size_t maxBlocks, Millis memory)
        : maxBlocks(maxBlocks)
        , memory(memory)
    { }

    void setMemory(Millis span) { this->memory = span; }
    /// A prompt with \a prefix has been sent to \a endpoint, which computes what it lacks.
    void onSent(const std::string &endpoint, const std::vector<BlockHash> &prefix, MonoTime now);
    /// The endpoint has lost its cache.
    void onCacheLost(const std::string &endpoint);

    /// How many blocks from the start of a prompt each endpoint is likely to hold.
    struct PrefixMatch
    {
        std::uint32_t endpoint = 0; ///< number, see endpointNumber()
        std::size_t blocks = 0;
    };
    std::vector<PrefixMatch> findMatches(const std::vector<BlockHash> &prefix, MonoTime now) const;
    /// Number of an endpoint in findMatches, 0 if nothing was ever sent to it.
    std::uint32_t endpointNumber(const std::string &endpoint) const;
    std::size_t blockCount() const { return this->blocks.size(); }

private:
    struct Place
    {
        std::uint32_t endpoint;
        std::uint32_t generation; ///< of the endpoint's cache when it was sent
        MonoTime at;
    };
    struct Block
    {
        std::vector<Place> places;
        std::list<BlockHash>::iterator use;
    };

    bool isValid(const Place &place, MonoTime now) const;

    std::size_t maxBlocks;
    Millis memory;
    std::unordered_map<std::string, std::uint32_t> numbers;
    std::vector<std::uint32_t> generations{0};
    std::unordered_map<BlockHash, Block> blocks;
    std::list<BlockHash> uses; ///< least recently used first
};

} // namespace lavenderhall
