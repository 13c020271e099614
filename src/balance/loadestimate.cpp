#include "balance/loadestimate.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lavenderhall {

void LoadEstimate::onBacklog(const Incarnation &id, const std::string &service,
                             const Backlog &backlog, MonoTime now)
{
    Engine &engine = this->engines[id.endpointId];
    const bool isSpeedNew = backlog.speed > 0 && backlog.speed != engine.backlog.speed;
    const double knownSpeed = engine.backlog.speed;
    engine = {service, backlog, now};
    if (backlog.speed <= 0)
        engine.backlog.speed = knownSpeed;
    if (isSpeedNew)
        this->updateMedian(service);
}

void LoadEstimate::forget(const std::string &endpointId)
{
    this->engines.erase(endpointId);
    this->sentWork.forget(endpointId);
}

void LoadEstimate::updateMedian(const std::string &service)
{
    std::vector<double> speeds;
    for (const auto &[id, engine] : this->engines) {
        if (engine.service == service && engine.backlog.speed > 0)
            speeds.push_back(engine.backlog.speed);
    }
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    this->medianSpeeds[service] = *middle;
}

double LoadEstimate::speed(const std::string &endpointId, const std::string &service) const
{
    const auto found = this->engines.find(endpointId);
    if (found != this->engines.end() && found->second.backlog.speed > 0)
        return found->second.backlog.speed;
    const auto median = this->medianSpeeds.find(service);
    return median == this->medianSpeeds.end() ? this->initialSpeed : median->second;
}

double LoadEstimate::homeWeight(const std::string &endpointId, const std::string &service) const
{
    return std::pow(this->speed(endpointId, service), this->settings.homeWeightExponent);
}

// The announced sum contains own requests too, but for the latest. What others have sent since is
// not known: the engine's average arrivals are allowed for, up to the time after which a change
// would have been announced.
EngineEstimate LoadEstimate::estimate(const std::string &endpointId, const std::string &service,
                                      MonoTime now) const
{
    EngineEstimate estimate;
    estimate.speed = this->speed(endpointId, service);
    const auto own = static_cast<double>(this->sentWork.unreadTokens(endpointId));
    estimate.waitingTokens = own;
    const auto found = this->engines.find(endpointId);
    if (found == this->engines.end() || now - found->second.heardAt > this->settings.newsLifetime)
        return estimate;
    const Engine &engine = found->second;
    const auto age = std::chrono::duration_cast<Millis>(now - engine.heardAt);
    const double drained = std::max(0.0,
                                    static_cast<double>(engine.backlog.waitingTokens)
                                        - static_cast<double>(age.count()) * estimate.speed);
    const auto ownSince = static_cast<double>(
        this->sentWork.unreadSince(endpointId, engine.heardAt - this->settings.reportDelay));
    const auto blindMillis = static_cast<double>(
        std::min(age + this->settings.reportDelay, this->settings.blindTime).count());
    estimate.waitingTokens = std::max(own, drained + ownSince)
        + std::min(engine.backlog.arrivingPerMilli, estimate.speed) * blindMillis / 2;
    estimate.newsAge = age;
    return estimate;
}

} // namespace lavenderhall
