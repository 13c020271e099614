#include "placement/history.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxPlaces = 8;

} // namespace

std::uint32_t PrefixHistory::endpointNumber(const std::string &endpoint) const
{
    const auto found = this->numbers.find(endpoint);
    return found == this->numbers.end() ? 0 : found->second;
}

bool PrefixHistory::isValid(const Place &place, MonoTime now) const
{
    return place.generation == this->generations[place.endpoint] && now - place.at < this->memory;
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
            found->second.use = this->uses.insert(this->uses.end(), hash);
        } else {
            this->uses.splice(this->uses.end(), this->uses, found->second.use);
        }
        std::vector<Place> &places = found->second.places;
        std::erase_if(places, [&](const Place &place) {
            return place.endpoint == number || !this->isValid(place, now);
        });
        if (places.size() >= MaxPlaces)
            places.erase(places.begin());
        places.push_back({number, this->generations[number], now});
    }
    while (this->blocks.size() > this->maxBlocks) {
        this->blocks.erase(this->uses.front());
        this->uses.pop_front();
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
        bool isHeldAnywhere = false;
        for (const Place &place : found->second.places) {
            if (!this->isValid(place, now))
                continue;
            const auto known
                = std::find_if(result.begin(), result.end(), [&place](const PrefixMatch &holding) {
                      return holding.endpoint == place.endpoint;
                  });
            if (depth == 0) {
                result.push_back({place.endpoint, 1});
                isHeldAnywhere = true;
            } else if (known != result.end() && known->blocks == depth) {
                ++known->blocks;
                isHeldAnywhere = true;
            }
        }
        if (!isHeldAnywhere)
            break;
    }
    return result;
}

} // namespace lavenderhall
