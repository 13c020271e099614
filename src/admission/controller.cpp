#include "admission/controller.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// Without answers for this long, one request of the rank is sent although it is expected to begin
// too late, so that refusals end soon after capacity has returned.
constexpr Millis ProbeInterval{1000};
constexpr double ProbeShare = 0.02; ///< of the requests that are expected to begin too late
// Most of what is sent late is not served, so only a part of it is sent for the sake of fairness.
constexpr double ProtectedShare = 0.3;
// Callers honour a Retry-After up to a third of the time that they have left.
constexpr int RetryTimeDivisor = 3;

double millisOf(Millis time)
{
    return static_cast<double>(time.count());
}

} // namespace

const char *toString(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::InTime:
        return "in_time";
    case AdmissionReason::Probe:
        return "probe";
    case AdmissionReason::Protected:
        return "protected";
    case AdmissionReason::Overloaded:
        return "overloaded";
    }
    return "unknown";
}

AdmissionInputs AdmissionControl::inputsFor(const Service &service, const AdmissionSubject &subject,
                                            const AdmissionOutlook &outlook, MonoTime now) const
{
    AdmissionInputs inputs;
    inputs.expectedMillis
        = service.estimator.expectedMillis(subject.rank, outlook.predictedMillis, now);
    inputs.backlogMillis = service.estimator.backlogMillis(subject.rank, now);
    const auto answer = service.answers.find(subject.kind);
    inputs.answerMillis = answer == service.answers.end() ? 0 : answer->second.millis();
    inputs.timeLeft = outlook.timeLeft;
    inputs.mayHaveRun = outlook.mayHaveRun;
    inputs.load = outlook.load;
    return inputs;
}

AdmissionReason AdmissionControl::reasonFor(Service &service, const AdmissionSubject &subject,
                                            const AdmissionInputs &inputs, double draw,
                                            MonoTime now)
{
    if (!startsTooLate(inputs))
        return AdmissionReason::InTime;
    MonoTime &probedAt = service.probedAt[subject.rank];
    const MonoTime heardAt = std::max(probedAt, service.estimator.lastNews(subject.rank));
    if (draw < ProbeShare || now - heardAt >= ProbeInterval) {
        probedAt = now;
        return AdmissionReason::Probe;
    }
    const bool isProtected = draw < ProtectedShare
        && service.shares.isProtected(subject.kind, subject.organisation, subject.rank,
                                      subject.tokens, now);
    return isProtected ? AdmissionReason::Protected : AdmissionReason::Overloaded;
}

AdmissionDecision AdmissionControl::decide(const AdmissionSubject &subject,
                                           const AdmissionOutlook &outlook, double draw,
                                           MonoTime now)
{
    Service &service = this->services[subject.service];
    AdmissionDecision decision;
    decision.inputs = this->inputsFor(service, subject, outlook, now);
    decision.reason = reasonFor(service, subject, decision.inputs, draw, now);
    if (!decision.isRefused())
        return decision;
    const AdmissionInputs &inputs = decision.inputs;
    const double lateMillis = std::max(inputs.expectedMillis, inputs.backlogMillis.value_or(0))
        + inputs.answerMillis - millisOf(inputs.timeLeft);
    const double perSecond = service.estimator.startsPerSecond(now);
    // The upper part of the draw, which is that of the refused, spread over its whole range.
    const double spread = std::clamp((draw - ProbeShare) / (1 - ProbeShare), 0.0, 1.0);
    decision.retryAfter
        = service.returns.schedule(std::max(0.0, lateMillis) * perSecond / 1000, perSecond,
                                   inputs.timeLeft / RetryTimeDivisor, spread, now);
    return decision;
}

std::vector<std::string> AdmissionControl::serviceNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, service] : this->services)
        names.push_back(name);
    return names;
}

void AdmissionControl::onSent(const AdmissionSubject &subject)
{
    this->services[subject.service].estimator.onSent(subject.rank);
}

void AdmissionControl::onFirstEvent(const AdmissionSubject &subject, double predictedMillis,
                                    Millis waited, MonoTime now)
{
    this->services[subject.service].estimator.onFirstEvent(subject.rank, predictedMillis,
                                                           millisOf(waited), now);
}

void AdmissionControl::onNoFirstEvent(const AdmissionSubject &subject, double predictedMillis,
                                      Millis waited, bool hasWaited, MonoTime now)
{
    this->services[subject.service].estimator.onNoFirstEvent(subject.rank, predictedMillis,
                                                             millisOf(waited), hasWaited, now);
}

void AdmissionControl::onAnswered(const AdmissionSubject &subject, Millis duration)
{
    this->services[subject.service].answers[subject.kind].onAnswered(millisOf(duration));
}

void AdmissionControl::onServed(const AdmissionSubject &subject, bool isServed, MonoTime now)
{
    this->services[subject.service].shares.onEnded(subject.kind, subject.organisation, subject.rank,
                                                   subject.tokens, isServed, now);
}

} // namespace lavenderhall
