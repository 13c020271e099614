#include "base/clock.h"

#include <ctime>

namespace lavenderhall {

MonoTime monoNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return MonoTime(std::chrono::duration_cast<Micros>(sinceBoot));
}

std::int64_t wallMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(sinceEpoch).count();
}

} // namespace lavenderhall
