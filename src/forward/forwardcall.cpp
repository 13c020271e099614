#include "forward/forwardcall.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace lavenderhall {

namespace {

// A refusal is sent this long before the caller's timeout, so that it arrives in time.
constexpr Millis AnswerMargin{30};
constexpr Millis DefaultCallerTimeout{30'000};
constexpr Millis ConnectTimeout{400};
// With less time left, another attempt is not worthwhile.
constexpr Millis MinRetryTime{60};
// Retry-after times by the reason of the refusal. A random part of up to a half is added, and the
// sum is limited to MaxRetryAfter and to the remaining time of the caller divided by
// RemainingTimeDivisor. Both limits do not apply to the pauses that endpoints have asked for.
constexpr Millis NoConfigurationRetryAfter{300};
constexpr Millis NoEndpointRetryAfter{400};
constexpr int RemainingTimeDivisor = 3;
constexpr Millis MaxRetryAfter{1000};
// An attempt on old weights is given up this long before their time is over: this instance may have
// learnt late that newer ones were named, and the engine has to notice the closed connection.
constexpr Millis StartLimitMargin{700};

} // namespace

ForwardCall::ForwardCall(ForwardContext &context, http::ExchangePtr exchange,
                         ForwardRequest request, DoneHandler onDone)
    : context(context)
    , exchange(std::move(exchange))
    , request(std::move(request))
    , onDone(std::move(onDone))
    , table(context.table)
    , arrivedAt(monoNow())
{ }

void ForwardCall::start()
{
    if (!this->table)
        return this->refuse({503, "no_configuration", NoConfigurationRetryAfter});
    if (!this->findRoute() || !this->authenticate())
        return;
    this->signature = RequestSignature(
        this->request, this->organisation ? this->organisation->name : this->request.key);
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
    this->context.budget.onRequest(this->service, this->arrivedAt);
    const std::string cacheOwner = this->organisation && this->organisation->isIsolated
        ? this->organisation->name
        : "shared";
    this->cacheScope = cacheOwner + "/" + this->request.model;
    this->chain = buildPromptChain(this->cacheScope, this->request.parts);
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
    if (this->organisation || this->route->isPublic || !this->table->hasOrganisations())
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
    this->admissionId
        = this->context.admission.request(*this->organisation, this->requestedTokens, onAnswer);
    if (this->isFinished)
        this->releaseTokens();
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
    return query;
}

RetryConditions ForwardCall::retryConditions()
{
    const MonoTime now = monoNow();
    RetryConditions conditions;
    conditions.hasBudget = this->context.budget.allowsRetry(this->service, now);
    conditions.hasCandidate = !this->context.crashMonitor.blockReason(this->signature)
        && this->context.selector.hasCandidate(this->query(), now);
    conditions.hasTime = this->deadline - now > MinRetryTime;
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
    metadata.priority = this->organisation && this->organisation->priority
        ? *this->organisation->priority
        : this->route->priority;
    // The cache salt contains the version of the weights, and only an engine that runs this version
    // may execute the attempt, so no request reuses cached parts of other weights. Where the
    // version is not known, a salt of its own keeps the request from sharing cached parts.
    const std::int64_t version = this->isStreaming
        ? this->streamWeights.value_or(chosen.requiredWeights)
        : chosen.requiredWeights;
    if (version == 0) {
        metadata.cacheSalt = this->cacheScope + "/request/" + this->request.id;
        return metadata;
    }
    metadata.weightsVersion = version;
    metadata.cacheSalt = this->cacheScope + "/" + std::to_string(version);
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
    logEvent(LogLevel::Info, "endpoint_chosen",
             {{"request", this->request.id},
              {"endpoint", this->choice.endpointId},
              {"attempt", this->retryState.attempts() + 1},
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
              {"resumes_after", this->lastEventId},
              {"table", this->table->version()}});
}

void ForwardCall::startAttempt()
{
    // Tokens and permits may have taken a moment.
    if (this->endIfBlocked())
        return;
    const MonoTime now = monoNow();
    const ChoiceQuery query = this->query();
    const auto chosen = this->context.selector.choose(query, now);
    if (!chosen && this->retryState.mayHaveRun())
        return this->fail("no_endpoint");
    if (!chosen)
        return this->refuse(this->noEndpointRefusal("no_endpoint"));
    const RegisteredEndpoint *endpoint = this->context.selector.findEntry(chosen->endpointId);
    const Incarnation incarnation{endpoint->id, endpoint->startMillis};
    const bool hasPermit = endpoint->id == this->permittedEndpoint;
    if (!hasPermit && this->context.limitMonitor.isLimited(incarnation))
        return this->requestPermit(incarnation);
    this->permittedEndpoint.clear();
    this->sendAttempt(query, *chosen);
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
    this->engine = {endpoint->id, endpoint->startMillis};
    this->sentAt = now;
    this->context.crashMonitor.onSent(this->signature, now);
    this->triedEndpoints.push_back(chosen.endpointId);
    this->head = {};
    this->body.clear();
    this->splitter.reset();
    this->isForeign = false;
    this->hasBegun = false;
    this->isPrefillDone = false;
    this->uncachedTokens
        = std::max<std::int64_t>(0, this->chain.totalTokens() - chosen.cachedTokens);
    const AttemptMetadata metadata = this->metadataFor(chosen);
    this->expectedWeights = metadata.weightsVersion;
    http::CallRequest outgoing = this->context.adapter.writeAttempt(this->request, metadata);
    outgoing.to = endpoint->address;
    outgoing.connectTimeout = ConnectTimeout;
    outgoing.headTimeout = std::max(
        Millis(1), std::chrono::duration_cast<Millis>(this->deadline - now) + AnswerMargin);
    outgoing.reuse = this->retryState.attempts() > 0 || !this->route->mayRepeat()
        ? http::Reuse::Recent
        : http::Reuse::Allowed;
    this->context.selector.onSent(chosen.endpointId, this->chain, this->uncachedTokens, now);
    http::CallHandlers handlers;
    const auto self = this->shared_from_this();
    handlers.onHead
        = [self](int status, const http::Headers &headers) { self->onHead(status, headers); };
    handlers.onData = [self](std::string_view data) { self->onData(data); };
    handlers.onEnd = [self] { self->onAnswerEnd(); };
    handlers.onFailed = [self](const http::CallFailure &failure) { self->onCallFailed(failure); };
    this->call = this->context.client.start(std::move(outgoing), std::move(handlers));
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

void ForwardCall::onTimeUp()
{
    if (this->isFinished)
        return;
    const bool isSent = this->call != nullptr;
    this->cancelAttempt();
    if (this->isStreaming) {
        this->exchange->abort();
        return this->finish(0, "time_up");
    }
    if (this->retryState.onTimeUp(isSent) == RetryDecision::Refuse)
        return this->refuse({503, "time_up", Millis(0)});
    this->exchange->respond(
        this->context.adapter.writeRefusal({504, "time_up", {}}, this->request.id));
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
    this->cancelAttempt();
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
    if (refusal.retryAfter && refusal.isRetryHopelessBefore) {
        const auto spread = static_cast<unsigned>(refusal.retryAfter->count() / 2 + 1);
        *refusal.retryAfter += Millis(this->context.random(spread));
    } else if (refusal.retryAfter && this->request.callerTimeout) {
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

void ForwardCall::finish(int status, const std::string &outcome)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    this->deadlineTimer.cancel();
    this->exchange->onClosed(nullptr);
    this->releaseTokens();
    const auto elapsed = std::chrono::duration_cast<Millis>(monoNow() - this->arrivedAt);
    logEvent(LogLevel::Info, "request_done",
             {{"request", this->request.id},
              {"route", this->route ? this->route->name : ""},
              {"organisation", this->organisation ? this->organisation->name : ""},
              {"status", status},
              {"outcome", outcome},
              {"attempts", this->retryState.attempts()},
              {"endpoint", this->triedEndpoints.empty() ? "" : this->triedEndpoints.back()},
              {"ms", elapsed.count()},
              {"table", this->table ? this->table->version() : 0}});
    const auto self = this->shared_from_this();
    this->onDone(*this);
}

} // namespace lavenderhall
