#pragma once

#include "balance/sentwork.h"

#include <map>
#include <optional>
#include <string>

/// Estimates at each instance what waits at engines now, from announced backlogs and from what it
/// has sent itself.
namespace lavenderhall {

struct EstimateSettings
{
    Millis newsLifetime{5000}; ///< after it, only own requests count
    Millis reportDelay{150}; ///< until what is sent is part of the announced backlog
    Millis blindTime{300}; ///< for which others' requests since the news are allowed for
    double homeWeightExponent = 1.5; ///< see homeWeight()
};

/// What is known about the tokens that wait at one engine.
struct EngineEstimate
{
    double waitingTokens = 0;
    double speed = 0; ///< tokens a millisecond
    std::optional<Millis> newsAge; ///< nothing if there is no news or it is too old

    double waitMillis() const { return this->waitingTokens / this->speed; }
};

class LoadEstimate
{
public:
    /// \a initialSpeed is assumed before the speed of any engine is known.
    explicit LoadEstimate(double initialSpeed, EstimateSettings settings = {})
        : settings(settings)
        , initialSpeed(initialSpeed)
    { }

    /// Records that \a engine, of \a service, has been announced with \a backlog.
    void onBacklog(const Incarnation &engine, const std::string &service, const Backlog &backlog,
                   MonoTime now);
    /// The engine has restarted or is gone.
    void forget(const std::string &endpointId);
    /// Returns the requests that this instance has sent.
    SentWork &sent() { return this->sentWork; }

    EngineEstimate estimate(const std::string &endpointId, const std::string &service,
                            MonoTime now) const;
    /// Returns the learned speed of the engine, or else the median of its service.
    double speed(const std::string &endpointId, const std::string &service) const;
    /// Returns the weight of the engine as a home of prompts. Fast engines get more than their
    /// proportional share: for the same use, a queue is shorter at a fast one.
    double homeWeight(const std::string &endpointId, const std::string &service) const;

private:
    struct Engine
    {
        std::string service;
        Backlog backlog;
        MonoTime heardAt{};
    };

    void updateMedian(const std::string &service);

    EstimateSettings settings;
    double initialSpeed;
    std::map<std::string, Engine> engines; ///< by endpoint id
    std::map<std::string, double> medianSpeeds; ///< by service
    SentWork sentWork;
};

} // namespace lavenderhall
