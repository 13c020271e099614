#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// Learns how fast an engine reads prompts, from the times to the first events of its answers.
namespace lavenderhall {

/// A request whose first event has come.
struct ReadSample
{
    std::int64_t tokens = 0; ///< that the engine must have read until then
    Micros time{0}; ///< from the sending to the first event

    auto operator<=>(const ReadSample &) const = default;
};

struct SpeedSettings
{
    Micros firstTokenTime{8000}; ///< part of each time that does not depend on the tokens
    std::int64_t minTokens = 500; ///< the times of shorter prompts tell little
    std::size_t window = 32; ///< samples that are kept
    std::size_t minSamples = 4; ///< before there is an estimate
    double quantile = 0.9; ///< of the samples' speeds, see EngineSpeed
    double stepFactor = 1.12; ///< between neighbouring announced speeds
    double hysteresis = 0.85; ///< in steps; a rounded value alone would change at 0.5
};

/// Estimates the reading speed of one engine. A sample gives a lower bound of the speed: requests
/// that nobody knew of may have been read first. A few samples exceed it, because cached parts were
/// not read. A high quantile is therefore near the speed, and is announced in steps, so that all
/// instances use the same figure and the homes of prompts seldom change.
class EngineSpeed
{
public:
    EngineSpeed() = default;
    explicit EngineSpeed(SpeedSettings settings)
        : settings(settings)
    { }

    /// Starts from the speed that another instance has announced.
    void setAnnounced(double tokensPerMilli);
    void onSample(const ReadSample &sample);
    /// Returns the speed to announce, in tokens a millisecond; nothing before it is known.
    std::optional<double> announced() const;

private:
    double quantileOfSamples() const;

    SpeedSettings settings;
    std::deque<double> speeds; ///< latest last
    std::optional<int> step; ///< announced speed as a power of stepFactor
};

} // namespace lavenderhall
