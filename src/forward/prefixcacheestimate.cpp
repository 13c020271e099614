#include "forward/prefixcacheestimate.h"

#include "base/digest.h"

#include <numeric>

namespace lavenderhall {

namespace {

// Other instances send their requests to the same engine, which forgets faster than one of them
// can tell from its own.
constexpr Millis TrustedTime{8000};

} // namespace

std::int64_t PromptChain::totalTokens() const
{
    return std::accumulate(this->links.begin(), this->links.end(), std::int64_t{0},
                           [](std::int64_t sum, const Link &link) { return sum + link.tokens; });
}

const PromptChain::Link *PromptChain::shared() const
{
    return this->links.size() < 2 ? nullptr : &this->links[this->links.size() - 2];
}

PromptChain chainOf(const std::string &cacheSalt, const std::vector<PromptPart> &parts)
{
    PromptChain chain;
    std::uint64_t hash = hash64(cacheSalt);
    for (const PromptPart &part : parts) {
        hash = hash64(part.id, hash);
        chain.links.push_back({hash, part.tokens});
    }
    return chain;
}

std::int64_t PrefixCacheEstimate::knownTokens(const PromptChain &chain, MonoTime now) const
{
    std::int64_t tokens = 0;
    for (const PromptChain::Link &link : chain.links) {
        const auto found = this->byHash.find(link.hash);
        if (found == this->byHash.end() || now - found->second->sentAt > TrustedTime)
            break;
        tokens += link.tokens;
    }
    return tokens;
}

// The first parts count as the most recent ones: a part is of no use without those before it.
void PrefixCacheEstimate::onSent(const PromptChain &chain, MonoTime now)
{
    for (auto link = chain.links.rbegin(); link != chain.links.rend(); ++link) {
        const auto found = this->byHash.find(link->hash);
        if (found != this->byHash.end()) {
            this->recent.splice(this->recent.begin(), this->recent, found->second);
            found->second->sentAt = now;
            continue;
        }
        this->recent.push_front({*link, now});
        this->byHash.emplace(link->hash, this->recent.begin());
        this->used += link->tokens;
    }
    this->trim();
}

void PrefixCacheEstimate::trim()
{
    while (this->used > this->capacity && !this->recent.empty()) {
        this->used -= this->recent.back().link.tokens;
        this->byHash.erase(this->recent.back().link.hash);
        this->recent.pop_back();
    }
}

void PrefixCacheEstimate::clear()
{
    this->recent.clear();
    this->byHash.clear();
    this->used = 0;
}

} // namespace lavenderhall
