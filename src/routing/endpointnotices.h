#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>

/// What endpoints state about themselves in their answers. Under a planned stop or an overload, an
/// endpoint says so to whoever calls it, long before the store's list shows it, if ever.
namespace lavenderhall {

/// One run of an endpoint's process, from its start to its end.
struct Incarnation
{
    std::string endpointId;
    std::int64_t startMillis = 0; ///< Unix time of the start

    auto operator<=>(const Incarnation &) const = default;
};

/// Keeps the notices of each incarnation by itself, as one of an earlier incarnation may arrive
/// late from another instance.
class EndpointNotices
{
public:
    /// The endpoint stops soon and is to get no new requests. Returns whether this is news.
    bool onLeaving(const Incarnation &endpoint, MonoTime now);
    /// The endpoint wants no requests for \a duration; a negative one is ignored, and a very long
    /// one is shortened.
    void onPauseRequested(const Incarnation &endpoint, Millis duration, MonoTime now);

    /// Whether the endpoint has stated that it leaves.
    bool isLeaving(const Incarnation &endpoint) const;
    /// Returns until when the endpoint wants no requests; a time in the past if it wants them.
    MonoTime pausedUntil(const Incarnation &endpoint) const;

private:
    struct Notices
    {
        MonoTime changedAt{};
        bool isLeaving = false;
        MonoTime pausedUntil{};
    };

    /// Returns the notices of \a endpoint, to be changed, and forgets those that are very old.
    Notices &noticesToChange(const Incarnation &endpoint, MonoTime now);

    std::map<Incarnation, Notices> notices;
};

} // namespace lavenderhall
