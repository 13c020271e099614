#include "admission/calladmission.h"

#include <utility>

namespace lavenderhall {

AdmissionDecision CallAdmission::decide(const AdmissionSubject &request,
                                        const AdmissionOutlook &outlook, double draw, MonoTime now)
{
    if (!this->control)
        return {};
    this->subject = request;
    this->decision = this->control->decide(request, outlook, draw, now);
    return *this->decision;
}

bool CallAdmission::wait(const AdmissionSubject &request, std::size_t bytes, MonoTime deadline,
                         AdmissionQueue::Handler handler, MonoTime now)
{
    this->subject = request;
    const auto number
        = this->control->queue(request.service)
              .add({request.organisation, request.rank, request.tokens, bytes, deadline},
                   std::move(handler));
    if (!number)
        return false;
    this->queueNumber = *number;
    this->queuedAt = now;
    return true;
}

void CallAdmission::onQueueLeft(MonoTime now)
{
    this->queueNumber = 0;
    this->waitedTime = this->waitedTime.value_or(Millis(0))
        + std::chrono::duration_cast<Millis>(now - this->queuedAt);
}

void CallAdmission::releaseNext()
{
    this->control->queue(this->subject.service).releaseNext();
}

void CallAdmission::onSent(double predicted, MonoTime now)
{
    if (!this->decision)
        return;
    this->predictedMillis = predicted;
    this->sentAt = now;
    this->isWaiting = true;
    this->control->onSent(this->subject);
}

void CallAdmission::onFirstEvent(MonoTime now)
{
    if (!this->isWaiting)
        return;
    this->isWaiting = false;
    const auto waited = std::chrono::duration_cast<Millis>(now - this->sentAt);
    this->control->onFirstEvent(this->subject, this->predictedMillis, waited, now);
    if (!this->firstEventAt)
        this->control->onServed(this->subject, true, now);
    this->firstEventAt = now;
}

void CallAdmission::endAttempt(bool hasWaited, MonoTime now)
{
    if (!this->isWaiting)
        return;
    this->isWaiting = false;
    const auto waited = std::chrono::duration_cast<Millis>(now - this->sentAt);
    this->control->onNoFirstEvent(this->subject, this->predictedMillis, waited, hasWaited, now);
}

// An answer counts as served when it begins, as the answers of different kinds take very different
// times.
void CallAdmission::onDone(bool isAnswered, MonoTime now)
{
    if (this->queueNumber != 0) {
        this->control->queue(this->subject.service).remove(this->queueNumber);
        this->onQueueLeft(now);
    }
    if (!this->decision)
        return;
    this->endAttempt(false, now);
    if (!this->firstEventAt)
        return this->control->onServed(this->subject, false, now);
    if (isAnswered)
        this->control->onAnswered(this->subject,
                                  std::chrono::duration_cast<Millis>(now - *this->firstEventAt));
}

} // namespace lavenderhall
