#include "forward/forwardcall.h"

#include "base/log.h"
#include "forward/buffering.h"

/// The part of ForwardCall that handles the endpoints' answers.
namespace lavenderhall {

namespace {

// How long an endpoint is avoided after it has refused a request. An engine is avoided for longer,
// as it may be loading weights.
constexpr Millis RefusalAvoidance{250};
constexpr Millis EngineRefusalAvoidance{600};
// How long an endpoint of a brittle service gets no request after it has rejected one; rejections
// are counted by the second.
constexpr Millis BrittlePause{1000};
// How long an endpoint is avoided after a broken answer or a failed connection.
constexpr Millis BrokenAvoidance{1000};
// HTTP status: the address belongs to another endpoint now, or the engine runs weights other than
// those that the request requires.
constexpr int MisdirectedRequest = 421;
constexpr int FirstServerError = 500; ///< HTTP status

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

// For the log, as a header may be long.
std::string excerpt(const std::string &text)
{
    constexpr std::size_t MaxBytes = 40;
    return text.substr(0, MaxBytes);
}

std::string joined(const std::vector<PartId> &parts)
{
    std::string text;
    for (const PartId &part : parts) {
        text += text.empty() ? "" : ",";
        text += part;
    }
    return text;
}

} // namespace

// An endpoint may send an answer twice, and the second copy then comes where the answer to the next
// request on the connection is expected. Only the id tells the two apart, also for an answer which
// states that its request has not run: this one may be running. An answer that contradicts itself
// is put together from several. The connection is closed, as the answers on it belong to other
// requests from now on.
void ForwardCall::onHead(int status, const http::Headers &headers)
{
    this->head = this->context.adapter.readAnswerHead(status, headers);
    this->context.reach.onHeard(this->service, this->choice.endpointId, monoNow());
    this->statement = endpointStatement(this->head, this->request.id);
    this->countDiscarded(this->statement);
    if (this->statement == RunStatement::None)
        return this->giveUpAttempt("foreign_answer");
    if (this->statement == RunStatement::Contradictory)
        return this->giveUpAttempt("contradictory_answer");
    if (!this->isStreaming && isSuccess(status))
        this->streamWeights
            = this->head.weightsVersion ? this->head.weightsVersion : this->expectedWeights;
    this->recordWeights();
    this->recordNotices();
    if (status != MisdirectedRequest)
        this->context.crashMonitor.onEndpointAlive(this->incarnation, monoNow());
}

void ForwardCall::countDiscarded(RunStatement made) const
{
    if (made == RunStatement::None)
        this->context.metrics.countDiscardedAnswer(DiscardReason::Foreign);
    else if (made == RunStatement::Contradictory)
        this->context.metrics.countDiscardedAnswer(DiscardReason::Contradictory);
}

// Answers state which weights were used. An engine that refuses because of its weights runs a
// version other than the recorded one, which stays unknown until the engine reports it.
void ForwardCall::recordWeights()
{
    if (this->request.model.empty())
        return;
    const std::string &id = this->choice.endpointId;
    if (this->head.status == MisdirectedRequest && this->expectedWeights)
        return this->context.selector.onWeightsUnknown(id, this->request.model);
    if (this->head.weightsVersion)
        this->context.selector.onWeightsLoaded(id, this->request.model, *this->head.weightsVersion);
}

// The answer to a misdirected request comes from another endpoint.
void ForwardCall::recordNotices()
{
    if (this->head.status == MisdirectedRequest)
        return;
    const std::string &id = this->choice.endpointId;
    if (this->head.isLeaving)
        this->context.onEndpointLeaving(id);
    if (this->head.pause)
        this->context.selector.onPauseRequested(id, *this->head.pause, monoNow());
    this->recordLimit();
    this->recordBrittleness();
}

// An endpoint may leave the limit out of an answer by which it refuses a request.
void ForwardCall::recordLimit()
{
    LimitMonitor &monitor = this->context.limitMonitor;
    const MonoTime now = monoNow();
    if (this->head.limit.kind != LimitStatement::Kind::None)
        monitor.onNamed(this->incarnation, this->head.limit, now);
    else if (isSuccess(this->head.status) && this->head.isSealed)
        monitor.onNoneNamed(this->incarnation, this->sentAt, now);
}

// Another request that the endpoint has no room for may make it fall over.
void ForwardCall::recordBrittleness()
{
    const MonoTime now = monoNow();
    EndpointSelector &selector = this->context.selector;
    const bool isRejection = this->statement == RunStatement::NotRun;
    if (this->head.isBrittle && isRejection)
        selector.onPauseRequested(this->choice.endpointId, BrittlePause, now);
    if (this->head.isBrittle)
        selector.brittle().onStated(this->service, now);
    else if (isSuccess(this->head.status) && this->head.isSealed)
        selector.brittle().onNotStated(this->service, this->sentAt);
}

void ForwardCall::onData(std::string_view data)
{
    if (this->isFinished)
        return;
    this->reportAnswer();
    const bool isFirstData = !std::exchange(this->isPrefillDone, true);
    if (isFirstData) {
        this->startLimitTimer.cancel();
        this->context.selector.onPrefillDone(this->choice.endpointId, this->uncachedTokens);
        if (isSuccess(this->head.status))
            this->callAdmission.onFirstEvent(monoNow());
    }
    const bool isStream = this->route->kind == RequestKind::Stream && isSuccess(this->head.status)
        && this->head.isSealed;
    if (isFirstData && isStream)
        this->context.selector.onFirstEvent(this->choice, this->chain, monoNow() - this->sentAt);
    if (isStream)
        return this->onStreamData(data);
    if (isSuccess(this->head.status) && this->head.isSealed)
        this->onAnswerBegun();
    if (this->body.size() + data.size() > MaxBufferedBytes)
        return this->giveUpAttempt("answer_too_large");
    if (!this->exchange->holdAnswer(this->body.size() + data.size()))
        return this->giveUpAnswer();
    this->body.append(data);
}

// A refusal that states that the request has not run is no failure. An answer without a seal may
// come from something else.
void ForwardCall::reportAnswer()
{
    const bool isCounted = this->statement != RunStatement::NotRun
        && (this->head.isSealed || !isSuccess(this->head.status))
        && this->head.status != MisdirectedRequest;
    if (!this->context.rollouts.onAnswered || !isCounted
        || std::exchange(this->isAnswerReported, true))
        return;
    this->context.rollouts.onAnswered({this->service, this->choice.build, this->route->name,
                                       this->head.status >= FirstServerError,
                                       monoNow() - this->sentAt});
}

void ForwardCall::onAnswerBegun()
{
    if (std::exchange(this->hasBegun, true))
        return;
    this->context.crashMonitor.onAnswerBegun(this->incarnation, this->signature, monoNow());
}

void ForwardCall::onStreamData(std::string_view data)
{
    for (RawEvent &event : this->splitter.feed(data)) {
        this->onAnswerBegun();
        const auto number = parseEventNumber(event.id);
        // A resumed stream may repeat events that the caller has received.
        if (number && *number <= this->lastEvent)
            continue;
        if (!this->isStreaming)
            this->beginStream();
        if (number) {
            this->lastEvent = *number;
            this->lastEventId = event.id;
        }
        this->exchange->write(event.bytes);
    }
    if (this->splitter.isEventTooLong())
        return this->giveUpAttempt("event_too_large");
    if (this->exchange->backlog() <= PauseBacklogBytes || this->isPaused || !this->call)
        return;
    this->isPaused = true;
    this->call->setReading(false);
}

void ForwardCall::beginStream()
{
    this->isStreaming = true;
    this->streamBuild = this->choice.build;
    const auto elapsed = std::chrono::duration<double>(monoNow() - this->arrivedAt).count();
    this->context.metrics.observeFirstToken(elapsed);
    this->exchange->begin(this->head.status, this->head.headers);
    this->exchange->onDrained([weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->isPaused || !self->call)
            return;
        self->isPaused = false;
        self->call->setReading(true);
    });
}

void ForwardCall::onAnswerEnd()
{
    const bool hasEndedByClose = this->call && this->call->hasEndedByClose();
    this->call = nullptr;
    if (this->isFinished)
        return;
    this->reportAnswer();
    if (this->statement == RunStatement::NotRun)
        return this->endAttempt(AttemptOutcome::Refused,
                                "status_" + std::to_string(this->head.status));
    if (promisesNotRun(this->head.status))
        return this->endAttempt(AttemptOutcome::UnstatedRefusal,
                                "status_" + std::to_string(this->head.status));
    if (!isSuccess(this->head.status))
        return this->endAttempt(AttemptOutcome::Failed,
                                "status_" + std::to_string(this->head.status));
    if (!this->head.isSealed)
        return this->endAttempt(AttemptOutcome::Broken, "no_seal");
    if (!this->splitter.incompleteEvent().empty())
        return this->endAttempt(AttemptOutcome::Broken, "half_event");
    // An engine that crashes before its first event ends its answer in the same way.
    if (this->route->kind == RequestKind::Stream && hasEndedByClose && !this->hasBegun) {
        this->context.crashMonitor.onAttemptLost(this->incarnation, this->signature, this->sentAt,
                                                 monoNow());
        return this->endAttempt(AttemptOutcome::Broken, "no_event");
    }
    this->endAttempt(AttemptOutcome::Succeeded, "");
}

void ForwardCall::onCallFailed(const http::CallFailure &failure)
{
    this->call = nullptr;
    if (this->isFinished)
        return;
    this->recordReach(failure);
    if (failure.mayHaveBeenSent && failure.connectionLost && !this->hasBegun)
        this->context.crashMonitor.onAttemptLost(this->incarnation, this->signature, this->sentAt,
                                                 monoNow());
    if (!failure.mayHaveBeenSent)
        return this->endAttempt(AttemptOutcome::NeverSent, failure.reason);
    this->endAttempt(AttemptOutcome::Broken, failure.reason);
}

void ForwardCall::avoidEndpoint(AttemptOutcome outcome)
{
    const MonoTime now = monoNow();
    const bool isEngine = !this->request.model.empty();
    // If the attempt required no weights, the refusal means that the address belongs to another
    // endpoint.
    const bool isEndpointReplaced
        = this->head.status == MisdirectedRequest && !this->expectedWeights;
    if (outcome == AttemptOutcome::Refused && isEndpointReplaced)
        return this->context.onEndpointReplaced(this->choice.endpointId);
    if (outcome == AttemptOutcome::Refused)
        this->context.selector.avoid(this->choice.endpointId,
                                     now + (isEngine ? EngineRefusalAvoidance : RefusalAvoidance));
    else if (outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::NeverSent)
        this->context.selector.avoid(this->choice.endpointId, now + BrokenAvoidance);
}

void ForwardCall::releaseAttempt()
{
    this->startLimitTimer.cancel();
    if (this->choice.endpointId.empty())
        return;
    if (!this->isPrefillDone)
        this->context.selector.onPrefillDone(this->choice.endpointId, this->uncachedTokens);
    this->context.selector.onRequestEnded(this->choice.endpointId);
    this->callAdmission.onAttemptEnded(monoNow());
    this->choice.endpointId.clear();
}

void ForwardCall::logFailedAttempt(AttemptOutcome outcome, const std::string &reason) const
{
    this->context.metrics.countAttemptFailure(toString(outcome));
    const bool mayHaveCrashed = outcome == AttemptOutcome::Broken && !this->hasBegun;
    std::vector<LogField> fields{
        {"request", this->request.id},
        {"endpoint", this->choice.endpointId},
        {"end", toString(outcome)},
        {"reason", reason},
        {"begun", this->hasBegun ? 1 : 0},
        {"answer_id", toString(answerOwner(this->head, this->request.id))},
        {"sealed", this->head.isSealed ? 1 : 0},
        {"statement", toString(this->statement)},
        {"not_run_text", excerpt(this->head.notRunText)},
        {"repeated_header", this->head.repeatedHeader},
        {"shared_parts", joined(this->signature.sharedParts())},
        {"fingerprint", mayHaveCrashed ? this->signature.fingerprint() : std::string()},
        {"table", this->table->version()}};
    this->addConnection(fields);
    logEvent(LogLevel::Info, LineClass::Failure, "attempt_failed", fields);
}

void ForwardCall::endAttempt(AttemptOutcome outcome, const std::string &reason)
{
    if (outcome != AttemptOutcome::Succeeded)
        this->logFailedAttempt(outcome, reason);
    this->avoidEndpoint(outcome);
    this->releaseAttempt();
    if (this->isStreaming && outcome != AttemptOutcome::Succeeded)
        return this->resumeOrAbortStream(reason);
    switch (this->retryState.onAttemptEnd(outcome, this->retryConditions())) {
    case RetryDecision::Retry:
        if (this->retryState.hasReachedEndpoint())
            this->context.budget.onRetry(this->service, monoNow());
        return this->startAttempt();
    case RetryDecision::PassOn:
        return this->forwardAnswer();
    case RetryDecision::Refuse:
        if (outcome == AttemptOutcome::NeverSent && this->relay())
            return;
        return this->refuse(this->noEndpointRefusal("endpoints_refuse"));
    case RetryDecision::Fail:
        if (this->relayAsRetry())
            return;
        return this->fail(reason);
    }
}

void ForwardCall::fail(const std::string &reason)
{
    if (this->isStreaming) {
        this->exchange->abort();
        return this->finish(0, "broken_stream");
    }
    this->exchange->respond(
        this->context.adapter.writeRefusal({502, reason, {}}, this->request.id));
    this->finish(502, "unknown");
}

// The caller has received part of the stream and keeps it, so another attempt may only continue
// after that part.
void ForwardCall::resumeOrAbortStream(const std::string &reason)
{
    if (this->retryState.mayResume(this->retryConditions()) && !this->lastEventId.empty()) {
        this->context.budget.onRetry(this->service, monoNow());
        this->context.metrics.countResume();
        logEvent(LogLevel::Info, LineClass::Failure, "stream_resumed",
                 {{"request", this->request.id}, {"after", this->lastEventId}, {"reason", reason}});
        return this->startAttempt();
    }
    this->fail(reason);
}

void ForwardCall::forwardAnswer()
{
    if (this->isStreaming) {
        this->exchange->end();
        return this->finish(this->head.status, "ran");
    }
    this->exchange->respond({this->head.status, this->head.headers, std::move(this->body)});
    this->finish(this->head.status, "ran");
}

void ForwardCall::cancelAttempt()
{
    this->cancelRelay();
    if (this->call)
        this->call->cancel();
    this->call = nullptr;
    this->releaseAttempt();
}

// Another attempt would need the same memory, and the endpoint is not at fault.
void ForwardCall::giveUpAnswer()
{
    constexpr const char *Reason = "no_memory_for_answer";
    if (this->isFinished)
        return;
    this->logFailedAttempt(AttemptOutcome::Broken, Reason);
    this->abandonAttempt();
    this->fail(Reason);
}

void ForwardCall::abandonAttempt()
{
    if (this->call) {
        this->retryState.onAttemptAbandoned();
        this->callAdmission.onGivenUp(monoNow());
    }
    this->cancelAttempt();
}

// The engine may not have noticed yet that the connection is closed, so the request may still run.
void ForwardCall::giveUpAttempt(const char *reason)
{
    if (this->isFinished || !this->call)
        return;
    this->call->cancel();
    this->call = nullptr;
    this->endAttempt(AttemptOutcome::Broken, reason);
}

} // namespace lavenderhall
