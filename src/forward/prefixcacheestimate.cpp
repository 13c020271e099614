#include "forward/prefixcacheestimate.h"

#include "base/digest.h"

#include <numeric>

namespace lavenderhall {

namespace {

// An entry is not trusted for longer. Other instances send requests to the same engine too, so it
// evicts entries earlier than the requests of this instance alone suggest.
constexpr Millis EntryLifetime{8000};

} // namespace

std::int64_t PromptChain::totalTokens() const
{
    return std::accumulate(this->links.begin(), this->links.end(), std::int64_t{0},
                           [](std::int64_t sum, const Link &link) { return sum + link.tokens; });
}

const PromptChain::Link *PromptChain::lastSharedLink() const
{
    return this->links.size() < 2 ? nullptr : &this->links[this->links.size() - 2];
}

PromptChain buildPromptChain(std::uint64_t homeSeed, const std::vector<PromptPart> &parts)
{
    PromptChain chain;
    std::uint64_t hash = homeSeed;
    for (const PromptPart &part : parts) {
        hash = hash64(part.id, hash);
        chain.links.push_back({hash, part.tokens});
    }
    return chain;
}

std::int64_t PrefixCacheEstimate::cachedTokens(const PromptChain &chain, MonoTime now) const
{
    std::int64_t tokens = 0;
    for (const PromptChain::Link &link : chain.links) {
        const auto found = this->byHash.find(link.hash);
        if (found == this->byHash.end() || now - found->second->sentAt > EntryLifetime)
            break;
        tokens += link.tokens;
    }
    return tokens;
}

// Inserts the links in reverse order, so that the first parts become the most recently used ones: a
// cached part is of no use without those before it.
void PrefixCacheEstimate::onSent(const PromptChain &chain, MonoTime now)
{
    for (auto link = chain.links.rbegin(); link != chain.links.rend(); ++link) {
        const auto found = this->byHash.find(link->hash);
        if (found != this->byHash.end()) {
            this->lruEntries.splice(this->lruEntries.begin(), this->lruEntries, found->second);
            found->second->sentAt = now;
            continue;
        }
        this->lruEntries.push_front({*link, now});
        this->byHash.emplace(link->hash, this->lruEntries.begin());
        this->usedTokens += link->tokens;
    }
    this->evict();
}

void PrefixCacheEstimate::evict()
{
    while (this->usedTokens > this->capacityTokens && !this->lruEntries.empty()) {
        this->usedTokens -= this->lruEntries.back().link.tokens;
        this->byHash.erase(this->lruEntries.back().link.hash);
        this->lruEntries.pop_back();
    }
}

void PrefixCacheEstimate::clear()
{
    this->lruEntries.clear();
    this->byHash.clear();
    this->usedTokens = 0;
}

} // namespace lavenderhall
