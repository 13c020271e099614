#pragma once

#include "admission/controller.h"

#include <optional>

/// The admission of one request.
namespace lavenderhall {

/// Tells the admission control what becomes of one request. Does nothing without a control.
class CallAdmission
{
public:
    explicit CallAdmission(AdmissionControl *control)
        : control(control)
    { }

    /// Decides on the next attempt. \a draw is random, from 0 to 1.
    AdmissionDecision decide(const AdmissionSubject &request, const AdmissionOutlook &outlook,
                             double draw, MonoTime now);
    /// Has the request wait for its turn. Returns false if it cannot.
    bool wait(const AdmissionSubject &request, std::size_t bytes, MonoTime deadline,
              AdmissionQueue::Handler handler, MonoTime now);
    /// The request has left the queue.
    void onQueueLeft(MonoTime now);
    /// Gives the next of the requests that wait for the same service its turn.
    void releaseNext();
    /// An attempt was sent, with the predicted time to the first event.
    void onSent(double predictedMillis, MonoTime now);
    /// The attempt has brought the first part of an answer.
    void onFirstEvent(MonoTime now);
    /// The attempt was given up because the request's time is up or its caller has left.
    void onGivenUp(MonoTime now) { this->endAttempt(true, now); }
    /// The attempt has ended, in whatever way.
    void onAttemptEnded(MonoTime now) { this->endAttempt(false, now); }
    /// The request has ended; \a isAnswered tells whether by an endpoint's whole answer.
    void onDone(bool isAnswered, MonoTime now);

    bool isQueued() const { return this->queueNumber != 0; }
    /// Returns how long the request has waited for its turns; nothing if it never did.
    const std::optional<Millis> &waited() const { return this->waitedTime; }
    /// Whether a control decides on the request.
    bool isActive() const { return this->control != nullptr; }
    /// Returns the last decision; nothing before the first one.
    const std::optional<AdmissionDecision> &last() const { return this->decision; }

private:
    void endAttempt(bool hasWaited, MonoTime now);

    AdmissionControl *control;
    AdmissionSubject subject;
    std::optional<AdmissionDecision> decision;
    double predictedMillis = 0;
    MonoTime sentAt{};
    std::optional<MonoTime> firstEventAt;
    std::uint64_t queueNumber = 0; ///< 0 unless it waits for its turn
    MonoTime queuedAt{};
    std::optional<Millis> waitedTime;
    bool isWaiting = false; ///< an attempt was sent that has brought nothing yet
};

} // namespace lavenderhall
