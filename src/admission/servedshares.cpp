#include "admission/servedshares.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The bounds are a quarter of the share of all for a kind or an organisation, and half of the
// kind's for its largest tenth. Requests are protected before that, as most of what is sent late
// does not end in time.
constexpr double MinShareOfAll = 0.35;
constexpr double MinShareOfLarge = 0.65;
// The bound on the difference between a kind's share and that of a less urgent one is 0.05;
// requests are protected before it is reached.
constexpr double MaxLagBehindLessUrgent = 0.03;
constexpr double LargeShare = 0.1;
// With fewer requests, a share says nothing.
constexpr double MinEnded = 8;
constexpr double Forgotten = 0.01; ///< decayed count of requests below which a name is forgotten
constexpr std::size_t MaxNames = 1000; ///< beyond it, forgotten kinds or organisations are removed

} // namespace

void ServedShares::Share::add(bool isServed, MonoTime now)
{
    this->ended.add(1, now);
    this->served.add(isServed ? 1 : 0, now);
}

bool ServedShares::Share::isKnown(MonoTime now) const
{
    return this->ended.at(now) >= MinEnded;
}

double ServedShares::Share::value(MonoTime now) const
{
    const double count = this->ended.at(now);
    return count > 0 ? this->served.at(now) / count : 1;
}

void ServedShares::forgetOld(MonoTime now)
{
    if (this->kinds.size() > MaxNames)
        std::erase_if(this->kinds, [now](const auto &entry) {
            return entry.second.all.ended.at(now) < Forgotten;
        });
    if (this->organisations.size() > MaxNames)
        std::erase_if(this->organisations,
                      [now](const auto &entry) { return entry.second.ended.at(now) < Forgotten; });
}

// The size that a tenth exceeds is found by steps up and down, nine times as many down as up.
void ServedShares::onEnded(const std::string &kindName, const std::string &organisation, int rank,
                           std::int64_t tokens, bool isServed, MonoTime now)
{
    this->forgetOld(now);
    this->all.add(isServed, now);
    if (!organisation.empty())
        this->organisations[organisation].add(isServed, now);
    Kind &kind = this->kinds[kindName];
    kind.rank = rank;
    kind.all.add(isServed, now);
    const auto size = static_cast<double>(tokens);
    if (size > 0 && size >= kind.largeTokens)
        kind.large.add(isServed, now);
    const double step = 0.1 * std::max(1.0, kind.largeTokens > 0 ? kind.largeTokens : size);
    kind.largeTokens += size >= kind.largeTokens ? step * (1 - LargeShare) : -step * LargeShare;
}

bool ServedShares::isProtected(const std::string &kindName, const std::string &organisation,
                               int rank, std::int64_t tokens, MonoTime now) const
{
    const double allShare = this->all.value(now);
    const auto owner = this->organisations.find(organisation);
    if (owner != this->organisations.end() && owner->second.isKnown(now)
        && owner->second.value(now) < MinShareOfAll * allShare)
        return true;
    const auto found = this->kinds.find(kindName);
    if (found == this->kinds.end() || !found->second.all.isKnown(now))
        return false;
    const Kind &kind = found->second;
    const double share = kind.all.value(now);
    if (share < MinShareOfAll * allShare)
        return true;
    const bool isLarge = static_cast<double>(tokens) >= kind.largeTokens && tokens > 0;
    if (isLarge && kind.large.isKnown(now) && kind.large.value(now) < MinShareOfLarge * share)
        return true;
    return std::any_of(this->kinds.begin(), this->kinds.end(), [&](const auto &entry) {
        const Kind &other = entry.second;
        return other.rank > rank && other.all.isKnown(now)
            && share < other.all.value(now) - MaxLagBehindLessUrgent;
    });
}

} // namespace lavenderhall
