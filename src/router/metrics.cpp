#include "router/metrics.h"

#include <prometheus/text_serializer.h>

namespace lavenderhall {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Registry;

// In seconds. The target of 0.39 s for the 95th percentile is a bucket boundary, so that the share
// within it can be read exactly.
const prometheus::Histogram::BucketBoundaries FirstTokenBuckets{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.39, 0.5, 1, 2, 5, 10};

auto &counterFamily(Registry &registry, const char *name, const char *help)
{
    return BuildCounter().Name(name).Help(help).Register(registry);
}

auto &gaugeFamily(Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Gauge &gauge(Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

const char *toString(DiscardReason reason)
{
    switch (reason) {
    case DiscardReason::Foreign:
        return "foreign";
    case DiscardReason::Contradictory:
        return "contradictory";
    }
    return "";
}

Metrics::Metrics()
    : registry(std::make_shared<Registry>())
    , answers(counterFamily(*this->registry, "lavenderhall_answers_total",
                            "Answers to callers by kind of route, outcome and status"))
    , refusals(counterFamily(*this->registry, "lavenderhall_refusals_total",
                             "Requests refused before they ran, by reason"))
    , unreadableObjects(counterFamily(*this->registry, "lavenderhall_unreadable_objects_total",
                                      "Objects in answers of the store that could not be read and "
                                      "were left out, by kind"))
    , stopped(counterFamily(*this->registry, "lavenderhall_drain_ended_requests_total",
                            "Requests that the stop of this instance ended, by outcome: refused at "
                            "arrival, not begun after waiting, unknown (504), cut (broken off)"))
    , admissions(counterFamily(*this->registry, "lavenderhall_admissions_total",
                               "Decisions of admission control by service, rank and decision"))
    , admissionWait(BuildHistogram()
                        .Name("lavenderhall_admission_wait_seconds")
                        .Help("Time that requests waited for an endpoint to open")
                        .Register(*this->registry)
                        .Add({}, FirstTokenBuckets))
    , waiting(gaugeFamily(*this->registry, "lavenderhall_admission_waiting",
                          "Requests that wait for an endpoint to open, by service and rank"))
    , attemptFailures(counterFamily(*this->registry, "lavenderhall_attempt_failures_total",
                                    "Attempts at an endpoint that failed"))
    , discardedAnswers(counterFamily(*this->registry, "lavenderhall_discarded_answers_total",
                                     "Answers that did not count, by reason: of another request "
                                     "(foreign), put together from several (contradictory)"))
    , lostLogLines(gaugeFamily(*this->registry, "lavenderhall_log_lines_lost",
                               "Lines that the log has dropped so far, by class"))
    , resumes(counterFamily(*this->registry, "lavenderhall_stream_resumes_total",
                            "Streams resumed after a cut or a gap")
                  .Add({}))
    , firstToken(BuildHistogram()
                     .Name("lavenderhall_first_token_seconds")
                     .Help("Time from a request's arrival to its first token")
                     .Register(*this->registry)
                     .Add({}, FirstTokenBuckets))
    , configVersion(gauge(*this->registry, "lavenderhall_config_version",
                          "Version of the configuration in force"))
    , configIssues(gauge(*this->registry, "lavenderhall_config_issues",
                         "Entries of the configuration with values that were replaced or left out"))
    , openRequests(
          gauge(*this->registry, "lavenderhall_open_requests", "Requests not yet answered"))
    , backlog(gauge(*this->registry, "lavenderhall_backlog_bytes",
                    "Bytes of answers that callers have not taken yet"))
    , storeCalls(gauge(*this->registry, "lavenderhall_store_calls",
                       "Calls made to the platform's object service so far"))
    , peerBytes(gaugeFamily(*this->registry, "lavenderhall_peer_bytes",
                            "Bytes exchanged with other instances so far"))
    , peerMessages(gaugeFamily(*this->registry, "lavenderhall_peer_messages",
                               "Messages exchanged with other instances so far"))
    , peerRefusals(gaugeFamily(*this->registry, "lavenderhall_peer_refusals",
                               "Peer connections and messages refused so far"))
    , peers(gauge(*this->registry, "lavenderhall_peers", "Other instances seen alive"))
    , seatsHeld(gauge(*this->registry, "lavenderhall_limit_seats_held",
                      "Seats of limits that this instance decides for"))
    , drainPhase(gauge(*this->registry, "lavenderhall_drain_phase",
                       "Phase of the drain: 0 serving, 1 accepting, 2 refusing, 3 closing"))
    , openDescriptors(gauge(*this->registry, "process_open_fds", "Open file descriptors"))
    , maxDescriptors(
          gauge(*this->registry, "process_max_fds", "Soft limit of open file descriptors"))
    , residentBytes(
          gauge(*this->registry, "process_resident_memory_bytes", "Memory in use, in bytes"))
    , loopLag(gauge(*this->registry, "lavenderhall_loop_lag_seconds",
                    "How late the event loop was at most, in the last ten seconds or less"))
    , callerConnections(
          gauge(*this->registry, "lavenderhall_caller_connections", "Open connections of callers"))
    , refusedConnections(gaugeFamily(*this->registry, "lavenderhall_connections_refused",
                                     "Connections closed or not accepted as there was no room"))
    , tokens(counterFamily(*this->registry, "lavenderhall_tokens_total",
                           "Tokens by kind, as engines report them"))
{
    // A series that begins with its first count would hide that count from a rate.
    for (const StopOutcome outcome : StopOutcomes)
        this->stopped.Add({{"outcome", toString(outcome)}});
    for (const DiscardReason reason : DiscardReasons)
        this->discardedAnswers.Add({{"reason", toString(reason)}});
}

void Metrics::countAnswer(const std::string &kind, const std::string &outcome, int status)
{
    this->answers.Add({{"kind", kind}, {"outcome", outcome}, {"status", std::to_string(status)}})
        .Increment();
}

void Metrics::countRefusal(const std::string &reason)
{
    this->refusals.Add({{"reason", reason}}).Increment();
}

void Metrics::countUnreadableObjects(const std::string &kind, std::size_t count)
{
    this->unreadableObjects.Add({{"kind", kind}}).Increment(static_cast<double>(count));
}

void Metrics::countStopped(StopOutcome outcome)
{
    this->stopped.Add({{"outcome", toString(outcome)}}).Increment();
}

void Metrics::setDrainPhase(DrainPhase phase)
{
    this->drainPhase.Set(static_cast<double>(phase));
}

void Metrics::countAdmission(const std::string &service, int rank, const std::string &decision)
{
    this->admissions
        .Add({{"service", service}, {"rank", std::to_string(rank)}, {"decision", decision}})
        .Increment();
}

void Metrics::observeAdmissionWait(double seconds)
{
    this->admissionWait.Observe(seconds);
}

void Metrics::setWaiting(const std::string &service, int rank, double count)
{
    this->waiting.Add({{"service", service}, {"rank", std::to_string(rank)}}).Set(count);
}

void Metrics::countAttemptFailure(const std::string &endpoint)
{
    this->attemptFailures.Add({{"endpoint", endpoint}}).Increment();
}

void Metrics::countDiscardedAnswer(DiscardReason reason)
{
    this->discardedAnswers.Add({{"reason", toString(reason)}}).Increment();
}

void Metrics::setLostLogLines(LineClass lineClass, double total)
{
    this->lostLogLines.Add({{"class", toString(lineClass)}}).Set(total);
}

void Metrics::countResume()
{
    this->resumes.Increment();
}

void Metrics::observeFirstToken(double seconds)
{
    this->firstToken.Observe(seconds);
}

void Metrics::setConfigVersion(double version)
{
    this->configVersion.Set(version);
}

void Metrics::setConfigIssues(double count)
{
    this->configIssues.Set(count);
}

void Metrics::setOpenRequests(double count, double backlogBytes)
{
    this->openRequests.Set(count);
    this->backlog.Set(backlogBytes);
}

void Metrics::setStoreCalls(double total)
{
    this->storeCalls.Set(total);
}

void Metrics::setPeerTraffic(const LinkCounts &counts)
{
    const auto set = [](auto &family, const char *label, const char *value, std::uint64_t count) {
        family.Add({{label, value}}).Set(static_cast<double>(count));
    };
    set(this->peerMessages, "direction", "in", counts.messagesIn);
    set(this->peerMessages, "direction", "out", counts.messagesOut);
    set(this->peerMessages, "direction", "dropped", counts.messagesDropped);
    set(this->peerBytes, "direction", "in", counts.bytesIn);
    set(this->peerBytes, "direction", "out", counts.bytesOut);
    set(this->peerRefusals, "reason", "stranger", counts.unauthenticatedRefused);
    set(this->peerRefusals, "reason", "malformed", counts.malformedRefused);
}

void Metrics::setSeatsHeld(double count)
{
    this->seatsHeld.Set(count);
}

void Metrics::setProcessState(const ProcessState &state)
{
    this->openDescriptors.Set(static_cast<double>(state.openDescriptors));
    this->maxDescriptors.Set(static_cast<double>(state.maxDescriptors));
    this->residentBytes.Set(static_cast<double>(state.residentBytes));
}

void Metrics::setLoopLag(double seconds)
{
    this->loopLag.Set(seconds);
}

void Metrics::setCallerConnections(double count)
{
    this->callerConnections.Set(count);
}

void Metrics::setMemory(const http::MemoryBudget &budget)
{
    using http::MemoryKind;
    auto &held = gaugeFamily(*this->registry, "lavenderhall_memory_held_bytes",
                             "Bytes held of requests and answers, by kind");
    auto &refusals = gaugeFamily(*this->registry, "lavenderhall_memory_refusals",
                                 "Attempts to hold more that found no room so far, by kind, and "
                                 "slow readers whose connections were closed");
    for (const MemoryKind kind :
         {MemoryKind::Heads, MemoryKind::Bodies, MemoryKind::Answers, MemoryKind::Backlogs}) {
        const std::string name = http::toString(kind);
        held.Add({{"kind", name}}).Set(static_cast<double>(budget.usedBytes(kind)));
        refusals.Add({{"kind", name}}).Set(static_cast<double>(budget.refusals(kind)));
    }
    refusals.Add({{"kind", "slow_readers_disconnected"}})
        .Set(static_cast<double>(budget.disconnectedReaders()));
}

void Metrics::setRefusedConnections(const std::string &listener,
                                    const http::RefusedConnections &counts)
{
    const auto set = [&](const char *what, std::uint64_t count) {
        this->refusedConnections.Add({{"listener", listener}, {"what", what}})
            .Set(static_cast<double>(count));
    };
    set("closed_idle", counts.closedIdle);
    set("closed_stalled", counts.closedStalled);
    set("refused", counts.refused);
    set("accept_failed", counts.failedAccepts);
}

void Metrics::setPeers(double alive)
{
    this->peers.Set(alive);
}

void Metrics::countTokens(double prompt, double cached, double output)
{
    this->tokens.Add({{"kind", "prompt"}}).Increment(prompt);
    this->tokens.Add({{"kind", "cached"}}).Increment(cached);
    this->tokens.Add({{"kind", "output"}}).Increment(output);
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace lavenderhall
