#include "drain/drain.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// The balancer stops sending requests to an instance after two failed checks, one second apart. The
// rest is for a signal that the event loop handles late, and for connections that are on their way.
constexpr Millis BalancerDetectionTime{2500};
// With less than this part of the grace time left, a request has a better chance at another
// instance.
constexpr int BeginDivisor = 2;
// Requests that are still in progress are ended this long before the process would be killed, so
// that their callers get the answers. The process stops while there is time to free what it uses.
constexpr Millis LastAnswerMargin{500};
constexpr Millis StopMargin{250};
/// For callers to close the connections that this side has closed.
constexpr Millis CloseTime{1000};

} // namespace

const char *toString(StopOutcome outcome)
{
    switch (outcome) {
    case StopOutcome::Refused:
        return "refused";
    case StopOutcome::NotBegun:
        return "not_begun";
    case StopOutcome::Unknown:
        return "unknown";
    case StopOutcome::Cut:
        return "cut";
    }
    return "";
}

DrainTimings drainTimingsOf(Millis grace)
{
    DrainTimings timings;
    timings.beginTime = grace / BeginDivisor;
    timings.acceptTime = std::min(BalancerDetectionTime, timings.beginTime);
    timings.answerTime = std::max(timings.beginTime, grace - LastAnswerMargin);
    timings.stopTime = std::max(timings.answerTime, grace - StopMargin);
    return timings;
}

void Drain::begin(const DrainTimings &drainTimings, MonoTime since)
{
    if (this->startedAt)
        return;
    this->timings = drainTimings;
    this->startedAt = since;
    this->currentPhase = DrainPhase::Accepting;
    this->phaseBeganAt = since;
}

void Drain::hurry(MonoTime now)
{
    if (!this->startedAt)
        return;
    const auto elapsed = std::chrono::duration_cast<Millis>(now - *this->startedAt);
    this->timings.acceptTime = std::min(this->timings.acceptTime, elapsed);
    this->timings.beginTime = std::min(this->timings.beginTime, elapsed);
    this->timings.answerTime = std::min(this->timings.answerTime, elapsed);
    this->timings.stopTime = std::min(this->timings.stopTime, elapsed + StopMargin);
}

bool Drain::isOver(Millis time, MonoTime now) const
{
    return this->startedAt && now - *this->startedAt >= time;
}

bool Drain::refusesNew(MonoTime now) const
{
    return this->isOver(this->timings.acceptTime, now);
}

// A request whose own time ends before the drain does loses nothing by the drain.
bool Drain::refusesToBegin(MonoTime deadline, MonoTime now) const
{
    return this->isOver(this->timings.beginTime, now) && this->answerLimit(deadline) < deadline;
}

MonoTime Drain::answerLimit(MonoTime deadline) const
{
    return this->startedAt ? std::min(deadline, *this->startedAt + this->timings.answerTime)
                           : deadline;
}

bool Drain::endsRequests(MonoTime now) const
{
    return this->isOver(this->timings.answerTime, now);
}

DrainPhase Drain::advance(const OpenWork &work, MonoTime now)
{
    const DrainPhase next = this->nextPhase(work, now);
    if (next != this->currentPhase)
        this->phaseBeganAt = now;
    this->currentPhase = next;
    return next;
}

DrainPhase Drain::nextPhase(const OpenWork &work, MonoTime now) const
{
    const DrainPhase phase = this->currentPhase;
    if (phase == DrainPhase::Serving || phase == DrainPhase::Ended)
        return phase;
    if (this->isOver(this->timings.stopTime, now))
        return DrainPhase::Ended;
    if (phase == DrainPhase::Accepting)
        return this->refusesNew(now) ? DrainPhase::Refusing : phase;
    if (phase == DrainPhase::Refusing)
        return work.isIdle ? DrainPhase::Closing : phase;
    const bool isClosed = work.isIdle && work.connections == 0;
    return isClosed || now - this->phaseBeganAt >= CloseTime ? DrainPhase::Ended : phase;
}

} // namespace lavenderhall
