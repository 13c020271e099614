#pragma once

#include "base/clock.h"
#include "forward/request.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

/// Estimates which prompt prefixes an endpoint has in its cache, from the requests that this
/// instance has sent to it.
namespace lavenderhall {

/// A prompt as a chain of hashes. Each hash covers the cache scope and all parts of the prompt up
/// to and including its own.
struct PromptChain
{
    struct Link
    {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0; ///< of this part only

        auto operator<=>(const Link &) const = default;
    };

    std::vector<Link> links;

    /// Returns the number of tokens of the whole prompt.
    std::int64_t totalTokens() const;
    /// Returns the last link that other requests may share, which is the last but one of the
    /// chain: requests with the same one are sent to the same home. nullptr if there is none.
    const Link *lastSharedLink() const;
};

/// Hashes \a parts in order, starting from \a homeSeed, see CacheScope.
PromptChain buildPromptChain(std::uint64_t homeSeed, const std::vector<PromptPart> &parts);

/// Estimated contents of one endpoint's prefix cache; evicts the least recently used entries when
/// their tokens exceed the capacity.
class PrefixCacheEstimate
{
public:
    explicit PrefixCacheEstimate(std::int64_t capacityTokens = 0)
        : capacityTokens(capacityTokens)
    { }

    void setCapacity(std::int64_t tokens) { this->capacityTokens = tokens; }
    /// Returns how many tokens at the start of \a chain the endpoint probably has in its cache.
    std::int64_t cachedTokens(const PromptChain &chain, MonoTime now) const;
    /// Records that a request with this prompt was sent to the endpoint.
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

    std::list<Entry> lruEntries; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byHash;
};

} // namespace lavenderhall
