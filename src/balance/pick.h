#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

/// Draws among endpoints: the homes of prompts by weight, and one of several that are about equally
/// good.
namespace lavenderhall {

/// Returns the score of an endpoint with \a weight as the home of a key, given their hash. Of
/// several endpoints, each has the highest score for a share of the keys that is proportional to
/// its weight (weighted rendezvous hashing). Greater numbers are higher scores.
std::uint64_t weightedHomeScore(std::uint64_t hash, double weight);

/// One of the endpoints that a request may be sent to.
struct PickOption
{
    double costMillis = 0;
    double weight = 1; ///< relative probability among options of nearly equal cost
};

struct PickSettings
{
    /// Options up to this much above the lowest cost are equally good. With 5 ms, many instances
    /// chose the same engine before any of them heard of it.
    double marginMillis = 40;
    double marginShare = 0.1; ///< and this share of the lowest cost
};

/// Returns the index of an option near the lowest cost, by \a draw from 0 to 1; \a options must not
/// be empty. Instances that see the same costs do not all choose alike.
std::size_t pickNearBest(const std::vector<PickOption> &options, double draw,
                         const PickSettings &settings = {});

} // namespace lavenderhall
