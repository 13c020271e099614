#pragma once

#include "membership/peerlink.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

/// Metrics of one process.
namespace lavenderhall {

class Metrics
{
public:
    Metrics();

    /// Answers by kind of route and outcome ("ran", "unknown", "not-run").
    void countAnswer(const std::string &kind, const std::string &outcome, int status);
    /// Refusals by reason.
    void countRefusal(const std::string &reason);
    /// Attempts at an endpoint that failed, by reason.
    void countAttemptFailure(const std::string &endpoint);
    void countResume();
    void observeFirstToken(double seconds);
    void setConfigVersion(double version);
    void setOpenRequests(double count, double backlogBytes);
    void setStoreCalls(double total);
    void setPeerTraffic(const LinkCounts &counts);
    void setPeers(double alive);
    void setSeatsHeld(double count);
    void countTokens(double prompt, double cached, double output);

    /// Returns all metrics in the Prometheus text format.
    std::string toText() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &refusals;
    prometheus::Family<prometheus::Counter> &attemptFailures;
    prometheus::Counter &resumes;
    prometheus::Histogram &firstToken;
    prometheus::Gauge &configVersion;
    prometheus::Gauge &openRequests;
    prometheus::Gauge &backlog;
    prometheus::Gauge &storeCalls;
    prometheus::Family<prometheus::Gauge> &peerBytes;
    prometheus::Family<prometheus::Gauge> &peerMessages;
    prometheus::Family<prometheus::Gauge> &peerRefusals;
    prometheus::Gauge &peers;
    prometheus::Gauge &seatsHeld;
    prometheus::Family<prometheus::Counter> &tokens;
};

} // namespace lavenderhall
