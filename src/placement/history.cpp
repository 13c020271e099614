#include "placement/history.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxCopiesPerBlock = 8;

} // namespace

std::uint32_t PrefixHistory::endpointNumber(const std::string &endpoint) const
{
    const auto found = this->numbers.find(endpoint);
    return found == this->numbers.end() ? 0 : found->second;
}

bool PrefixHistory::isValid(const SentBlock &copy, MonoTime now) const
{
    return copy.generation == this->generations[copy.endpoint]
        && now - copy.sentAt < this->retention;
}

void PrefixHistory::onSent(const std::string &endpoint, const std::vector<BlockHash> &prefix,
                           MonoTime now)
{
    const auto [entry, isNew]
        = this->numbers.emplace(endpoint, static_cast<std::uint32_t>(this->generations.size()));
    if (isNew)
        this->generations.push_back(0);
    const std::uint32_t number = entry->second;
    for (const BlockHash hash : prefix) {
        auto found = this->blocks.find(hash);
        if (found == this->blocks.end()) {
            found = this->blocks.emplace(hash, Block{}).first;
            found->second.recency = this->byRecency.insert(this->byRecency.end(), hash);
        } else {
            this->byRecency.splice(this->byRecency.end(), this->byRecency, found->second.recency);
        }
        std::vector<SentBlock> &copies = found->second.copies;
        std::erase_if(copies, [&](const SentBlock &copy) {
            return copy.endpoint == number || !this->isValid(copy, now);
        });
        if (copies.size() >= MaxCopiesPerBlock)
            copies.erase(copies.begin());
        copies.push_back({number, this->generations[number], now});
    }
    while (this->blocks.size() > this->maxBlocks) {
        this->blocks.erase(this->byRecency.front());
        this->byRecency.pop_front();
    }
}

void PrefixHistory::onCacheLost(const std::string &endpoint)
{
    const auto found = this->numbers.find(endpoint);
    if (found != this->numbers.end())
        ++this->generations[found->second];
}

std::vector<PrefixHistory::PrefixMatch>
PrefixHistory::findMatches(const std::vector<BlockHash> &prefix, MonoTime now) const
{
    std::vector<PrefixMatch> result;
    for (std::size_t depth = 0; depth < prefix.size(); ++depth) {
        const auto found = this->blocks.find(prefix[depth]);
        if (found == this->blocks.end())
            break;
        bool hasMatch = false;
        for (const SentBlock &copy : found->second.copies) {
            if (!this->isValid(copy, now))
                continue;
            const auto match
                = std::find_if(result.begin(), result.end(), [&copy](const PrefixMatch &entry) {
                      return entry.endpoint == copy.endpoint;
                  });
            if (depth == 0) {
                result.push_back({copy.endpoint, 1});
                hasMatch = true;
            } else if (match != result.end() && match->blocks == depth) {
                ++match->blocks;
                hasMatch = true;
            }
        }
        if (!hasMatch)
            break;
    }
    return result;
}

} // namespace lavenderhall
