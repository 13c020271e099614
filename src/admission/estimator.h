#pragma once

#include "admission/decayedcount.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Estimates when a request of a service gets its first event.
namespace lavenderhall {

/// The requests of this instance to one service: what was predicted for them and what happened.
class StartEstimator
{
public:
    /// A request of \a rank was sent.
    void onSent(int rank);
    /// The first event of a request has come \a waitedMillis after it was sent, where
    /// \a predictedMillis were predicted.
    void onFirstEvent(int rank, double predictedMillis, double waitedMillis, MonoTime now);
    /// A request ended without a first event after \a waitedMillis. \a hasWaited tells whether its
    /// time was used up by waiting, which shows that it would have taken at least that long.
    void onNoFirstEvent(int rank, double predictedMillis, double waitedMillis, bool hasWaited,
                        MonoTime now);

    /// Returns \a predictedMillis, corrected by how earlier predictions for \a rank turned out.
    double expectedMillis(int rank, double predictedMillis, MonoTime now) const;
    /// Returns the time after which the requests of \a rank and more urgent ones that wait have
    /// begun, at the rate at which requests begin now; nothing if too few have begun lately.
    std::optional<double> backlogMillis(int rank, MonoTime now) const;
    /// Returns the requests that begin per second.
    double startsPerSecond(MonoTime now) const { return this->starts.perSecond(now); }
    /// Returns when a request of \a rank last began, or ended after it had waited longer than
    /// expected; MonoTime{} if none did.
    MonoTime lastNews(int rank) const;

private:
    static constexpr Millis StartsHalfLife{1000};

    /// What predictions for one rank turned out to be. Engines run more urgent requests first, so
    /// the same queue means another time for each rank.
    struct Correction
    {
        double logFactor = 0;
        MonoTime updatedAt{};
        std::int64_t waiting = 0; ///< sent, without a first event
        DecayedCount starts{StartsHalfLife};
    };

    static double logFactor(const Correction &correction, MonoTime now);
    void onEnded(Correction &correction);
    void learn(Correction &correction, double predictedMillis, double waitedMillis, MonoTime now);

    std::map<int, Correction> ranks;
    DecayedCount starts{StartsHalfLife};
};

/// Learns how long answers take from their first event to their end, as a low estimate.
class AnswerTime
{
public:
    void onAnswered(double millis);
    double millis() const { return this->lowMillis; }

private:
    double lowMillis = 0;
    bool isKnown = false;
};

} // namespace lavenderhall
