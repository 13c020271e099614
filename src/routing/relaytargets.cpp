#include "routing/relaytargets.h"

namespace lavenderhall {

namespace {

constexpr Millis UnableTime{1000}; ///< for which an instance that could not help is not asked

} // namespace

void RelayTargets::onEnded(const Address &instance)
{
    const auto found = this->openRequests.find(instance);
    if (found != this->openRequests.end() && --found->second == 0)
        this->openRequests.erase(found);
}

void RelayTargets::onUnable(const Address &instance, MonoTime now)
{
    this->unableUntil[instance] = now + UnableTime;
    std::erase_if(this->unableUntil, [now](const auto &entry) { return entry.second <= now; });
}

bool RelayTargets::isAble(const Address &instance, MonoTime now) const
{
    const auto found = this->unableUntil.find(instance);
    return found == this->unableUntil.end() || found->second <= now;
}

std::size_t RelayTargets::openAt(const Address &instance) const
{
    const auto found = this->openRequests.find(instance);
    return found == this->openRequests.end() ? 0 : found->second;
}

std::optional<Address> RelayTargets::choose(const std::vector<Address> &instances,
                                            std::uint64_t draw, MonoTime now) const
{
    std::vector<Address> best;
    for (const Address &instance : instances) {
        if (!this->isAble(instance, now))
            continue;
        const std::size_t open = this->openAt(instance);
        if (!best.empty() && open > this->openAt(best.front()))
            continue;
        if (!best.empty() && open < this->openAt(best.front()))
            best.clear();
        best.push_back(instance);
    }
    return best.empty() ? std::nullopt : std::optional(best[draw % best.size()]);
}

} // namespace lavenderhall
