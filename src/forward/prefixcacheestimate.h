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
    const Link *shared() const;
};

PromptChain chainOf(const std::string &cacheSalt, const std::vector<PromptPart> &parts);

/// The memory of one endpoint's cache, least recently used parts first out.
class PrefixCacheEstimate
{
public:
    explicit PrefixCacheEstimate(std::int64_t capacityTokens = 0)
        : capacity(capacityTokens)
    { }

    void setCapacity(std::int64_t tokens) { this->capacity = tokens; }
    /// Tokens at the start of \a chain that the endpoint is thought to keep.
    std::int64_t knownTokens(const PromptChain &chain, MonoTime now) const;
    /// A request with this prompt was sent to the endpoint.
    void onSent(const PromptChain &chain, MonoTime now);
    void clear();

private:
    void trim();

    std::int64_t capacity;
    std::int64_t used = 0;
    struct Part
    {
        PromptChain::Link link;
        MonoTime sentAt{};
    };

    std::list<Part> recent; ///< most recent first
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> byHash;
};

} // namespace lavenderhall
