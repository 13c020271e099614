#include "balance/pick.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace lavenderhall {

// Positive floating-point numbers have the same order as their bit patterns.
std::uint64_t weightedHomeScore(std::uint64_t hash, double weight)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    const double uniform = std::clamp((static_cast<double>(hash) + 0.5) / HashRange, 1e-19,
                                      1 - 1e-16); // so that the logarithm is neither 0 nor infinite
    return std::bit_cast<std::uint64_t>(-weight / std::log(uniform));
}

std::size_t pickNearBest(const std::vector<PickOption> &options, double draw,
                         const PickSettings &settings)
{
    const auto best = std::min_element(options.begin(), options.end(),
                                       [](const PickOption &left, const PickOption &right) {
                                           return left.costMillis < right.costMillis;
                                       });
    const double limit
        = best->costMillis + settings.marginMillis + settings.marginShare * best->costMillis;
    double total = 0;
    for (const PickOption &option : options)
        total += option.costMillis <= limit ? option.weight : 0;
    double remaining = draw * total;
    for (std::size_t index = 0; index < options.size(); ++index) {
        if (options[index].costMillis > limit)
            continue;
        remaining -= options[index].weight;
        if (remaining < 0)
            return index;
    }
    return static_cast<std::size_t>(best - options.begin());
}

} // namespace lavenderhall
