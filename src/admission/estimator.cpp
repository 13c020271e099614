#include "admission/estimator.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

// Shorter times consist of the network delay and the request's own work, and say nothing about
// queues.
constexpr double MinLearnedMillis = 100;
constexpr double Smoothing = 20; ///< ms, keeps the ratio of short times finite
// One answer moves the correction by at most a seventh (LearningShare * MaxLogStep), so that a
// single outlier does not matter. Three answers halve an error below MaxLogStep.
constexpr double LearningShare = 0.2;
constexpr double MaxLogStep = 0.7; ///< natural logarithm of a factor, as below
constexpr double MaxLogFactor = 3; ///< predictions are off by at most about twenty times
// Without answers, a correction is no longer trusted after a while.
constexpr Millis TrustTime{1000};
constexpr double ForgetHalfLifeSeconds = 2;
// With fewer beginnings, the rate is not known.
constexpr double MinStarts = 4;

} // namespace

void StartEstimator::onSent(int rank)
{
    ++this->ranks[rank].waiting;
}

void StartEstimator::onEnded(Correction &correction)
{
    correction.waiting = std::max<std::int64_t>(0, correction.waiting - 1);
}

void StartEstimator::onFirstEvent(int rank, double predictedMillis, double waitedMillis,
                                  MonoTime now)
{
    Correction &correction = this->ranks[rank];
    this->onEnded(correction);
    this->starts.add(1, now);
    correction.starts.add(1, now);
    this->learn(correction, predictedMillis, waitedMillis, now);
}

// How long it would have taken is not known, only that it is longer than the time that it waited.
void StartEstimator::onNoFirstEvent(int rank, double predictedMillis, double waitedMillis,
                                    bool hasWaited, MonoTime now)
{
    Correction &correction = this->ranks[rank];
    this->onEnded(correction);
    const double expected = predictedMillis * std::exp(StartEstimator::logFactor(correction, now));
    if (hasWaited && waitedMillis > expected)
        this->learn(correction, predictedMillis, waitedMillis, now);
}

void StartEstimator::learn(Correction &correction, double predictedMillis, double waitedMillis,
                           MonoTime now)
{
    const double factor = StartEstimator::logFactor(correction, now);
    const bool isLong = std::max(predictedMillis, waitedMillis) >= MinLearnedMillis;
    const double seen = std::log((waitedMillis + Smoothing) / (predictedMillis + Smoothing));
    const double step = isLong ? std::clamp(seen - factor, -MaxLogStep, MaxLogStep) : 0;
    correction.logFactor = std::clamp(factor + LearningShare * step, -MaxLogFactor, MaxLogFactor);
    correction.updatedAt = now;
}

double StartEstimator::logFactor(const Correction &correction, MonoTime now)
{
    const auto untrusted = now - correction.updatedAt - TrustTime;
    if (untrusted <= Micros(0))
        return correction.logFactor;
    const double seconds = std::chrono::duration<double>(untrusted).count();
    return correction.logFactor * std::exp2(-seconds / ForgetHalfLifeSeconds);
}

double StartEstimator::expectedMillis(int rank, double predictedMillis, MonoTime now) const
{
    const auto found = this->ranks.find(rank);
    if (found == this->ranks.end())
        return predictedMillis;
    return predictedMillis * std::exp(StartEstimator::logFactor(found->second, now));
}

// While the requests ahead begin, more urgent ones go on to arrive and begin before them. So only
// the beginnings of its own and less urgent ranks bring a request forward, if there were enough.
std::optional<double> StartEstimator::backlogMillis(int rank, MonoTime now) const
{
    if (this->starts.at(now) < MinStarts)
        return std::nullopt;
    std::int64_t waiting = 0;
    double startsBehind = 0; ///< of the own rank and less urgent ones
    double perSecond = 0;
    for (const auto &[other, correction] : this->ranks) {
        if (other <= rank)
            waiting += correction.waiting;
        if (other < rank)
            continue;
        startsBehind += correction.starts.at(now);
        perSecond += correction.starts.perSecond(now);
    }
    if (startsBehind < MinStarts)
        perSecond = this->starts.perSecond(now);
    if (perSecond <= 0)
        return std::nullopt; // all of them began at this very moment
    return static_cast<double>(waiting) * 1000 / perSecond;
}

MonoTime StartEstimator::lastNews(int rank) const
{
    const auto found = this->ranks.find(rank);
    return found == this->ranks.end() ? MonoTime{} : found->second.updatedAt;
}

// Answers differ in length, so the estimate follows short ones at once and long ones slowly: a
// request is not refused for an answer that might be short.
void AnswerTime::onAnswered(double millis)
{
    constexpr double Down = 0.2;
    constexpr double Up = 0.02;
    const double share = millis < this->lowMillis ? Down : Up;
    this->lowMillis
        = this->isKnown ? this->lowMillis + share * (millis - this->lowMillis) : millis / 2;
    this->isKnown = true;
}

} // namespace lavenderhall
