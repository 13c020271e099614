#include "canary/exposure.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The requests of the rest of the time count in advance, but only in part: callers may become
// fewer, or go to other instances.
constexpr double ForecastPart = 0.75;
constexpr double Margin = 0.9; ///< part of the bound that is used
constexpr Millis MinForecastBase{1000}; ///< for a shorter time, no forecast is made

} // namespace

bool Exposure::hasRoom(const ExposureBound &bound, Millis known, Millis left) const
{
    const auto seen = static_cast<double>(this->requests);
    double expected = seen;
    if (known >= MinForecastBase && left > Millis(0))
        expected += ForecastPart * seen * static_cast<double>(left.count())
            / static_cast<double>(known.count());
    const double limit = Margin * (bound.share * expected + bound.slack);
    return static_cast<double>(this->exposed + 1) <= limit;
}

} // namespace lavenderhall
