#pragma once

#include "base/log.h"
#include "drain/drain.h"
#include "http/loop.h"
#include "http/server.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

/// Carries out the drain of an instance.
namespace lavenderhall {

/// The parts of an instance that a stop concerns, beside its servers.
struct StopHooks
{
    std::function<std::size_t()> openRequests; ///< returns the number of requests in progress
    std::function<bool()> hasHandedOver; ///< whether other instances have what this one decided
    std::function<Millis()> loopLag; ///< how late the event loop was lately
    std::function<void()> endRequests; ///< ends requests in progress, if possible with an answer
};

/// Takes an instance through the phases of its drain, with a log line on each, and stops the loop
/// at the end.
class GracefulStop
{
public:
    GracefulStop(http::Loop &loop, Drain &drain, StopHooks hooks);

    /// Adds a server to be closed, which must exist until the end.
    void addServer(http::Server &server) { this->servers.push_back(&server); }
    /// Begins, unless it has begun. The stop was asked for at \a askedAt or later. \a cause is for
    /// the log.
    void begin(const DrainTimings &timings, const std::string &cause, MonoTime askedAt);
    /// A signal asks to stop again. SIGINT, as from an impatient operator, shortens the drain; what
    /// follows of the same signal is ignored.
    void onSignalRepeated(int signal);
    /// Logs that the process ends.
    void logEnd() const;

private:
    OpenWork openWork() const;
    /// Checks periodically which phase is due.
    void check();
    void onPhase(DrainPhase phase);
    /// Closes the connections that are between two requests, once new requests are refused.
    void closeConnections();
    /// Ends the requests in progress, if any.
    void endRequests();
    /// Returns the fields that the log lines on a drain have in common.
    std::vector<LogField> fields() const;

    http::Loop &loop;
    Drain &drain;
    StopHooks hooks;
    std::vector<http::Server *> servers;
    http::Timer timer;
    bool wasIdle = false; ///< at the last check
    bool hasEndedRequests = false; ///< some were in progress when their time was over
    std::size_t endedRequests = 0;
    std::set<int> repeatedSignals; ///< that have been handled
};

} // namespace lavenderhall
