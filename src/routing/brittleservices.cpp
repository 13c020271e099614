#include "routing/brittleservices.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

/// Without any answer of the service for so long, its statement counts as over.
constexpr Millis StatementLifetime{30'000};
constexpr std::uint64_t InstanceSeed = 0x627269; ///< keeps the draws apart from those of homes

} // namespace

void BrittleServices::onStated(const std::string &service, MonoTime now)
{
    this->statedAt[service] = now;
}

void BrittleServices::onNotStated(const std::string &service, MonoTime sentAt)
{
    const auto found = this->statedAt.find(service);
    if (found != this->statedAt.end() && sentAt > found->second)
        this->statedAt.erase(found);
}

bool BrittleServices::isBrittle(const std::string &service, MonoTime now) const
{
    const auto found = this->statedAt.find(service);
    return found != this->statedAt.end() && now - found->second < StatementLifetime;
}

// Where there are more instances than slots, a draw that is fixed for the pair decides which of
// them use the endpoint.
std::int64_t brittleShare(const std::string &endpointId, std::int64_t slots,
                          const std::string &instance, std::size_t instances)
{
    const double share
        = static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(1, instances));
    if (share >= 1)
        return static_cast<std::int64_t>(std::floor(share));
    const double draw = static_cast<double>(hash64(instance + "/" + endpointId, InstanceSeed))
        / static_cast<double>(UINT64_MAX);
    return draw < share ? 1 : 0;
}

} // namespace lavenderhall
