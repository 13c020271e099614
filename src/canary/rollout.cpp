#include "canary/rollout.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lavenderhall {

namespace {

/// The share until a part of the order's time is over.
struct ExposureStep
{
    double until = 0; ///< part of the time
    double factor = 0; ///< share, as a multiple of the exposure that is allowed on the whole
};

// The first four use 0.85 of the exposure allowed in the whole time. The fourth is a short load
// test, for versions that are bad only under load. The fifth lasts until the decision, while the
// answers to the load test arrive.
constexpr std::array<ExposureStep, 5> Steps{
    {{0.30, 0.4}, {0.45, 1}, {0.53, 2}, {0.60, 6}, {1, 0.2}}};
constexpr double MaxShare = 0.6;
constexpr double DecisionPart = 0.66; ///< of the time, until all traffic may move
constexpr double LastDecisionPart = 0.72; ///< from then on, MinAnswers are enough
constexpr double LastEndPart = 0.94; ///< then requests at old endpoints are no longer waited for
constexpr std::int64_t EnoughAnswers = 60;
constexpr std::int64_t MinAnswers = 10; ///< with fewer, the version has not been tested
constexpr Millis DecisionLifetime{3000}; ///< without news, the share falls to 0
// Instances that have been silent for longer are out of reach.
constexpr Millis PeerLifetime{1500};
constexpr Millis MinShiftTime{700}; ///< until all instances have heard of the shift
// A longer age says that the sender's clock is wrong, not that the order is older than known here.
constexpr Millis MaxReportedAge{1'000'000};

} // namespace

const char *toString(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Canary:
        return "canary";
    case RolloutPhase::Shift:
        return "shift";
    case RolloutPhase::Stopped:
        return "stopped";
    }
    return "canary";
}

ServiceRollout::ServiceRollout(CountSender self, ServiceOrder order, double exposureShare,
                               MonoTime now)
    : self(std::move(self))
    , currentOrder(std::move(order))
    , exposureShare(exposureShare)
    , startedAt(now)
    , knownSince(now)
{
    this->onStatus(this->currentOrder.state);
}

// A store that came back from an older copy may have lost the end, and the holder then writes it
// again.
void ServiceRollout::onStatus(RolloutState state)
{
    this->stored = state;
    if (isEnd(state) && !this->isEnded())
        this->end = state;
}

Millis ServiceRollout::age(MonoTime now) const
{
    return std::chrono::duration_cast<Millis>(now - this->startedAt);
}

double ServiceRollout::elapsedPart(MonoTime now) const
{
    return static_cast<double>(this->age(now).count())
        / static_cast<double>(std::max<std::int64_t>(1, this->currentOrder.duration.count()));
}

bool ServiceRollout::isFresh(MonoTime now) const
{
    return this->current.fence > 0 && now - this->current.confirmedAt < DecisionLifetime;
}

// Decisions are passed on by all instances. Those of a later holder replace those of an earlier
// one, and later decisions of one holder earlier ones.
void ServiceRollout::onReport(const RolloutReport &report, MonoTime now)
{
    if (report.sender == this->self)
        return;
    this->bad = this->bad || report.isBad;
    if (!this->observations.merge(report.sender, report.number, report.counts, now))
        return;
    const bool isOlderStart = report.age > this->age(now) && report.age < MaxReportedAge;
    if (isOlderStart)
        this->startedAt = now - report.age;
    this->peers[report.sender]
        = {report.decision.phase, report.oldInFlight, report.requests, report.exposed, now};
    const PhaseDecision &heard = report.decision;
    const bool isNewer = heard.fence > this->current.fence
        || (heard.fence == this->current.fence && heard.fence != this->ownFence
            && heard.confirmedAt > this->current.confirmedAt);
    if (isNewer)
        this->current = heard;
}

void ServiceRollout::onSent(const std::string &build, bool isFirst)
{
    if (this->isEnded())
        return;
    if (isFirst)
        this->exposure.onRequest();
    if (build == this->currentOrder.to)
        this->exposure.onExposed();
}

void ServiceRollout::onAnswered(const std::string &build, const std::string &route, bool isFailure,
                                Micros time)
{
    if (this->isEnded())
        return;
    ComparedCounts &counts = this->ownCounts[route];
    VersionCounts &version = build == this->currentOrder.to ? counts.candidate : counts.baseline;
    ++version.answers;
    // How long failures take says nothing about the speed.
    if (isFailure)
        ++version.failures;
    else
        ++version.latency[latencyBucket(time)];
}

bool ServiceRollout::mayExpose(double draw, double slack, MonoTime now) const
{
    if (this->isEnded() || this->bad || !this->isFresh(now)
        || this->current.phase != RolloutPhase::Canary || draw >= this->current.share)
        return false;
    const auto known = std::chrono::duration_cast<Millis>(now - this->knownSince);
    const Millis left = this->currentOrder.duration - this->age(now);
    return this->exposure.hasRoom({this->exposureShare, slack}, known, left);
}

bool ServiceRollout::isShifted(MonoTime now) const
{
    if (this->isEnded())
        return this->end == RolloutState::Completed;
    return !this->bad && this->isFresh(now) && this->current.phase == RolloutPhase::Shift;
}

std::optional<RolloutState> ServiceRollout::wantedStatus() const
{
    RolloutState wanted = RolloutState::Running;
    if (this->isEnded())
        wanted = this->end;
    else if (this->intended != RolloutState::None)
        wanted = this->intended;
    return wanted == this->stored ? std::nullopt : std::optional(wanted);
}

RolloutReport ServiceRollout::nextReport(MonoTime now)
{
    RolloutReport report;
    report.sender = this->self;
    report.number = ++this->number;
    report.age = this->age(now);
    report.decision = this->current;
    report.isBad = this->bad;
    report.oldInFlight = this->oldInFlight;
    report.requests = this->exposure.requestCount();
    report.exposed = this->exposure.exposedCount();
    report.counts = this->ownCounts;
    this->observations.merge(this->self, report.number, report.counts, now);
    return report;
}

ExposureSum ServiceRollout::exposureSum() const
{
    ExposureSum sum{this->exposure.requestCount(), this->exposure.exposedCount()};
    for (const auto &[sender, peer] : this->peers) {
        sum.requests += peer.requests;
        sum.exposed += peer.exposed;
    }
    return sum;
}

void ServiceRollout::onTick(const RolloutInput &input, MonoTime now)
{
    this->oldInFlight = input.oldInFlight;
    if (this->isEnded())
        return;
    if (!this->bad) {
        this->lastVerdict = judge(this->observations);
        this->bad = this->lastVerdict.judgement == Judgement::Bad;
    }
    if (input.isHolder)
        this->decide(input, now);
    // While the store is out of reach, nobody holds the lease, and the last decision stays.
    const bool isOwnDecision = this->ownFence > 0 && this->current.fence == this->ownFence;
    if (isOwnDecision)
        this->current.confirmedAt = now;
}

void ServiceRollout::stop(std::string reason)
{
    this->current.phase = RolloutPhase::Stopped;
    this->current.share = 0;
    if (this->intended != RolloutState::None)
        return;
    this->intended = RolloutState::RolledBack;
    this->endReason = std::move(reason);
}

// An end that this instance has begun to write stays, as the write may take effect late. If another
// end is in the store first, that one counts.
void ServiceRollout::decide(const RolloutInput &input, MonoTime now)
{
    const bool isTakenOver = this->current.fence != input.fence;
    this->current.fence = input.fence;
    this->ownFence = input.fence;
    if (isTakenOver && this->current.phase == RolloutPhase::Shift)
        this->shiftedAt = now;
    if (this->intended == RolloutState::Completed)
        return;
    if (this->bad)
        return this->stop("bad");
    const double elapsed = this->elapsedPart(now);
    switch (this->current.phase) {
    case RolloutPhase::Canary:
        this->decideCanary(input, elapsed);
        if (this->current.phase == RolloutPhase::Shift)
            this->shiftedAt = now;
        return;
    case RolloutPhase::Shift:
        if (now - this->shiftedAt < MinShiftTime
            || (!this->isDrained(now) && elapsed < LastEndPart))
            return;
        this->intended = RolloutState::Completed;
        if (!this->isDrained(now))
            this->endReason += "_not_drained";
        return;
    case RolloutPhase::Stopped:
        // The earlier holder may have known more.
        return this->stop("stopped_by_earlier_holder");
    }
}

double ServiceRollout::stepShare(double elapsed) const
{
    for (const ExposureStep &step : Steps) {
        if (elapsed < step.until)
            return std::min(MaxShare, step.factor * this->exposureShare);
    }
    return 0;
}

void ServiceRollout::decideCanary(const RolloutInput &input, double elapsed)
{
    const Verdict &verdict = this->lastVerdict;
    const bool isSuspicious = verdict.judgement != Judgement::NoDifference;
    const bool isGood = !isSuspicious && verdict.candidateAnswers >= EnoughAnswers;
    const double share = input.hasCandidates ? this->stepShare(elapsed) : 0;
    // While the verdict is unclear, the share does not grow.
    this->current.share
        = isSuspicious && this->current.share > 0 ? std::min(share, this->current.share) : share;
    if (elapsed < DecisionPart || (!isGood && elapsed < LastDecisionPart))
        return;
    if (isSuspicious)
        return this->stop("suspicious");
    if (verdict.candidateAnswers < MinAnswers)
        return this->stop("no_evidence");
    this->endReason = isGood ? "good" : "few_answers";
    this->current.phase = RolloutPhase::Shift;
    this->current.share = 1;
}

bool ServiceRollout::isDrained(MonoTime now) const
{
    return this->oldInFlight == 0
        && std::all_of(this->peers.begin(), this->peers.end(), [now](const auto &entry) {
               const Peer &peer = entry.second;
               const bool isReachable = now - peer.heardAt < PeerLifetime;
               return !isReachable || (peer.phase == RolloutPhase::Shift && peer.oldInFlight == 0);
           });
}

} // namespace lavenderhall
