#include "forward/forwardcall.h"

#include "base/digest.h"
#include "base/log.h"

#include <algorithm>
#include <cmath>
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
              {"table", this->table->version()}});
}

void ForwardCall::startAttempt()
{
    // Tokens and permits may have taken a moment.
    if (this->endIfBlocked())
        return;
    if (this->shouldRelay() && this->relay())
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
    this->earlierAnswers = this->call->earlierAnswers();
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
