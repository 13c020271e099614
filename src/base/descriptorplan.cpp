#include "base/descriptorplan.h"

#include "base/log.h"

#include <algorithm>
#include <sys/resource.h>

namespace lavenderhall {

namespace {

/// Standard streams, the event loop, listening sockets, and what ZeroMQ needs without connections.
constexpr std::size_t OwnDescriptors = 40;
/// A peer has an outgoing connection with its ZeroMQ socket, and an incoming one.
constexpr std::size_t DescriptorsPerPeer = 3;
constexpr std::size_t AdminServers = 2;
constexpr std::size_t MaxAdminConnections = 32;
/// More would need more memory than a process has.
constexpr std::size_t MaxUsedDescriptors = 65'536;

std::size_t share(std::size_t total, std::size_t part, std::size_t parts, std::size_t least)
{
    return std::max(least, total * part / parts);
}

} // namespace

// One sixteenth is for files, as the platform reserves 200 of 4,100 for them, and as much for calls
// to the store, reports of endpoints and orders to them. A request of a caller or of another
// instance needs one connection to an endpoint at a time.
DescriptorPlan planDescriptors(std::size_t limit)
{
    const std::size_t usable = std::min(limit, MaxUsedDescriptors);
    const std::size_t total = usable - std::min(usable, OwnDescriptors);
    DescriptorPlan plan;
    plan.limit = limit;
    plan.admin = std::min(MaxAdminConnections, share(total, 1, 32, 2));
    plan.peers = share(total, 1, 3 * DescriptorsPerPeer, 2);
    const std::size_t files = share(total, 1, 16, 4);
    const std::size_t otherCalls = share(total, 1, 16, 4);
    const std::size_t taken
        = AdminServers * plan.admin + DescriptorsPerPeer * plan.peers + files + otherCalls;
    const std::size_t rest = total - std::min(total, taken);
    plan.callers = share(rest, 3, 8, 2);
    plan.relays = share(rest, 1, 8, 1);
    plan.endpoints = share(rest, 4, 8, 2);
    return plan;
}

DescriptorPlan prepareDescriptors(std::int64_t platformLimit)
{
    rlimit limits{};
    if (getrlimit(RLIMIT_NOFILE, &limits) != 0)
        limits.rlim_cur = limits.rlim_max = MaxUsedDescriptors;
    const rlim_t softBefore = limits.rlim_cur;
    limits.rlim_cur = limits.rlim_max;
    if (limits.rlim_cur != softBefore && setrlimit(RLIMIT_NOFILE, &limits) != 0)
        limits.rlim_cur = softBefore;
    std::size_t limit = limits.rlim_cur;
    if (platformLimit > 0)
        limit = std::min(limit, static_cast<std::size_t>(platformLimit));
    const DescriptorPlan plan = planDescriptors(limit);
    logEvent(limit < MinDescriptors ? LogLevel::Warning : LogLevel::Info, "descriptor_plan",
             {{"soft_limit_before", softBefore},
              {"soft_limit", limits.rlim_cur},
              {"hard_limit", limits.rlim_max},
              {"planned", plan.limit},
              {"callers", plan.callers},
              {"relays", plan.relays},
              {"admin", plan.admin},
              {"endpoints", plan.endpoints},
              {"peers", plan.peers}});
    return plan;
}

} // namespace lavenderhall
