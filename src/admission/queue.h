#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

/// Keeps the requests of a service that no endpoint can take now, but one can soon.
namespace lavenderhall {

/// Bounds on what waits for one service.
struct QueueBounds
{
    std::size_t requests = 256;
    std::size_t bytes = 8U << 20U; ///< of their bodies and prompts' descriptions

    auto operator<=>(const QueueBounds &) const = default;
};

/// A request that waits.
struct WaitingRequest
{
    std::string organisation;
    int rank = 0; ///< urgency, 0 first
    std::int64_t tokens = 0;
    std::size_t bytes = 0;
    MonoTime deadline{};

    auto operator<=>(const WaitingRequest &) const = default;
};

/// How a request leaves the queue.
enum class QueueExit {
    Turn, ///< an endpoint may take it now
    Displaced, ///< a more urgent one needed its place
};

/// Decides which of the waiting requests is the next: by urgency, then the organisation that was
/// served the fewest tokens, then the time left. Some turns are reserved for large requests and for
/// those that have waited longest, so that none starves.
class AdmissionQueue
{
public:
    using Handler = std::function<void(QueueExit exit)>;

    explicit AdmissionQueue(QueueBounds bounds = {})
        : bounds(bounds)
    { }

    /// Adds a request and returns its number, or nothing if there is no room for it. \a handler is
    /// called when it leaves, unless remove() was called. If there is no room, a less urgent
    /// request leaves.
    std::optional<std::uint64_t> add(WaitingRequest request, Handler handler);
    /// Removes a request that does not wait any more: its caller has left or its time is up.
    void remove(std::uint64_t number);
    /// Gives the next request its turn, if one waits.
    void releaseNext();

    std::size_t size() const { return this->entries.size(); }
    std::size_t bytes() const { return this->usedBytes; }
    /// Returns the number of waiting requests by rank, also 0 for ranks of which some have waited.
    const std::map<int, std::size_t> &sizeByRank() const { return this->sizes; }

private:
    struct Entry
    {
        WaitingRequest request;
        Handler handler;
    };
    using Entries = std::map<std::uint64_t, Entry>; ///< by number, which grows with each arrival

    bool hasRoom(std::size_t bytes) const;
    bool makeRoom(const WaitingRequest &request);
    Entries::iterator next();
    Entries::iterator mostUrgent();
    Entries::iterator largest();
    double tokensServed(const std::string &organisation) const;
    void charge(const WaitingRequest &request);
    Handler erase(Entries::iterator entry);
    void leave(Entries::iterator entry, QueueExit exit);

    QueueBounds bounds;
    Entries entries;
    std::map<int, std::size_t> sizes; ///< by rank
    std::size_t usedBytes = 0;
    std::uint64_t lastNumber = 0;
    std::uint64_t turns = 0;
    std::map<std::string, double> served; ///< tokens by organisation, counted from lowestServed
    double lowestServed = 0;
};

} // namespace lavenderhall
