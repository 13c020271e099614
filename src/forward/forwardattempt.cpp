#include "forward/forwardcall.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

/// The part of ForwardCall that chooses endpoints and sends attempts to them.
namespace lavenderhall {

namespace {

constexpr Millis ConnectTimeout{400};
// With less time left, another attempt is not worthwhile.
constexpr Millis MinRetryTime{60};
// An attempt on old weights is given up this long before their time is over: this instance may have
// learnt late that newer ones were named, and the engine has to notice the closed connection.
constexpr Millis StartLimitMargin{700};
// A request waits for an endpoint to open for at most this part of its time.
constexpr int MaxWaitDivisor = 3;
// All instances learn at the same time when an endpoint opens; each adds a random delay up to this.
constexpr unsigned MaxTurnJitterMillis = 60;
constexpr Millis TurnInterval{10}; ///< between the turns that one waiting request gives

} // namespace

Millis ForwardCall::oldWeightsTime() const
{
    return this->context.oldWeightsTimeout - StartLimitMargin;
}

ChoiceQuery ForwardCall::query() const
{
    ChoiceQuery query;
    query.service = this->service;
    query.model = this->request.model;
    query.chain = this->chain;
    query.triedEndpoints = this->triedEndpoints;
    query.permittedEndpoint = this->permittedEndpoint;
    query.randomDraw = this->randomDraw;
    const auto named = this->context.namedWeights.find(this->request.model);
    if (named != this->context.namedWeights.end()) {
        query.newestWeights = named->second.newest();
        query.minWeights = named->second.oldestAllowed(monoNow(), this->oldWeightsTime());
        query.oldWeightsLimits = named->second.limits(this->oldWeightsTime());
    }
    if (this->isStreaming)
        query.requiredWeights = this->streamWeights;
    query.requiredBuild = this->streamBuild;
    if (this->context.rollouts.rule)
        query.versions = this->context.rollouts.rule(this->service, this->randomDraw);
    return query;
}

RetryConditions ForwardCall::retryConditions()
{
    const MonoTime now = monoNow();
    RetryConditions conditions;
    conditions.hasBudget = this->context.budget.allowsRetry(this->service, now);
    conditions.hasCandidate = !this->context.crashMonitor.blockReason(this->signature)
        && this->context.selector.hasCandidate(this->query(), now);
    conditions.hasTime = this->context.drain.answerLimit(this->deadline) - now > MinRetryTime;
    return conditions;
}

AttemptMetadata ForwardCall::metadataFor(const Choice &chosen) const
{
    AttemptMetadata metadata;
    metadata.endpointId = chosen.endpointId;
    const MonoTime now = monoNow();
    const Millis waited = std::chrono::duration_cast<Millis>(now - this->arrivedAt);
    metadata.timeLeft = this->request.callerTimeout
        ? std::max(Millis(1), *this->request.callerTimeout - waited)
        : std::chrono::duration_cast<Millis>(this->deadline - now);
    if (this->organisation)
        metadata.organisation = this->organisation->name;
    if (this->isStreaming)
        metadata.resumeAfter = this->lastEventId;
    if (this->request.model.empty())
        return metadata;
    metadata.priority = this->rank();
    // The cache salt contains the version of the weights, and only an engine that runs this version
    // may execute the attempt, so no request reuses cached parts of other weights. Where the
    // version is not known, a salt of its own keeps the request from sharing cached parts.
    const std::int64_t version = this->isStreaming
        ? this->streamWeights.value_or(chosen.requiredWeights)
        : chosen.requiredWeights;
    if (version == 0) {
        metadata.cacheSalt = CacheScope::uniqueSalt();
        return metadata;
    }
    metadata.weightsVersion = version;
    metadata.cacheSalt = this->cacheScope.saltFor(version);
    metadata.cacheSource = chosen.source;
    metadata.cacheTarget = chosen.target;
    return metadata;
}

void ForwardCall::logChoice(const ChoiceQuery &query, MonoTime now) const
{
    const auto named = this->context.namedWeights.find(this->request.model);
    const bool hasNamedWeights = named != this->context.namedWeights.end();
    const auto waited = std::chrono::duration_cast<Millis>(now - this->arrivedAt);
    const std::string startLimitMillis = this->choice.startLimit
        ? std::to_string(std::chrono::duration_cast<Millis>(*this->choice.startLimit - now).count())
        : std::string();
    const PromptChain::Link *shared = this->chain.lastSharedLink();
    const auto newsAge = this->choice.load.newsAge;
    // The line on the end names only the last attempt, and attempt_failed only those that failed.
    const LineClass lineClass = this->isFirstAttempt() ? LineClass::Routine : LineClass::Failure;
    logEvent(LogLevel::Info, lineClass, "endpoint_chosen",
             {{"request", this->request.id},
              {"endpoint", this->choice.endpointId},
              {"build", this->choice.build},
              {"attempt", this->retryState.attempts() + 1},
              {"kind", toString(this->route->kind)},
              {"waited_ms", waited.count()},
              {"cost_ms", std::llround(this->choice.costMillis)},
              {"prompt_tokens", this->chain.totalTokens()},
              {"cached_tokens", this->choice.cachedTokens},
              {"fetched", this->choice.source ? 1 : 0},
              {"shared_part", shared ? hex64(shared->hash) : std::string()},
              {"home", this->choice.home},
              {"stored", this->choice.target ? 1 : 0},
              {"in_flight", this->context.selector.inFlight(this->choice.endpointId)},
              {"candidates", this->choice.candidates},
              {"weights", this->choice.weightsVersion},
              {"required_weights", this->choice.requiredWeights},
              {"named_weights", hasNamedWeights ? named->second.newest() : 0},
              {"oldest_weights", query.minWeights},
              {"start_limit_ms", startLimitMillis},
              {"resumes_after", this->isStreaming ? this->lastEventId : this->request.lastEventId},
              {"resumes_request", this->request.resumedRequest},
              {"table", this->table->version()},
              {"expected_ms", std::llround(this->choice.expectedMillis)},
              {"waiting_tokens", std::llround(this->choice.load.waitingTokens)},
              {"news_age_ms", newsAge ? std::to_string(newsAge->count()) : std::string()},
              {"speed", std::llround(this->choice.load.speed)}});
}

// Only a stream shows when its prompt has been read; other answers come when all is done.
std::optional<MonoTime> ForwardCall::readBy(const Choice &chosen, MonoTime now) const
{
    if (this->route->kind == RequestKind::Stream)
        return std::nullopt;
    return now + Millis(std::llround(chosen.expectedMillis));
}

// A refusal states that nothing has run, and would keep the caller of a stream that has begun from
// the rest of it.
bool ForwardCall::refuseStopping()
{
    const bool hasRun = this->retryState.mayHaveRun() || this->isStreaming;
    if (hasRun || !this->context.drain.refusesToBegin(this->deadline, monoNow()))
        return false;
    this->isStopped = true;
    const int status = this->isFromCaller() ? 503 : UnableStatus;
    this->refuse({status, "stopping", StoppingRetryAfter});
    return true;
}

void ForwardCall::startAttempt()
{
    // Tokens and permits may have taken a moment.
    if (this->endIfBlocked() || this->refuseStopping())
        return;
    if (this->shouldRelay() && this->relay())
        return;
    const MonoTime now = monoNow();
    const ChoiceQuery query = this->query();
    const auto chosen = this->context.selector.choose(query, now);
    if (!chosen && this->retryState.mayHaveRun())
        return this->fail("no_endpoint");
    if (!chosen && this->waitForEndpoint(now))
        return;
    if (!chosen)
        return this->refuse(this->noEndpointRefusal("no_endpoint"));
    if (this->refuseOverload(*chosen, now))
        return;
    const RegisteredEndpoint *endpoint = this->context.selector.findEntry(chosen->endpointId);
    const Incarnation incarnation{endpoint->id, endpoint->startMillis};
    const bool hasPermit = endpoint->id == this->permittedEndpoint;
    if (!hasPermit && this->context.limitMonitor.isLimited(incarnation))
        return this->requestPermit(incarnation);
    this->permittedEndpoint.clear();
    this->sendAttempt(query, *chosen);
}

int ForwardCall::rank() const
{
    return this->organisation && this->organisation->priority ? *this->organisation->priority
                                                              : this->route->priority;
}

AdmissionSubject ForwardCall::admissionSubject() const
{
    return {this->service, this->route->name,
            this->organisation ? this->organisation->name : std::string(), this->rank(),
            this->chain.totalTokens()};
}

// Only for a known time and if most of the caller's time is left then: the endpoints that open have
// much to do.
bool ForwardCall::waitForEndpoint(MonoTime now)
{
    if (!this->callAdmission.isActive() || this->callAdmission.isQueued())
        return false;
    const auto opensAt = this->context.selector.opensAt(this->query(), now);
    if (!opensAt || *opensAt - now > (this->deadline - now) / MaxWaitDivisor)
        return false;
    const auto handler = [weak = this->weak_from_this()](QueueExit exit) {
        const auto self = weak.lock();
        if (self && !self->isFinished)
            self->onQueueExit(exit);
    };
    const std::size_t bytes = this->request.body.size() + this->request.target.size();
    if (!this->callAdmission.wait(this->admissionSubject(), bytes, this->deadline, handler, now))
        return false;
    this->armWaitTimer(std::chrono::ceil<Millis>(*opensAt - now)
                       + Millis(this->context.random(MaxTurnJitterMillis)));
    return true;
}

// The timer of each waiting request gives one of them its turn, the most urgent first, which need
// not be itself. A request that finds the endpoint still closed in its turn waits again, with a
// timer of its own.
void ForwardCall::armWaitTimer(Millis delay)
{
    this->isWaitTimerArmed = true;
    this->waitTimer = this->context.loop.after(delay, [self = this->shared_from_this()] {
        self->isWaitTimerArmed = false;
        if (self->isFinished || !self->callAdmission.isQueued())
            return;
        self->callAdmission.releaseNext();
        if (!self->isFinished && self->callAdmission.isQueued() && !self->isWaitTimerArmed)
            self->armWaitTimer(TurnInterval);
    });
}

void ForwardCall::onQueueExit(QueueExit exit)
{
    this->callAdmission.onQueueLeft(monoNow());
    if (exit == QueueExit::Displaced)
        return this->refuse(this->noEndpointRefusal("displaced"));
    this->startAttempt();
}

// The caller of a stream that broke off has half an answer, which is lost if the rest is refused.
bool ForwardCall::refuseOverload(const Choice &chosen, MonoTime now)
{
    if (!this->callAdmission.isActive() || this->streamBuild)
        return false;
    const AdmissionSubject subject = this->admissionSubject();
    AdmissionOutlook outlook;
    outlook.predictedMillis = chosen.expectedMillis;
    outlook.timeLeft = std::chrono::duration_cast<Millis>(this->deadline - now);
    outlook.mayHaveRun = this->retryState.mayHaveRun();
    outlook.load = this->context.selector.load(this->service, now);
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->context.random);
    const AdmissionDecision decision = this->callAdmission.decide(subject, outlook, draw, now);
    this->context.metrics.countAdmission(this->service, subject.rank, toString(decision.reason));
    if (!decision.isRefused())
        return false;
    ForwardRefusal refusal{503, toString(decision.reason), decision.retryAfter};
    refusal.isRetryAfterSpread = true;
    this->refuse(std::move(refusal));
    return true;
}

void ForwardCall::addAdmission(std::vector<LogField> &fields) const
{
    const auto &decision = this->callAdmission.last();
    const auto &waited = this->callAdmission.waited();
    if (waited)
        this->context.metrics.observeAdmissionWait(std::chrono::duration<double>(*waited).count());
    if (waited || decision)
        fields.emplace_back("waited_ms", waited.value_or(Millis(0)).count());
    if (waited && !decision)
        fields.emplace_back("admission", "queued");
    if (!decision)
        return;
    const AdmissionInputs &inputs = decision->inputs;
    const std::vector<LogField> inputFields{
        {"admission", decision->isRefused() ? "refused" : "sent"},
        {"admission_reason", toString(decision->reason)},
        {"expected_ms", std::llround(inputs.expectedMillis)},
        {"backlog_ms", std::llround(inputs.backlogMillis.value_or(0))},
        {"answer_ms", std::llround(inputs.answerMillis)},
        {"time_left_ms", inputs.timeLeft.count()},
        {"news_age_ms", inputs.load.newsAge.value_or(Millis(-1)).count()},
        {"slots", inputs.load.slots},
        {"taken", inputs.load.taken},
        {"waiting", inputs.load.waiting},
        {"retry_after_ms", decision->retryAfter.count()}};
    fields.insert(fields.end(), inputFields.begin(), inputFields.end());
}

// A refused permit closes the endpoint for a while, so that the next choice is another one.
void ForwardCall::requestPermit(const Incarnation &endpoint)
{
    const auto onAnswer
        = [self = this->shared_from_this(), id = endpoint.endpointId](bool isGranted) {
              if (self->isFinished)
                  return;
              self->permittedEndpoint = isGranted ? id : std::string();
              self->startAttempt();
          };
    this->context.limitMonitor.requestPermit(endpoint, onAnswer, monoNow());
}

void ForwardCall::sendAttempt(const ChoiceQuery &query, const Choice &chosen)
{
    const MonoTime now = monoNow();
    this->choice = chosen;
    this->logChoice(query, now);
    const RegisteredEndpoint *endpoint = this->context.selector.findEntry(chosen.endpointId);
    this->incarnation = {endpoint->id, endpoint->startMillis};
    this->sentAt = now;
    this->isAnswerReported = false;
    if (this->context.rollouts.onSent)
        this->context.rollouts.onSent(this->service, chosen.build, this->triedEndpoints.empty());
    this->context.crashMonitor.onSent(this->signature, now);
    this->triedEndpoints.push_back(chosen.endpointId);
    if (this->route->kind == RequestKind::Stream && !this->isStreaming)
        this->context.streamOrigins.onSent(this->streamId(), this->service, chosen.build);
    this->head = {};
    this->statement = RunStatement::None;
    this->body.clear();
    this->splitter.reset();
    this->hasBegun = false;
    this->isPrefillDone = false;
    this->uncachedTokens = chosen.uncachedTokens;
    const AttemptMetadata metadata = this->metadataFor(chosen);
    this->expectedWeights = metadata.weightsVersion;
    http::CallRequest outgoing = this->context.adapter.writeAttempt(this->request, metadata);
    outgoing.requestId = this->request.id;
    outgoing.to = endpoint->address;
    outgoing.connectTimeout = ConnectTimeout;
    outgoing.headTimeout = std::max(
        Millis(1), std::chrono::duration_cast<Millis>(this->deadline - now) + AnswerMargin);
    outgoing.reuse = this->retryState.attempts() > 0 || !this->route->mayRepeat()
        ? http::Reuse::Recent
        : http::Reuse::Allowed;
    this->context.selector.onSent(chosen.endpointId, this->chain, this->uncachedTokens, now,
                                  this->readBy(chosen, now));
    this->callAdmission.onSent(chosen.expectedMillis, now);
    http::CallHandlers handlers;
    const auto self = this->shared_from_this();
    handlers.onHead
        = [self](int status, const http::Headers &headers) { self->onHead(status, headers); };
    handlers.onData = [self](std::string_view data) { self->onData(data); };
    handlers.onEnd = [self] { self->onAnswerEnd(); };
    handlers.onFailed = [self](const http::CallFailure &failure) { self->onCallFailed(failure); };
    this->call = this->context.client.start(std::move(outgoing), std::move(handlers));
    this->usedConnection = this->call->usedConnection();
    this->armStartLimit();
}

// Only the first bytes of a body show that an attempt has begun: an engine may send the head while
// the request waits. The limit is looked up again whenever versions become known: the attempt may
// have been sent while its weights were the newest.
void ForwardCall::armStartLimit()
{
    this->startLimitTimer.cancel();
    if (!this->call || this->isPrefillDone)
        return;
    const auto named = this->context.namedWeights.find(this->request.model);
    if (named == this->context.namedWeights.end())
        return;
    const auto limit
        = named->second.limits(this->oldWeightsTime()).limitOf(this->choice.requiredWeights);
    if (!limit)
        return;
    const auto timeLeft = std::chrono::duration_cast<Millis>(*limit - monoNow());
    this->startLimitTimer = this->context.loop.after(
        std::max(Millis(1), timeLeft),
        [self = this->shared_from_this()] { self->giveUpAttempt("old_weights"); });
}

} // namespace lavenderhall
