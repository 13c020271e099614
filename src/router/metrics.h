#pragma once

#include "base/log.h"
#include "base/processstate.h"
#include "drain/drain.h"
#include "http/server.h"
#include "membership/peerlink.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

/// Prometheus metrics of one process.
namespace lavenderhall {

/// Why an answer that arrived for a request does not count.
enum class DiscardReason {
    Foreign, ///< it belongs to another request
    Contradictory, ///< it is put together from several answers
};

inline constexpr std::array DiscardReasons{DiscardReason::Foreign, DiscardReason::Contradictory};

/// Returns the name in metrics.
const char *toString(DiscardReason reason);

/// Registers the metrics and updates them. The functions count... add to counters, observe... to
/// histograms, and set... replace the value of gauges.
class Metrics
{
public:
    Metrics();

    /// Counts an answer by \a kind of route, \a outcome ("ran", "unknown", "not-run") and HTTP
    /// status.
    void countAnswer(const std::string &kind, const std::string &outcome, int status);
    /// Counts a refused request by \a reason, the code of the error.
    void countRefusal(const std::string &reason);
    /// Counts \a count objects of \a kind that an answer of the store had and that could not be
    /// read.
    void countUnreadableObjects(const std::string &kind, std::size_t count);
    /// Counts a request that the stop of this instance has ended.
    void countStopped(StopOutcome outcome);
    /// Counts a decision of admission control on a request of \a rank to \a service.
    void countAdmission(const std::string &service, int rank, const std::string &decision);
    /// \a seconds is how long a request has waited for an endpoint to open.
    void observeAdmissionWait(double seconds);
    /// \a count is the number of requests of \a rank that wait for an endpoint of \a service.
    void setWaiting(const std::string &service, int rank, double count);
    /// Counts a failed attempt by endpoint.
    void countAttemptFailure(const std::string &endpoint);
    /// Counts an answer of an endpoint or of another instance that does not count.
    void countDiscardedAnswer(DiscardReason reason);
    /// \a total is the number of lines of \a lineClass that the log has dropped since the start.
    void setLostLogLines(LineClass lineClass, double total);
    /// Counts a stream that another endpoint resumes.
    void countResume();
    /// \a seconds is the time from the arrival of a request to its first token.
    void observeFirstToken(double seconds);
    void setConfigVersion(double version);
    /// \a count is the number of entries of the configuration that are not applied as they stand.
    void setConfigIssues(double count);
    /// \a backlogBytes are bytes of answers that callers have not read yet.
    void setOpenRequests(double count, double backlogBytes);
    /// \a total is the number of calls to the store since the start.
    void setStoreCalls(double total);
    void setPeerTraffic(const LinkCounts &counts);
    /// \a alive is the number of other instances that seem to be alive.
    void setPeers(double alive);
    void setSeatsHeld(double count);
    void setDrainPhase(DrainPhase phase);
    void setProcessState(const ProcessState &state);
    /// \a seconds is how late the event loop was at most, lately.
    void setLoopLag(double seconds);
    void setCallerConnections(double count);
    void setMemory(const http::MemoryBudget &budget);
    void setRefusedConnections(const std::string &listener, const http::RefusedConnections &counts);
    /// Counts the tokens that an engine has reported for one request.
    void countTokens(double prompt, double cached, double output);

    /// Returns all metrics in the Prometheus text format.
    std::string toText() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &refusals;
    prometheus::Family<prometheus::Counter> &unreadableObjects;
    prometheus::Family<prometheus::Counter> &stopped;
    prometheus::Family<prometheus::Counter> &admissions;
    prometheus::Histogram &admissionWait;
    prometheus::Family<prometheus::Gauge> &waiting;
    prometheus::Family<prometheus::Counter> &attemptFailures;
    prometheus::Family<prometheus::Counter> &discardedAnswers;
    prometheus::Family<prometheus::Gauge> &lostLogLines;
    prometheus::Counter &resumes;
    prometheus::Histogram &firstToken;
    prometheus::Gauge &configVersion;
    prometheus::Gauge &configIssues;
    prometheus::Gauge &openRequests;
    prometheus::Gauge &backlog;
    prometheus::Gauge &storeCalls;
    prometheus::Family<prometheus::Gauge> &peerBytes;
    prometheus::Family<prometheus::Gauge> &peerMessages;
    prometheus::Family<prometheus::Gauge> &peerRefusals;
    prometheus::Gauge &peers;
    prometheus::Gauge &seatsHeld;
    prometheus::Gauge &drainPhase;
    prometheus::Gauge &openDescriptors;
    prometheus::Gauge &maxDescriptors;
    prometheus::Gauge &residentBytes;
    prometheus::Gauge &loopLag;
    prometheus::Gauge &callerConnections;
    prometheus::Family<prometheus::Gauge> &refusedConnections;
    prometheus::Family<prometheus::Counter> &tokens;
};

} // namespace lavenderhall
