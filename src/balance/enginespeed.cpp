#include "balance/enginespeed.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lavenderhall {

namespace {

// Faster samples are dropped: all parts of their prompts were cached. Slower ones count as the
// minimum.
constexpr double MinTokensPerMilli = 2;
constexpr double MaxTokensPerMilli = 1000;

} // namespace

void EngineSpeed::setAnnounced(double tokensPerMilli)
{
    if (!this->step && tokensPerMilli >= MinTokensPerMilli && tokensPerMilli <= MaxTokensPerMilli)
        this->step = static_cast<int>(
            std::lround(std::log(tokensPerMilli) / std::log(this->settings.stepFactor)));
}

void EngineSpeed::onSample(const ReadSample &sample)
{
    if (sample.tokens < this->settings.minTokens || sample.time <= Micros(0))
        return;
    const Micros reading = std::max(sample.time - this->settings.firstTokenTime, Micros(1000));
    const double speed = static_cast<double>(sample.tokens)
        / std::chrono::duration<double, std::milli>(reading).count();
    if (speed > MaxTokensPerMilli)
        return;
    this->speeds.push_back(std::max(speed, MinTokensPerMilli));
    if (this->speeds.size() > this->settings.window)
        this->speeds.pop_front();
    if (this->speeds.size() < this->settings.minSamples)
        return;
    const double exactStep
        = std::log(this->quantileOfSamples()) / std::log(this->settings.stepFactor);
    if (!this->step || std::abs(exactStep - *this->step) > this->settings.hysteresis)
        this->step = static_cast<int>(std::lround(exactStep));
}

double EngineSpeed::quantileOfSamples() const
{
    std::vector<double> sorted(this->speeds.begin(), this->speeds.end());
    const auto index = static_cast<std::size_t>(this->settings.quantile
                                                * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted.at(index);
}

std::optional<double> EngineSpeed::announced() const
{
    if (!this->step)
        return std::nullopt;
    return std::pow(this->settings.stepFactor, *this->step);
}

} // namespace lavenderhall
