#pragma once

#include "base/clock.h"
#include "forward/request.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

/// Which parts of prompts each endpoint was sent lately, and so is likely to keep in its cache.
namespace lavenderhall {

/// A prompt as a chain of hashes: each covers the salt and all parts up to its own.
struct PromptChain
{
    struct Link
    {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0; ///< of this part alone

        auto operator<=>(const Link &) const = default;
    };

    std::vector<Link> links;

    std::int64_t totalTokens() const;
    /// The deepest link that other requests share, to place them together; nullptr without one.
    const Link *lastSharedLink() const;
};

PromptChain buildPromptChain(const std::string &cacheSalt, const std::vector<PromptPart> &parts);

/// The memory of one endpoint's cache, least recently used parts first out.
class PrefixCacheEstimate
{
public:
    explicit PrefixCacheEstimate(std::int64_t capacityTokens = 0)
        : capacityTokens(capacityTokens)
    { }

    void setCapacity(std::int64_t tokens) { this->capacityTokens = tokens; }
    /// Tokens at the start of \a chain that the endpoint is thought to keep.
    std::int64_t cachedTokens(const PromptChain &chain, MonoTime now) const;
    /// A request with this prompt was sent to the endpoint.
    void onSent(const PromptChain &chain, MonoTime now);
    void clear();

private:
    void evict();

    std::int64_t capacityTokens;
    std::int64_t usedTokens = 0;
    struct Entry
    {
        PromptChain::Link link;
        MonoTime sentAt{};
    };

    std::list<Entry> lruEntries; ///< most recent first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byHash;
};

} // namespace lavenderhall
