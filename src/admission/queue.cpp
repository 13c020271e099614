#include "admission/queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lavenderhall {

namespace {

// Of this many turns, one goes to the request that has waited longest and one to the largest.
constexpr std::uint64_t ReservedTurns = 8;
constexpr std::uint64_t LongestWaitTurn = 3;
constexpr std::uint64_t LargestTurn = 7;
// Beyond this number, counters that are not above the lowest of the waiting ones are discarded.
constexpr std::size_t MaxOrganisations = 1000;

} // namespace

bool AdmissionQueue::hasRoom(std::size_t bytes) const
{
    return this->entries.size() < this->bounds.requests
        && this->usedBytes + bytes <= this->bounds.bytes;
}

std::optional<std::uint64_t> AdmissionQueue::add(WaitingRequest request, Handler handler)
{
    if (request.bytes > this->bounds.bytes || this->bounds.requests == 0)
        return std::nullopt;
    while (!this->hasRoom(request.bytes)) {
        if (!this->makeRoom(request))
            return std::nullopt;
    }
    this->usedBytes += request.bytes;
    ++this->sizes[request.rank];
    const std::uint64_t number = ++this->lastNumber;
    this->entries.emplace(number, Entry{std::move(request), std::move(handler)});
    return number;
}

// The one that arrived last among the least urgent has waited for the shortest time.
bool AdmissionQueue::makeRoom(const WaitingRequest &request)
{
    auto least = this->entries.end();
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        const bool isLess = least == this->entries.end()
            || entry->second.request.rank >= least->second.request.rank;
        if (isLess)
            least = entry;
    }
    if (least == this->entries.end() || least->second.request.rank <= request.rank)
        return false;
    this->leave(least, QueueExit::Displaced);
    return true;
}

void AdmissionQueue::remove(std::uint64_t number)
{
    const auto found = this->entries.find(number);
    if (found != this->entries.end())
        this->erase(found);
}

AdmissionQueue::Handler AdmissionQueue::erase(Entries::iterator entry)
{
    this->usedBytes -= entry->second.request.bytes;
    --this->sizes[entry->second.request.rank];
    Handler handler = std::move(entry->second.handler);
    this->entries.erase(entry);
    return handler;
}

void AdmissionQueue::releaseNext()
{
    if (this->entries.empty())
        return;
    const auto entry = this->next();
    this->charge(entry->second.request);
    this->leave(entry, QueueExit::Turn);
}

AdmissionQueue::Entries::iterator AdmissionQueue::next()
{
    const std::uint64_t turn = this->turns++ % ReservedTurns;
    if (turn == LongestWaitTurn)
        return this->entries.begin();
    return turn == LargestTurn ? this->largest() : this->mostUrgent();
}

AdmissionQueue::Entries::iterator AdmissionQueue::mostUrgent()
{
    const auto order = [this](const auto &entry) {
        const WaitingRequest &request = entry.second.request;
        return std::tuple(request.rank, this->tokensServed(request.organisation), request.deadline);
    };
    return std::min_element(
        this->entries.begin(), this->entries.end(),
        [&](const auto &left, const auto &right) { return order(left) < order(right); });
}

AdmissionQueue::Entries::iterator AdmissionQueue::largest()
{
    return std::max_element(this->entries.begin(), this->entries.end(),
                            [](const auto &left, const auto &right) {
                                return left.second.request.tokens < right.second.request.tokens;
                            });
}

double AdmissionQueue::tokensServed(const std::string &organisation) const
{
    const auto found = this->served.find(organisation);
    return found == this->served.end() ? this->lowestServed
                                       : std::max(found->second, this->lowestServed);
}

// An organisation that has been away starts where the one that was served least stands, so that it
// cannot save up turns.
void AdmissionQueue::charge(const WaitingRequest &request)
{
    double lowest = this->tokensServed(request.organisation);
    for (const auto &[number, entry] : this->entries)
        lowest = std::min(lowest, this->tokensServed(entry.request.organisation));
    this->lowestServed = lowest;
    if (this->served.size() >= MaxOrganisations)
        std::erase_if(this->served, [lowest](const auto &entry) { return entry.second <= lowest; });
    this->served[request.organisation] = this->tokensServed(request.organisation)
        + static_cast<double>(std::max<std::int64_t>(1, request.tokens));
}

// The handler may change the queue.
void AdmissionQueue::leave(Entries::iterator entry, QueueExit exit)
{
    const Handler handler = this->erase(entry);
    handler(exit);
}

} // namespace lavenderhall
