#pragma once

#include "admission/decision.h"
#include "admission/estimator.h"
#include "admission/queue.h"
#include "admission/retryafter.h"
#include "admission/servedshares.h"

#include <map>
#include <string>
#include <vector>

/// Decides for each request whether it is sent or refused, from the load of its service.
namespace lavenderhall {

/// The properties of a request that its admission depends on.
struct AdmissionSubject
{
    std::string service;
    std::string kind; ///< name of its route
    std::string organisation; ///< "" on public routes
    int rank = 0; ///< urgency, 0 first
    std::int64_t tokens = 0; ///< of its prompt

    auto operator<=>(const AdmissionSubject &) const = default;
};

/// What is known at the moment of a decision.
struct AdmissionOutlook
{
    double predictedMillis = 0; ///< expected time to the first event at the best endpoint
    Millis timeLeft{0};
    bool mayHaveRun = false;
    ServiceLoad load;
};

enum class AdmissionReason {
    InTime, ///< it can begin in time, as far as is known
    Probe, ///< it is sent to find out whether the estimate is still true
    Protected, ///< its kind or organisation has been served too seldom
    Overloaded, ///< refused: it cannot begin in time
};

/// Returns the name of \a reason in logs and metrics.
const char *toString(AdmissionReason reason);

/// A decision, with the inputs that decided it.
struct AdmissionDecision
{
    AdmissionReason reason = AdmissionReason::InTime;
    AdmissionInputs inputs;
    Millis retryAfter{0}; ///< if it is refused

    bool isRefused() const { return this->reason == AdmissionReason::Overloaded; }
};

/// The admission of all services at this instance.
class AdmissionControl
{
public:
    /// \a draw is random, from 0 to 1.
    AdmissionDecision decide(const AdmissionSubject &subject, const AdmissionOutlook &outlook,
                             double draw, MonoTime now);

    void onSent(const AdmissionSubject &subject);
    void onFirstEvent(const AdmissionSubject &subject, double predictedMillis, Millis waited,
                      MonoTime now);
    /// An attempt has ended without a first event, see StartEstimator.
    void onNoFirstEvent(const AdmissionSubject &subject, double predictedMillis, Millis waited,
                        bool hasWaited, MonoTime now);
    /// The answer is complete, \a duration after its first event.
    void onAnswered(const AdmissionSubject &subject, Millis duration);
    /// The request has got an answer of an endpoint, or has ended without.
    void onServed(const AdmissionSubject &subject, bool isServed, MonoTime now);

    /// Returns the requests that wait for an endpoint of \a service.
    AdmissionQueue &queue(const std::string &service) { return this->services[service].queue; }
    /// Returns the services that requests have come for.
    std::vector<std::string> serviceNames() const;

private:
    struct Service
    {
        AdmissionQueue queue;
        StartEstimator estimator;
        ReturnSchedule returns;
        ServedShares shares;
        std::map<std::string, AnswerTime> answers; ///< by kind
        std::map<int, MonoTime> probedAt; ///< by rank
    };

    AdmissionInputs inputsFor(const Service &service, const AdmissionSubject &subject,
                              const AdmissionOutlook &outlook, MonoTime now) const;
    static AdmissionReason reasonFor(Service &service, const AdmissionSubject &subject,
                                     const AdmissionInputs &inputs, double draw, MonoTime now);

    std::map<std::string, Service> services;
};

} // namespace lavenderhall
