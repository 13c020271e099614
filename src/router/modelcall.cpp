#include "router/modelcall.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr int MaxRuns = 4; ///< attempts that may have been executed
constexpr std::size_t MaxWholeAnswerBytes = 16U << 20U;
/// Reading from the engine pauses while the caller has more than this still to read.
constexpr std::size_t PauseBacklogBytes = 256U << 10U;
constexpr std::int64_t DefaultMaxTokens = 1024; ///< if the request sets no limit
constexpr std::int64_t MaxTokensLimit = 1'000'000;
constexpr Millis DefaultRetryAfter{1000};
constexpr std::size_t MaxTimelineCandidates = 4;
constexpr int NotFound = 404; ///< HTTP status
constexpr int TooManyRequests = 429; ///< HTTP status
constexpr int FirstServerError = 500; ///< HTTP status

/// Returns whether another engine may serve a request that one has answered with \a status: it may
/// have the model, or room for the request.
bool isWorthRetrying(int status)
{
    return status == NotFound || status == TooManyRequests || status >= FirstServerError;
}

std::string describeCandidates(const std::vector<Candidate> &ranked)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(ranked.size(), MaxTimelineCandidates); ++index) {
        if (!text.empty())
            text += ",";
        text += ranked[index].endpoint + ":"
            + std::to_string(static_cast<std::int64_t>(ranked[index].costMillis)) + "ms";
    }
    return text;
}

Error invalid(std::string detail)
{
    return {ErrorCode::BadInput, "check request", "", std::move(detail)};
}

} // namespace

Outcome<ModelRequest> readModelRequest(const CallerRequest &caller, const Json &body,
                                       const Document &document)
{
    ModelRequest request;
    request.path = caller.exchange->request().path;
    const bool isChat = request.path.ends_with("/chat/completions");
    const auto prompt = body.find(isChat ? "messages" : "prompt");
    if (prompt == body.end())
        return invalid(std::string("field \"") + (isChat ? "messages" : "prompt")
                       + "\" is missing");
    if (isChat && (!prompt->is_array() || prompt->empty()))
        return invalid("field \"messages\": expected a list that is not empty");
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean() && !stream->is_null())
        return invalid("field \"stream\": expected true or false");
    request.streams = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    request.maxTokens = DefaultMaxTokens;
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto limit = body.find(name);
        if (limit == body.end() || limit->is_null())
            continue;
        if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1
            || limit->get<std::int64_t>() > MaxTokensLimit)
            return invalid(std::string("field \"") + name
                           + "\": expected a whole number from 1 to 1000000");
        request.maxTokens = limit->get<std::int64_t>();
    }

    const Model *model = document.findModel(caller.route.model);
    request.scope
        = {cacheSaltOf(caller.organisation), model->name, caller.route.adapter, model->version};
    if (!caller.route.adapter.empty()) {
        for (const Adapter &adapter : model->adapters) {
            if (adapter.name == caller.route.adapter)
                request.scope.adapter = adapter.name + "@" + adapter.version;
        }
    }
    const std::string text = promptTextOf(body);
    const PlacementSettings &placement = document.placement;
    request.promptTokens = static_cast<std::int64_t>(text.size()) / placement.bytesPerToken + 1;
    request.prefix
        = hashBlocks(request.scope, text,
                     static_cast<std::size_t>(placement.blockTokens * placement.bytesPerToken));

    request.body = body;
    request.body["model"] = model->name;
    request.body["weights_version"] = model->version;
    request.body["cache_salt"] = request.scope.cacheSalt;
    // The engine must not generate more tokens than were charged.
    request.body["max_tokens"] = request.maxTokens;
    request.body.erase("max_completion_tokens");
    request.body["priority"] = static_cast<int>(caller.route.trafficClass);
    if (!request.scope.adapter.empty())
        request.body["adapter"] = request.scope.adapter;
    return request;
}

ModelCall::ModelCall(RouterContext &context, CallerRequest caller, ModelRequest request,
                     DoneHandler onDone)
    : context(context)
    , caller(std::move(caller))
    , modelRequest(std::move(request))
    , onDone(std::move(onDone))
    , relay(this->caller.id)
    , attempts(context, this->caller, MaxRuns)
{ }

void ModelCall::onAdmissionRequested(std::uint64_t tokenRequestId)
{
    this->caller.tokenRequestId = tokenRequestId;
    this->caller.exchange->onClosed([self = this->shared_from_this()] {
        if (!self->isFinished)
            self->finish(0, RunOutcome::NotRun);
    });
}

void ModelCall::start()
{
    if (this->isFinished)
        return;
    this->isAdmitted = true;
    const auto self = this->shared_from_this();
    this->caller.exchange->onClosed([self] {
        if (self->isFinished)
            return;
        const RunOutcome outcome = self->attempts.outcome();
        self->cancelCall();
        self->finish(0, outcome);
    });
    this->caller.exchange->onDrained([self] {
        if (!self->isPaused || !self->call)
            return;
        self->isPaused = false;
        self->lastDataAt = monoNow();
        self->call->setReading(true);
    });
    this->deadlineTimer = this->context.loop.after(this->caller.route.timeout, [self] {
        self->stop({504,
                    "server_error",
                    "route_timeout",
                    "the route's time for a whole answer is over",
                    self->attempts.outcome(),
                    {}});
    });
    this->startAttempt();
}

std::vector<Candidate> ModelCall::rankedEndpoints() const
{
    const Document &document = this->context.config->document;
    // A resumed answer must come from the same version of the weights as its beginning, also after
    // a change of the configuration.
    const Model pinned{this->modelRequest.scope.model, this->modelRequest.scope.version, {}};
    RankingInput input;
    input.region = this->context.settings.region;
    input.prefix = this->modelRequest.prefix;
    input.promptTokens = this->modelRequest.promptTokens;
    input.excluded = this->attempts.tried();
    input.now = monoNow();
    const auto candidates
        = this->context.endpointTable.candidates(this->caller.route, &pinned, monoNow());
    std::vector<Candidate> ranked
        = rankEndpoints(candidates, input, document.placement, this->context.history);
    // If no untried endpoint is left, a request that may be repeated may return to a tried one.
    if (ranked.empty() && this->caller.route.isRepeatable) {
        input.excluded.clear();
        ranked = rankEndpoints(candidates, input, document.placement, this->context.history);
    }
    return ranked;
}

void ModelCall::startAttempt()
{
    const std::vector<Candidate> ranked = this->rankedEndpoints();
    if (ranked.empty())
        return this->stop(
            unavailable("no_endpoint", "no endpoint can take the request now", DefaultRetryAfter));

    const std::string &endpoint = ranked.front().endpoint;
    const std::int64_t cached = static_cast<std::int64_t>(ranked.front().cachedBlocks)
        * this->context.config->document.placement.blockTokens;
    this->attempts.begin(endpoint,
                         std::max<std::int64_t>(0, this->modelRequest.promptTokens - cached));
    this->context.timeline.add(EventKind::EndpointChosen, this->caller.id,
                               this->caller.organisation,
                               {{"endpoint", endpoint},
                                {"attempt", this->attempts.count()},
                                {"resume_after", this->relay.resumeAfter()},
                                {"candidates", describeCandidates(ranked)}});
    this->context.history.onSent(endpoint, this->modelRequest.prefix, monoNow());
    this->relay.onAttemptStarted();
    this->isEventStream = false;
    this->isPaused = false;
    this->wholeAnswer.clear();

    const auto self = this->shared_from_this();
    http::CallHandlers handlers;
    handlers.onHead
        = [self](int code, const http::Headers &headers) { self->onHead(code, headers); };
    handlers.onData = [self](std::string_view data) { self->onData(data); };
    handlers.onEnd = [self] { self->onEnd(); };
    handlers.onFailed
        = [self](const http::CallFailure &failure) { self->onAttemptFailed(failure); };
    const EndpointView *view = this->context.endpointTable.find(endpoint);
    this->call = this->context.endpointClient.start(this->buildCall(*view), std::move(handlers));
}

http::CallRequest ModelCall::buildCall(const EndpointView &view) const
{
    http::CallRequest request;
    request.to = view.endpoint.address;
    request.requestId = this->caller.id;
    request.method = http::Method::Post;
    request.path = this->modelRequest.path;
    request.headers = {{"content-type", "application/json"},
                       {"authorization", "Bearer " + this->context.settings.engineCredential},
                       {RequestIdHeader, this->caller.id}};
    const std::string lastEvent = this->relay.lastEventId();
    if (!lastEvent.empty())
        request.headers.push_back({"last-event-id", lastEvent});
    request.body = writeJson(this->modelRequest.body);
    request.headTimeout
        = this->modelRequest.streams ? this->caller.route.gapTimeout : this->caller.route.timeout;
    // A new connection, since the outcome is unknown if an idle one has been closed unnoticed.
    if (!this->caller.route.isRepeatable)
        request.reuse = http::Reuse::Never;
    return request;
}

// An error that names another request may be the second copy of an earlier answer. The connection
// is closed, as the answers on it belong to other requests from now on. Engines may leave the id
// out.
void ModelCall::onHead(int code, const http::Headers &headers)
{
    this->status = code;
    const std::string_view answeredId = http::findHeader(headers, RequestIdHeader);
    if (code != 200 && !answeredId.empty() && answeredId != this->caller.id)
        return this->retryOrGiveUp(AttemptOutcome::Broken, "an answer to another request arrived");
    const std::string_view type = http::findHeader(headers, "content-type");
    this->isEventStream = code == 200 && type.starts_with("text/event-stream");
    if (this->isEventStream)
        this->armGapTimer();
}

void ModelCall::onData(std::string_view data)
{
    if (this->isFinished)
        return;
    if (this->isEventStream)
        return this->onStreamData(data);
    if (this->wholeAnswer.size() + data.size() > MaxWholeAnswerBytes)
        return this->retryOrGiveUp(AttemptOutcome::Broken, "the answer is too large");
    this->wholeAnswer.append(data);
}

void ModelCall::onStreamData(std::string_view data)
{
    this->lastDataAt = monoNow();
    this->handleRelayAction(this->relay.onBytes(data));
}

void ModelCall::handleRelayAction(const RelayAction &action)
{
    if (!action.forward.empty())
        this->forward(action.forward);
    switch (action.step) {
    case RelayStep::Continue:
        return;
    case RelayStep::Complete:
        this->cancelCall();
        this->attempts.finish(true);
        this->caller.exchange->end();
        this->finish(200, RunOutcome::Ran);
        return;
    case RelayStep::Interrupted:
        return this->onInterrupted(action.reason);
    }
}

void ModelCall::onInterrupted(const std::string &reason)
{
    const std::string endpoint = this->attempts.endpoint();
    this->cancelCall();
    if (!this->attempts.onInterrupted(reason, !this->rankedEndpoints().empty()))
        return this->stop({502, "server_error", "stream_cut", "the answer is incomplete: " + reason,
                           RunOutcome::Unknown, DefaultRetryAfter});
    this->context.metrics.countResume();
    this->context.timeline.add(
        EventKind::StreamResumed, this->caller.id, this->caller.organisation,
        {{"endpoint", endpoint}, {"after", this->relay.resumeAfter()}, {"reason", reason}});
    this->startAttempt();
}

void ModelCall::forward(const std::string &bytes)
{
    http::Exchange &exchange = *this->caller.exchange;
    this->attempts.onPrefilled();
    if (!this->hasSentFirstToken) {
        this->hasSentFirstToken = true;
        const auto elapsed
            = std::chrono::duration<double>(monoNow() - this->caller.arrivedAt).count();
        this->context.metrics.observeFirstToken(elapsed);
        this->context.timeline.add(
            EventKind::FirstToken, this->caller.id, this->caller.organisation,
            {{"endpoint", this->attempts.endpoint()}, {"ms", elapsed * 1000}});
        exchange.begin(200, this->answerHeaders("text/event-stream"));
    }
    exchange.write(bytes);
    if (exchange.backlog() > PauseBacklogBytes && !this->isPaused && this->call) {
        this->isPaused = true;
        this->call->setReading(false);
    }
}

// Each forwarded event is one generated token, except the last event of a complete stream.
void ModelCall::returnUnusedTokens()
{
    Fleet &fleet = this->context.fleet;
    if (!this->isAdmitted)
        return fleet.cancelTokenRequest(this->caller.tokenRequestId);
    const std::int64_t streamed = this->relay.resumeAfter() - (this->relay.isComplete() ? 1 : 0);
    const std::int64_t generated = std::max(streamed, this->outputTokens);
    const bool mayHaveRun = generated > 0 || this->attempts.outcome() != RunOutcome::NotRun;
    const double unused = mayHaveRun
        ? static_cast<double>(std::max<std::int64_t>(0, this->modelRequest.maxTokens - generated))
        : this->chargedTokens();
    fleet.returnTokens(this->caller.tokenRequestId, unused);
}

http::Headers ModelCall::answerHeaders(const char *contentType) const
{
    return {{"content-type", contentType},
            {"cache-control", "no-cache"},
            {RequestIdHeader, this->caller.id},
            {OutcomeHeader, toString(RunOutcome::Ran)}};
}

void ModelCall::onEnd()
{
    if (this->isFinished)
        return;
    if (this->isEventStream)
        return this->handleRelayAction(
            this->relay.onAttemptEnded("the engine ended the stream early"));
    this->onWholeAnswer();
}

// An engine that answers has got the request, and no status states that it has not run it.
void ModelCall::onWholeAnswer()
{
    if (isWorthRetrying(this->status))
        return this->retryOrGiveUp(AttemptOutcome::Failed,
                                   "the engine answered " + std::to_string(this->status));
    const Json answer = readJson(this->wholeAnswer);
    if (this->status != 200) {
        this->attempts.finish(true);
        this->caller.exchange->respond(
            {this->status, this->answerHeaders("application/json"), this->wholeAnswer});
        return this->finish(this->status, RunOutcome::Ran);
    }
    const std::string answerId = findText(answer, "id");
    if (!answerId.ends_with(this->caller.id))
        return this->retryOrGiveUp(AttemptOutcome::Broken, "an answer to another request arrived");

    const Json &usage = findObject(answer, "usage");
    const Json &details = findObject(usage, "prompt_tokens_details");
    // Without a usage report, all charged tokens count as used.
    this->outputTokens = findInteger(usage, "completion_tokens", this->modelRequest.maxTokens);
    this->context.metrics.countTokens(static_cast<double>(findInteger(usage, "prompt_tokens")),
                                      static_cast<double>(findInteger(details, "cached_tokens")),
                                      static_cast<double>(this->outputTokens));
    this->attempts.finish(true);
    const auto elapsed = std::chrono::duration<double>(monoNow() - this->caller.arrivedAt).count();
    this->context.metrics.observeFirstToken(elapsed);
    this->caller.exchange->respond(
        {200, this->answerHeaders("application/json"), this->wholeAnswer});
    this->finish(200, RunOutcome::Ran);
}

void ModelCall::onAttemptFailed(const http::CallFailure &failure)
{
    if (this->isFinished)
        return;
    this->call.reset();
    if (failure.headReceived && this->isEventStream)
        return this->handleRelayAction(this->relay.onAttemptEnded(failure.reason));
    this->retryOrGiveUp(failure.mayHaveBeenSent ? AttemptOutcome::Broken
                                                : AttemptOutcome::NeverSent,
                        failure.reason);
}

void ModelCall::retryOrGiveUp(AttemptOutcome attemptOutcome, const std::string &reason)
{
    this->cancelCall();
    switch (this->attempts.onFailed(attemptOutcome, reason, !this->rankedEndpoints().empty())) {
    case RetryDecision::Retry:
        return this->startAttempt();
    case RetryDecision::Refuse:
        return this->stop(
            unavailable("no_endpoint", "no endpoint can take the request now", DefaultRetryAfter));
    case RetryDecision::PassOn:
    case RetryDecision::Fail:
        return this->stop({502, "server_error", "attempt_failed",
                           "the endpoint failed, and the request may have run: " + reason,
                           RunOutcome::Unknown, DefaultRetryAfter});
    }
}

void ModelCall::cancelCall()
{
    this->gapTimer.cancel();
    if (!this->call)
        return;
    this->call->cancel();
    this->call.reset();
}

void ModelCall::armGapTimer()
{
    this->lastDataAt = monoNow();
    this->gapTimer = this->context.loop.after(
        this->caller.route.gapTimeout, [self = this->shared_from_this()] { self->onGapTimer(); });
}

// The timer checks the time of the last data, so that it need not be restarted for each event.
void ModelCall::onGapTimer()
{
    if (this->isFinished)
        return;
    const auto idleTime = std::chrono::duration_cast<Millis>(monoNow() - this->lastDataAt);
    if (idleTime < this->caller.route.gapTimeout) {
        this->gapTimer
            = this->context.loop.after(this->caller.route.gapTimeout - idleTime,
                                       [self = this->shared_from_this()] { self->onGapTimer(); });
        return;
    }
    // While reading is paused no data arrives: the caller has not drained its backlog in time.
    if (this->isPaused) {
        this->cancelCall();
        this->caller.exchange->abort();
        return this->finish(0, RunOutcome::Unknown);
    }
    this->handleRelayAction(this->relay.onAttemptEnded("the connection went silent"));
}

void ModelCall::stop(ErrorResponse error)
{
    if (this->isFinished)
        return;
    if (this->attempts.outcome() != RunOutcome::NotRun)
        error.outcome = RunOutcome::Unknown;
    this->cancelCall();
    http::Exchange &exchange = *this->caller.exchange;
    if (exchange.hasBegun()) {
        error.outcome = RunOutcome::Unknown;
        exchange.write("data: " + errorBody(error, this->caller.id) + "\n\n");
        exchange.end();
    } else {
        exchange.respond(toResponse(error, this->caller.id));
    }
    if (error.outcome == RunOutcome::NotRun)
        this->context.metrics.countRefusal(error.code);
    this->finish(error.status, error.outcome);
}

void ModelCall::finish(int answerStatus, RunOutcome outcome)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    this->deadlineTimer.cancel();
    this->gapTimer.cancel();
    this->attempts.finish(false);
    this->returnUnusedTokens();
    this->context.metrics.countAnswer("model", toString(outcome), answerStatus);
    const auto elapsed
        = std::chrono::duration_cast<Millis>(monoNow() - this->caller.arrivedAt).count();
    this->context.timeline.add(EventKind::RequestDone, this->caller.id, this->caller.organisation,
                               {{"status", answerStatus},
                                {"outcome", toString(outcome)},
                                {"ms", elapsed},
                                {"events", this->relay.resumeAfter()}});
    this->caller.exchange->onDrained(nullptr);
    this->caller.exchange->onClosed(nullptr);
    this->onDone(*this);
}

} // namespace lavenderhall
