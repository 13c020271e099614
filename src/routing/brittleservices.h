#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>

/// Services whose endpoints fall over if they have to reject many requests for want of room.
///
/// Bursts of callers reach all instances at once. Each instance sees its own requests only, and the
/// rejections of all of them count, so none of them may find out how many requests an endpoint
/// takes by sending more. While a service is brittle, an instance therefore has no more requests at
/// an endpoint than its share of those that run there at once.
namespace lavenderhall {

/// Keeps which services are brittle, by what their endpoints state in their answers.
class BrittleServices
{
public:
    /// An endpoint of the service has stated in an answer that the service is brittle.
    void onStated(const std::string &service, MonoTime now);
    /// The answer to a request that was sent at \a sentAt does not state it.
    void onNotStated(const std::string &service, MonoTime sentAt);
    bool isBrittle(const std::string &service, MonoTime now) const;

private:
    std::map<std::string, MonoTime> statedAt; ///< last statement by service
};

/// Returns how many requests the instance may have at an endpoint of a brittle service. The sum
/// over \a instances instances is at most \a slots, the requests that run there at once, or about
/// \a slots if there are more instances than that.
std::int64_t brittleShare(const std::string &endpointId, std::int64_t slots,
                          const std::string &instance, std::size_t instances);

} // namespace lavenderhall
