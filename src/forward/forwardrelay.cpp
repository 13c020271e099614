#include "forward/forwardcall.h"

#include "base/log.h"

#include <algorithm>

/// The part of ForwardCall that has another instance serve a request.
namespace lavenderhall {

namespace {

constexpr std::size_t MaxRelays = 3; ///< instances that one request is sent to
/// Attempts without a connection, each of which may take its whole timeout, before another instance
/// is asked.
constexpr int MaxUnsentAttempts = 2;
constexpr Millis MinRelayTime{60}; ///< with less time left, another instance cannot help
/// A request that was sent since may find out that the cut is over.
constexpr Millis MinHangTime{400};

} // namespace

bool ForwardCall::isCutOff() const
{
    const std::size_t endpoints = this->context.selector.endpointCount(this->service);
    return this->context.reach.isCutOff(this->service, endpoints, monoNow());
}

// A request that another instance has sent here goes back to it, unless it may have run.
bool ForwardCall::mayRelay() const
{
    return !this->isStreaming && this->retryState.mayRunMore(1)
        && (this->isFromCaller() || !this->retryState.mayHaveRun());
}

bool ForwardCall::shouldRelay() const
{
    if (!this->mayRelay())
        return false;
    if (this->isFromCaller() && this->retryState.unsentAttempts() >= MaxUnsentAttempts)
        return true;
    if (!this->isCutOff())
        return false;
    // A request that has already failed here has been a probe, and another instance's is none.
    return !this->isFromCaller() || this->retryState.attempts() > 0
        || !this->context.reach.takeProbe(this->service, this->route->mayRepeat(), monoNow());
}

// An instance is asked once: on its connections, copies of the refusals of the first time may wait,
// and they bear the id of this request.
std::vector<Address> ForwardCall::unaskedInstances() const
{
    std::vector<Address> instances = this->context.relayInstances();
    std::erase_if(instances, [this](const Address &instance) {
        return std::find(this->askedInstances.begin(), this->askedInstances.end(), instance)
            != this->askedInstances.end();
    });
    return instances;
}

// The other instance asks for the tokens of the request itself.
bool ForwardCall::relay()
{
    const MonoTime now = monoNow();
    const auto timeLeft = std::chrono::duration_cast<Millis>(this->deadline - now);
    if (!this->isFromCaller()) {
        this->refuse({UnableStatus, "endpoints_out_of_reach", {}});
        return true;
    }
    if (this->askedInstances.size() >= MaxRelays || timeLeft < MinRelayTime)
        return false;
    const auto instance
        = this->context.relayTargets.choose(this->unaskedInstances(), this->context.random(), now);
    if (!instance)
        return false;
    this->releaseTokens();
    this->forgetUnbegunStream();
    this->askedInstances.push_back(*instance);
    logEvent(LogLevel::Info, LineClass::Failure, "request_relayed",
             {{"request", this->request.id},
              {"service", this->service},
              {"to", instance->toString()},
              {"cut_off", this->isCutOff() ? 1 : 0},
              {"attempts", this->retryState.attempts()},
              {"unsent", this->retryState.unsentAttempts()},
              {"relays", this->askedInstances.size()},
              {"time_left_ms", timeLeft.count()}});
    this->relayInstance = *instance;
    this->context.relayTargets.onSent(*instance);
    const auto onEnd = [self = this->shared_from_this()](const RelayResult &result) {
        self->onRelayEnd(result);
    };
    this->activeRelay
        = std::make_shared<Relay>(this->context.adapter, this->exchange, this->request.id,
                                  this->retryState.mayHaveRun(), onEnd);
    this->activeRelay->start(this->context.client, *instance, timeLeft, this->request.body);
    return true;
}

bool ForwardCall::relayAsRetry()
{
    const MonoTime now = monoNow();
    if (!this->shouldRelay() || !this->context.budget.allowsRetry(this->service, now)
        || !this->relay())
        return false;
    this->context.budget.onRetry(this->service, now);
    return true;
}

void ForwardCall::cancelRelay()
{
    if (!this->activeRelay)
        return;
    this->activeRelay->cancel();
    this->activeRelay.reset();
    this->context.relayTargets.onEnded(this->relayInstance);
}

void ForwardCall::logRelayEnd(const RelayResult &result) const
{
    logEvent(LogLevel::Info, LineClass::Failure, "relay_ended",
             {{"request", this->request.id},
              {"to", this->relayInstance.toString()},
              {"end", toString(result.kind)},
              {"status", result.head.status},
              {"answer_id", toString(answerOwner(result.head, this->request.id))},
              {"sealed", result.head.isSealed ? 1 : 0},
              {"reason", result.reason},
              {"connection", result.usedConnection.number},
              {"earlier_answers", result.usedConnection.earlierAnswers},
              {"skipped_connections", result.usedConnection.skippedConnections}});
}

void ForwardCall::onRelayEnd(const RelayResult &result)
{
    this->logRelayEnd(result);
    if (answerOwner(result.head, this->request.id) != AnswerOwner::NoAnswer)
        this->countDiscarded(instanceStatement(result.head, this->request.id));
    this->activeRelay.reset();
    this->context.relayTargets.onEnded(this->relayInstance);
    if (this->isFinished)
        return;
    switch (result.kind) {
    case RelayResult::Kind::Answered:
        return this->finish(result.head.status, "relayed");
    case RelayResult::Kind::Broken:
        return this->finish(0, "broken_stream");
    case RelayResult::Kind::Unknown:
        return this->fail("relay_broken");
    case RelayResult::Kind::NotRun:
        break;
    }
    this->context.relayTargets.onUnable(this->relayInstance, monoNow());
    if (this->relay())
        return;
    if (this->retryState.mayHaveRun())
        return this->fail("endpoints_out_of_reach");
    this->refuse(this->noEndpointRefusal("endpoints_out_of_reach"));
}

// An endpoint that refuses a connection, or resets it before it has answered, cannot be told from
// one that is cut off. One that sends bytes is in reach, even if they are no answer.
void ForwardCall::recordReach(const http::CallFailure &failure)
{
    if (failure.bytesReceived)
        return;
    this->context.reach.onUnreachable(this->service, this->choice.endpointId, monoNow());
    if (this->isCutOff())
        this->context.onCutOff(this->service);
}

// Nothing comes back on the connections that were open when the cut began.
void ForwardCall::onCutOff(const std::string &cutOffService)
{
    const MonoTime now = monoNow();
    const bool isWaiting = !this->isFinished && this->call && !this->hasBegun;
    if (!isWaiting || this->service != cutOffService || now - this->sentAt < MinHangTime)
        return;
    const bool mayRunElsewhere = this->mayRelay() && this->retryState.mayRunMore(2)
        && this->context.budget.allowsRetry(this->service, now);
    if (mayRunElsewhere && !this->context.relayInstances().empty())
        this->giveUpAttempt("endpoints_out_of_reach");
}

} // namespace lavenderhall
