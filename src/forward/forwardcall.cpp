#include "forward/forwardcall.h"

#include "base/log.h"
#include "base/outsidetext.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lavenderhall {

namespace {

constexpr Millis DefaultCallerTimeout{30'000};
constexpr Millis TokenWait{200}; ///< for the tokens of a rate
constexpr Millis MaxResumeTokenWait{3000}; ///< the same where the caller resumes a stream
// Retry-after times by the reason of the refusal. A random part of up to a half is added, and the
// sum is limited to MaxRetryAfter and to the remaining time of the caller divided by
// RemainingTimeDivisor. Both limits do not apply to the pauses that endpoints have asked for.
constexpr Millis NoConfigurationRetryAfter{300};
constexpr Millis NoEndpointRetryAfter{400};
constexpr int RemainingTimeDivisor = 3;
constexpr Millis MaxRetryAfter{1000};
constexpr int FirstRedirection = 300; ///< HTTP status after those of success

} // namespace

ForwardCall::ForwardCall(ForwardContext &context, http::ExchangePtr exchange,
                         ForwardRequest request, RequestSource source, DoneHandler onDone)
    : context(context)
    , exchange(std::move(exchange))
    , request(std::move(request))
    , source(source)
    , onDone(std::move(onDone))
    , table(context.table)
    , arrivedAt(monoNow())
    , callAdmission(source == RequestSource::Caller ? context.admissionControl : nullptr)
{ }

void ForwardCall::start()
{
    if (!this->table)
        return this->refuse({503, "no_configuration", NoConfigurationRetryAfter});
    if (!this->findRoute() || !this->authenticate())
        return;
    this->signature = this->organisation ? RequestSignature(this->request, this->organisation->name)
                                         : RequestSignature(this->request, std::nullopt);
    if (this->refuseBlocked())
        return;
    const Millis callerTimeout = this->request.callerTimeout.value_or(DefaultCallerTimeout);
    const Millis bound = std::min(callerTimeout - AnswerMargin, this->route->timeout);
    this->deadline = this->arrivedAt + bound;
    this->deadlineTimer
        = this->context.loop.after(bound, [self = this->shared_from_this()] { self->onTimeUp(); });
    this->exchange->onClosed([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    this->randomDraw = std::uniform_real_distribution<double>(0, 1)(this->context.random);
    this->retryState = RetryState(this->route->mayRepeat(), this->route->maxAttempts);
    this->service = chooseService(*this->route, this->context.random());
    if (this->isFromCaller())
        this->context.budget.onRequest(this->service, this->arrivedAt);
    this->cacheScope = this->organisation && this->organisation->isIsolated
        ? CacheScope::isolated(this->organisation->name, this->request.model)
        : CacheScope::shared(this->table->isolatedDigest(), this->request.model);
    this->chain = buildPromptChain(this->cacheScope.homeSeed(), this->request.parts);
    // Before the request costs tokens here.
    if (this->shouldRelay() && this->relay())
        return;
    if (this->route->kind != RequestKind::Stream)
        return this->admit();
    if (!this->context.streamOrigins.isReady(this->service))
        return this->refuse({503, "no_builds", NoConfigurationRetryAfter});
    if (this->isResumedByCaller())
        return this->findOrigin();
    this->admit();
}

bool ForwardCall::isResumedByCaller() const
{
    return !this->request.lastEventId.empty();
}

// The store takes no text that is not UTF-8, which the id of a request may be.
std::string ForwardCall::streamId() const
{
    return toUtf8(this->request.resumedRequest.empty() ? this->request.id
                                                       : this->request.resumedRequest);
}

// The record would name the build of an attempt in vain. A stream that the caller resumes began
// earlier, whatever becomes of this request.
void ForwardCall::forgetUnbegunStream()
{
    const bool isStream = this->route && this->route->kind == RequestKind::Stream;
    if (isStream && !this->isStreaming && !this->isResumedByCaller())
        this->context.streamOrigins.onNotBegun(this->streamId());
}

void ForwardCall::findOrigin()
{
    const auto onFound = [self = this->shared_from_this()](const StreamOrigin &origin) {
        if (!self->isFinished)
            self->onOrigin(origin);
    };
    this->context.streamOrigins.find(this->streamId(), this->service, onFound);
}

// A stream whose build is not known, or has no endpoint left, will not be served later either, so
// its caller is not told to come back.
void ForwardCall::onOrigin(const StreamOrigin &origin)
{
    logEvent(LogLevel::Info, LineClass::Failure, "caller_resumes_stream",
             {{"request", this->request.id},
              {"resumes_request", this->request.resumedRequest},
              {"after", this->request.lastEventId},
              {"origin", toString(origin.kind)},
              {"build", origin.build}});
    switch (origin.kind) {
    case StreamOrigin::Kind::Known:
        break;
    case StreamOrigin::Kind::Unknown:
        return this->refuse({503, "stream_unknown", {}});
    case StreamOrigin::Kind::Pending:
    case StreamOrigin::Kind::Unavailable:
        return this->refuse({503, "stream_not_found_yet", NoConfigurationRetryAfter});
    }
    // After a start, the endpoints may not be known yet.
    const bool hasEndpoints = this->context.selector.endpointCount(this->service) > 0;
    if (hasEndpoints && !this->context.selector.hasBuild(this->service, origin.build))
        return this->refuse({503, "build_gone", {}});
    this->streamBuild = origin.build;
    this->admit();
}

bool ForwardCall::findRoute()
{
    this->route = this->table->findRoute(this->request.host, this->request.path);
    if (!this->route)
        this->refuse({404, "unknown_route", {}});
    return this->route != nullptr;
}

bool ForwardCall::authenticate()
{
    this->organisation = this->table->findByKey(this->request.key);
    if (this->organisation || this->route->isPublic || !this->table->needsKeys())
        return true;
    this->refuse({401, "unknown_key", {}});
    return false;
}

bool ForwardCall::refuseBlocked()
{
    const MonoTime now = monoNow();
    const auto until = this->context.crashMonitor.refusedUntil(this->signature, now);
    if (!until)
        return false;
    ForwardRefusal refusal{503, this->context.crashMonitor.blockReason(this->signature),
                           std::chrono::ceil<Millis>(*until - now)};
    refusal.isRetryHopelessBefore = true;
    this->refuse(std::move(refusal));
    return true;
}

bool ForwardCall::endIfBlocked()
{
    if (!this->retryState.mayHaveRun())
        return this->refuseBlocked();
    const char *reason = this->context.crashMonitor.blockReason(this->signature);
    if (reason)
        this->fail(reason);
    return reason != nullptr;
}

void ForwardCall::admit()
{
    if (!this->organisation || this->organisation->tokensPerSecond <= 0)
        return this->onAdmitted();
    this->requestedTokens = this->request.promptTokens
        ? static_cast<double>(*this->request.promptTokens + this->request.maxOutputTokens)
        : static_cast<double>(this->organisation->defaultTokens);
    const auto onAnswer = [self = this->shared_from_this()](const AdmissionResult &answer) {
        if (self->isFinished)
            return;
        if (answer.isGranted)
            return self->onAdmitted();
        self->refuse({answer.isDecided ? 429 : 503,
                      answer.isDecided ? "rate_exceeded" : "rate_unknown", answer.retryAfter});
    };
    this->admissionId = this->context.admission.request(*this->organisation, this->requestedTokens,
                                                        this->tokenWait(), onAnswer);
    if (this->isFinished)
        this->releaseTokens();
}

// The caller of a stream that broke off has half an answer, which is lost if the rest is refused.
Millis ForwardCall::tokenWait() const
{
    if (!this->streamBuild)
        return TokenWait;
    const auto timeLeft = std::chrono::duration_cast<Millis>(this->deadline - monoNow());
    return std::clamp(timeLeft / RemainingTimeDivisor, TokenWait, MaxResumeTokenWait);
}

void ForwardCall::releaseTokens()
{
    if (this->admissionId == 0)
        return;
    const double unused = this->retryState.mayHaveRun() ? 0 : this->requestedTokens;
    this->context.admission.release(std::exchange(this->admissionId, 0), this->isAdmitted, unused);
}

void ForwardCall::onAdmitted()
{
    this->isAdmitted = true;
    this->startAttempt();
}

void ForwardCall::stop()
{
    this->isStopped = true;
    this->giveUp("stopping");
}

void ForwardCall::giveUp(const char *reason)
{
    if (this->isFinished)
        return;
    const bool isSent = this->call || this->activeRelay;
    this->abandonAttempt();
    if (this->exchange->hasBegun()) {
        this->exchange->abort();
        return this->finish(0, reason);
    }
    if (this->retryState.onTimeUp(isSent) == RetryDecision::Refuse)
        return this->refuse({503, reason, Millis(0)});
    this->exchange->respond(
        this->context.adapter.writeRefusal({504, reason, {}}, this->request.id));
    this->finish(504, "unknown");
}

void ForwardCall::onNewBlocks()
{
    if (this->isFinished || !this->call || this->hasBegun)
        return;
    const char *reason = this->context.crashMonitor.blockReason(this->signature);
    if (!reason)
        return;
    this->logFailedAttempt(AttemptOutcome::Broken, reason);
    this->cancelAttempt();
    this->retryState.onAttemptEnd(AttemptOutcome::Broken, {});
    this->fail(reason);
}

void ForwardCall::onCallerGone()
{
    if (this->isFinished)
        return;
    this->abandonAttempt();
    this->finish(0, "caller_gone");
}

// While all endpoints have asked for a pause or their limits are used up, an earlier retry is
// hopeless.
ForwardRefusal ForwardCall::noEndpointRefusal(const char *reason) const
{
    const MonoTime now = monoNow();
    ChoiceQuery anyEndpoint = this->query();
    anyEndpoint.triedEndpoints.clear();
    ForwardRefusal refusal{503, reason, NoEndpointRetryAfter};
    if (const auto opensAt = this->context.selector.opensAt(anyEndpoint, now)) {
        refusal.retryAfter = std::chrono::ceil<Millis>(*opensAt - now);
        refusal.isRetryHopelessBefore = true;
    }
    return refusal;
}

void ForwardCall::refuse(ForwardRefusal refusal)
{
    if (promisesNotRun(refusal.status) && this->retryState.mayHaveRun())
        return this->fail(refusal.reason);
    if (refusal.retryAfter && refusal.isRetryHopelessBefore) {
        const auto spread = static_cast<unsigned>(refusal.retryAfter->count() / 2 + 1);
        *refusal.retryAfter += Millis(this->context.random(spread));
    } else if (refusal.retryAfter && !refusal.isRetryAfterSpread && this->request.callerTimeout) {
        const auto waited = std::chrono::duration_cast<Millis>(monoNow() - this->arrivedAt);
        const Millis maxRetryAfter = (*this->request.callerTimeout - waited) / RemainingTimeDivisor;
        const auto spread = static_cast<unsigned>(refusal.retryAfter->count() / 2 + 1);
        refusal.retryAfter = std::clamp(*refusal.retryAfter + Millis(this->context.random(spread)),
                                        Millis(0), std::max(Millis(0), maxRetryAfter));
        refusal.retryAfter = std::min(*refusal.retryAfter, MaxRetryAfter);
    }
    this->context.metrics.countRefusal(refusal.reason);
    this->exchange->respond(this->context.adapter.writeRefusal(refusal, this->request.id));
    this->finish(refusal.status, refusal.reason);
}

void ForwardCall::addDrain(std::vector<LogField> &fields) const
{
    const std::optional<MonoTime> &drainBeganAt = this->context.drain.beganAt();
    if (!drainBeganAt)
        return;
    const auto arrived = std::chrono::duration_cast<Millis>(this->arrivedAt - *drainBeganAt);
    fields.push_back({"arrived_in_drain_ms", arrived.count()});
}

void ForwardCall::addConnection(std::vector<LogField> &fields) const
{
    if (this->usedConnection.number == 0)
        return;
    fields.insert(fields.end(),
                  {{"connection", this->usedConnection.number},
                   {"earlier_answers", this->usedConnection.earlierAnswers},
                   {"skipped_connections", this->usedConnection.skippedConnections}});
}

StopOutcome ForwardCall::stopOutcome(int status) const
{
    if (status == 0)
        return StopOutcome::Cut;
    return promisesNotRun(status) ? StopOutcome::NotBegun : StopOutcome::Unknown;
}

bool ForwardCall::isFirstAttempt() const
{
    return this->isFromCaller() && this->retryState.attempts() == 0 && this->askedInstances.empty();
}

// The requests that are served at once are the bulk of the log, and a refusal of a request that was
// sent nowhere can't be the cause of a second run. Neither must displace the lines that name the
// attempts of a request that was sent more than once.
LineClass ForwardCall::endLineClass(int status, const std::string &outcome) const
{
    const int attempts = this->retryState.attempts();
    if (attempts == 0 && this->askedInstances.empty())
        return LineClass::Refusal;
    const bool isServedAtOnce = this->isFromCaller() && this->askedInstances.empty()
        && attempts == 1 && outcome == "ran" && status < FirstRedirection;
    const bool wasSentBefore = this->usedConnection.skippedConnections > 0;
    return isServedAtOnce && !wasSentBefore ? LineClass::Routine : LineClass::Failure;
}

void ForwardCall::logEnd(int status, const std::string &outcome, std::vector<LogField> fields) const
{
    if (!this->isStopped)
        return logEvent(LogLevel::Info, this->endLineClass(status, outcome), "request_done",
                        fields);
    const StopOutcome stopped = this->stopOutcome(status);
    this->context.metrics.countStopped(stopped);
    fields.push_back({"ended_by_stop", toString(stopped)});
    logEvent(LogLevel::Info, LineClass::Stop, "request_done", fields);
}

void ForwardCall::finish(int status, const std::string &outcome)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    this->deadlineTimer.cancel();
    this->exchange->onClosed(nullptr);
    this->releaseTokens();
    this->forgetUnbegunStream();
    this->waitTimer.cancel();
    this->callAdmission.onDone(outcome == "ran", monoNow());
    const auto elapsed = std::chrono::duration_cast<Millis>(monoNow() - this->arrivedAt);
    std::vector<LogField> fields{
        {"request", this->request.id},
        {"route", this->route ? this->route->name : ""},
        {"organisation", this->organisation ? this->organisation->name : ""},
        {"status", status},
        {"outcome", outcome},
        {"attempts", this->retryState.attempts()},
        {"reached", this->retryState.reachedAttempts()},
        {"possible_runs", this->retryState.possibleRuns()},
        {"relays", this->askedInstances.size()},
        {"endpoint", this->triedEndpoints.empty() ? "" : this->triedEndpoints.back()},
        {"ms", elapsed.count()},
        {"table", this->table ? this->table->version() : 0}};
    this->addConnection(fields);
    this->addDrain(fields);
    this->addAdmission(fields);
    this->logEnd(status, outcome, std::move(fields));
    const auto self = this->shared_from_this();
    this->onDone(*this);
}

} // namespace lavenderhall
