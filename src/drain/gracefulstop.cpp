#include "drain/gracefulstop.h"

#include "base/log.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace lavenderhall {

namespace {

constexpr Millis CheckInterval{50};

} // namespace

GracefulStop::GracefulStop(http::Loop &loop, Drain &drain, StopHooks hooks)
    : loop(loop)
    , drain(drain)
    , hooks(std::move(hooks))
{ }

OpenWork GracefulStop::openWork() const
{
    OpenWork work;
    work.isIdle = this->hooks.openRequests() == 0 && this->hooks.hasHandedOver();
    for (const http::Server *server : this->servers) {
        work.isIdle = work.isIdle && server->hasSentAll();
        work.connections += server->openSockets();
    }
    return work;
}

std::vector<LogField> GracefulStop::fields() const
{
    const MonoTime now = monoNow();
    const auto elapsed
        = std::chrono::duration_cast<Millis>(now - this->drain.beganAt().value_or(now));
    return {{"drain_ms", elapsed.count()},
            {"open_requests", this->hooks.openRequests()},
            {"connections", this->openWork().connections},
            {"loop_lag_ms", this->hooks.loopLag().count()}};
}

// The platform's time runs from the signal, which a busy loop handles late.
void GracefulStop::begin(const DrainTimings &timings, const std::string &cause, MonoTime askedAt)
{
    if (this->drain.beganAt())
        return;
    this->drain.begin(timings, askedAt);
    for (http::Server *server : this->servers)
        server->closeAfterAnswers();
    std::vector<LogField> line = this->fields();
    line.push_back({"cause", cause});
    line.push_back({"accept_ms", timings.acceptTime.count()});
    line.push_back({"answer_ms", timings.answerTime.count()});
    logEvent(LogLevel::Info, LineClass::Stop, "drain_began", line);
    this->check();
}

// A platform may send SIGTERM more than once, which changes nothing. Signals may come faster than
// they could be logged, and the event loop handles all that wait before it goes on.
void GracefulStop::onSignalRepeated(int signal)
{
    if (!this->repeatedSignals.insert(signal).second)
        return;
    std::vector<LogField> line = this->fields();
    line.push_back({"signal", http::stopSignalName(signal)});
    logEvent(LogLevel::Info, LineClass::Stop, "stop_signal_repeated", line);
    if (signal != SIGINT)
        return;
    this->drain.hurry(monoNow());
    this->check();
}

void GracefulStop::check()
{
    const MonoTime now = monoNow();
    if (this->drain.endsRequests(now))
        this->endRequests();
    const OpenWork work = this->openWork();
    this->wasIdle = work.isIdle;
    const DrainPhase before = this->drain.phase();
    const DrainPhase phase = this->drain.advance(work, now);
    if (phase != before)
        this->onPhase(phase);
    this->closeConnections();
    if (phase != DrainPhase::Ended)
        this->timer = this->loop.afterEvents(CheckInterval, [this] { this->check(); });
}

// The lines of the requests that end follow, so that their cause precedes them.
void GracefulStop::endRequests()
{
    const std::size_t open = this->hooks.openRequests();
    if (open == 0)
        return;
    if (!this->hasEndedRequests)
        logEvent(LogLevel::Info, LineClass::Stop, "drain_ends_requests", this->fields());
    this->hasEndedRequests = true;
    this->hooks.endRequests();
    this->endedRequests += open - std::min(open, this->hooks.openRequests());
}

void GracefulStop::onPhase(DrainPhase phase)
{
    if (phase == DrainPhase::Ended)
        return this->loop.stop();
    const bool isClosing = phase == DrainPhase::Closing;
    logEvent(LogLevel::Info, LineClass::Stop, isClosing ? "drain_closes" : "drain_refuses_new",
             this->fields());
    if (!isClosing)
        return;
    for (http::Server *server : this->servers)
        server->stopListening();
}

// Repeated, as a connection whose request may be on its way is left open.
void GracefulStop::closeConnections()
{
    if (this->drain.phase() < DrainPhase::Refusing)
        return;
    for (http::Server *server : this->servers)
        server->closeIdleConnections();
}

void GracefulStop::logEnd() const
{
    std::vector<LogField> line = this->fields();
    const bool isIdle = this->wasIdle && !this->hasEndedRequests;
    line.push_back({"cause", isIdle ? "idle" : "grace_over"});
    line.push_back({"ended_requests", this->endedRequests});
    logEvent(LogLevel::Info, LineClass::Stop, "stopped", line);
}

} // namespace lavenderhall
