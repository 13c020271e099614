#include "router/modelcall.h"

#include <algorithm>

namespace lavenderhall {

namespace {

constexpr int MaxRuns = 4;
constexpr std::size_t MaxWholeAnswerBytes = 16U << 20U;
constexpr std::size_t PauseBacklogBytes = 256U << 10U;
constexpr std::int64_t DefaultMaxTokens = 1024;
constexpr std::int64_t MostMaxTokens = 1'000'000;
constexpr Millis RetryHint{1000};
constexpr std::size_t TimelineCandidates = 4;

std::string describe(const std::vector<Candidate> &ranked)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(ranked.size(), TimelineCandidates); ++index) {
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
            || limit->get<std::int64_t>() > MostMaxTokens)
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
    // The engine must not generate more than is charged.
    request.body["max_tokens"] = request.maxTokens;
    request.body.erase("max_completion_tokens");
    request.body["priority"] = static_cast<int>(caller.route.trafficClass);
    if (!request.scope.adapter.empty())
        request.body["adapter"] = request.scope.adapter;
    return request;
}

ModelCall::ModelCall(RouterContext &context, CallerRequest caller, ModelRequest request, Done done)
    : context(context)
    , caller(std::move(caller))
    , model(std::move(request))
    , done(std::move(done))
    , relay(this->caller.id)
    , attempts(context, this->caller, MaxRuns)
{ }

void ModelCall::onAdmissionAsked(std::uint64_t tokensRequest)
{
    this->caller.tokensRequest = tokensRequest;
    this->caller.exchange->onClosed([self = this->shared_from_this()] {
        if (!self->finished)
            self->finish(0, RunOutcome::NotRun);
    });
}

void ModelCall::start()
{
    if (this->finished)
        return;
    this->isAdmitted = true;
    const auto self = this->shared_from_this();
    this->caller.exchange->onClosed([self] {
        if (self->finished)
            return;
        const RunOutcome outcome = self->attempts.outcome();
        self->dropCall();
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
    // A resumed answer must come from the weights that began it, whatever is configured now.
    const Model pinned{this->model.scope.model, this->model.scope.version, {}};
    ChoiceInput input;
    input.region = this->context.settings.region;
    input.prefix = this->model.prefix;
    input.promptTokens = this->model.promptTokens;
    input.excluded = this->attempts.tried();
    input.now = monoNow();
    const auto candidates = this->context.board.candidates(this->caller.route, &pinned, monoNow());
    std::vector<Candidate> ranked
        = rankEndpoints(candidates, input, document.placement, this->context.history);
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
            unavailable("no_endpoint", "no endpoint can take the request now", RetryHint));

    const std::string &endpoint = ranked.front().endpoint;
    const std::int64_t cached = static_cast<std::int64_t>(ranked.front().cachedBlocks)
        * this->context.config->document.placement.blockTokens;
    this->attempts.begin(endpoint, std::max<std::int64_t>(0, this->model.promptTokens - cached));
    this->context.timeline.add(EventKind::EndpointChosen, this->caller.id,
                               this->caller.organisation,
                               {{"endpoint", endpoint},
                                {"attempt", this->attempts.count()},
                                {"resume_after", this->relay.resumeAfter()},
                                {"candidates", describe(ranked)}});
    this->context.history.onSent(endpoint, this->model.prefix, monoNow());
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
    const EndpointView *view = this->context.board.find(endpoint);
    this->call = this->context.endpoints.start(this->buildCall(*view), std::move(handlers));
}

http::CallRequest ModelCall::buildCall(const EndpointView &view) const
{
    http::CallRequest request;
    request.to = view.endpoint.address;
    request.method = http::Method::Post;
    request.path = this->model.path;
    request.headers = {{"content-type", "application/json"},
                       {"authorization", "Bearer " + this->context.settings.engineCredential},
                       {RequestIdHeader, this->caller.id}};
    const std::string lastEvent = this->relay.lastEventId();
    if (!lastEvent.empty())
        request.headers.push_back({"last-event-id", lastEvent});
    request.body = this->model.body.dump(-1, ' ', false, Json::error_handler_t::replace);
    request.headTimeout
        = this->model.streams ? this->caller.route.gapTimeout : this->caller.route.timeout;
    if (!this->caller.route.isRepeatable)
        request.reuse = http::Reuse::Never;
    return request;
}

void ModelCall::onHead(int code, const http::Headers &headers)
{
    this->status = code;
    const std::string_view type = http::findHeader(headers, "content-type");
    this->isEventStream = code == 200 && type.starts_with("text/event-stream");
    if (this->isEventStream)
        this->armGapTimer();
}

void ModelCall::onData(std::string_view data)
{
    if (this->finished)
        return;
    if (this->isEventStream)
        return this->onStreamData(data);
    if (this->wholeAnswer.size() + data.size() > MaxWholeAnswerBytes)
        return this->retryOrGiveUp(AttemptEnd::Broken, "the answer is too large");
    this->wholeAnswer.append(data);
}

void ModelCall::onStreamData(std::string_view data)
{
    this->lastDataAt = monoNow();
    this->act(this->relay.onBytes(data));
}

void ModelCall::act(const RelayAction &action)
{
    if (!action.forward.empty())
        this->forward(action.forward);
    switch (action.step) {
    case RelayStep::Continue:
        return;
    case RelayStep::Complete:
        this->dropCall();
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
    this->dropCall();
    if (!this->attempts.mayResume(reason, !this->rankedEndpoints().empty()))
        return this->stop({502, "server_error", "stream_cut", "the answer is incomplete: " + reason,
                           RunOutcome::Unknown, RetryHint});
    this->context.metrics.countResume();
    this->context.timeline.add(
        EventKind::StreamResumed, this->caller.id, this->caller.organisation,
        {{"endpoint", endpoint}, {"after", this->relay.resumeAfter()}, {"reason", reason}});
    this->startAttempt();
}

void ModelCall::forward(const std::string &bytes)
{
    http::Exchange &exchange = *this->caller.exchange;
    this->attempts.onPromptRead();
    if (!this->firstTokenSeen) {
        this->firstTokenSeen = true;
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

// The events forwarded are the tokens generated; the last of a whole stream only ends it.
void ModelCall::giveTokensBack()
{
    Fleet &fleet = this->context.fleet;
    if (!this->isAdmitted)
        return fleet.cancelTokens(this->caller.tokensRequest);
    const std::int64_t streamed = this->relay.resumeAfter() - (this->relay.isComplete() ? 1 : 0);
    const std::int64_t generated = std::max(streamed, this->outputTokens);
    const bool ranAtAll = generated > 0 || this->attempts.outcome() != RunOutcome::NotRun;
    const double unused = ranAtAll
        ? static_cast<double>(std::max<std::int64_t>(0, this->model.maxTokens - generated))
        : this->tokens();
    fleet.returnTokens(this->caller.tokensRequest, unused);
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
    if (this->finished)
        return;
    if (this->isEventStream)
        return this->act(this->relay.onAttemptEnded("the engine ended the stream early"));
    this->onWholeAnswer();
}

void ModelCall::onWholeAnswer()
{
    const std::string answered = "the engine answered " + std::to_string(this->status);
    if (this->status == 404 || this->status == 429)
        return this->retryOrGiveUp(AttemptEnd::Refused, answered);
    if (this->status >= 500)
        return this->retryOrGiveUp(AttemptEnd::Failed, answered);
    const Json answer = Json::parse(this->wholeAnswer, nullptr, false);
    if (this->status != 200) {
        this->attempts.finish(true);
        this->caller.exchange->respond(
            {this->status, this->answerHeaders("application/json"), this->wholeAnswer});
        return this->finish(this->status, RunOutcome::Ran);
    }
    const std::string answerId = findText(answer, "id");
    if (!answerId.ends_with(this->caller.id))
        return this->retryOrGiveUp(AttemptEnd::Broken, "an answer to another request arrived");

    const Json &usage = findObject(answer, "usage");
    const Json &details = findObject(usage, "prompt_tokens_details");
    // Without a report, all that was charged counts as used.
    this->outputTokens = findInteger(usage, "completion_tokens", this->model.maxTokens);
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
    if (this->finished)
        return;
    this->call.reset();
    if (failure.headReceived && this->isEventStream)
        return this->act(this->relay.onAttemptEnded(failure.reason));
    this->retryOrGiveUp(failure.mayHaveBeenSent ? AttemptEnd::Broken : AttemptEnd::NeverSent,
                        failure.reason);
}

void ModelCall::retryOrGiveUp(AttemptEnd end, const std::string &reason)
{
    this->dropCall();
    switch (this->attempts.onFailed(end, reason, !this->rankedEndpoints().empty())) {
    case RunStep::Retry:
        return this->startAttempt();
    case RunStep::Refuse:
        return this->stop(
            unavailable("no_endpoint", "no endpoint can take the request now", RetryHint));
    case RunStep::PassOn:
    case RunStep::Fail:
        return this->stop({502, "server_error", "attempt_failed",
                           "the endpoint failed, and the request may have run: " + reason,
                           RunOutcome::Unknown, RetryHint});
    }
}

void ModelCall::dropCall()
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

// One timer looks back at the last data, rather than being set anew for each event.
void ModelCall::onGapTimer()
{
    if (this->finished)
        return;
    const auto silence = std::chrono::duration_cast<Millis>(monoNow() - this->lastDataAt);
    if (silence < this->caller.route.gapTimeout) {
        this->gapTimer
            = this->context.loop.after(this->caller.route.gapTimeout - silence,
                                       [self = this->shared_from_this()] { self->onGapTimer(); });
        return;
    }
    if (this->isPaused) {
        this->dropCall();
        this->caller.exchange->abort();
        return this->finish(0, RunOutcome::Unknown);
    }
    this->act(this->relay.onAttemptEnded("the connection went silent"));
}

void ModelCall::stop(Refusal refusal)
{
    if (this->finished)
        return;
    if (this->attempts.outcome() != RunOutcome::NotRun)
        refusal.outcome = RunOutcome::Unknown;
    this->dropCall();
    http::Exchange &exchange = *this->caller.exchange;
    if (exchange.hasBegun()) {
        refusal.outcome = RunOutcome::Unknown;
        exchange.write("data: " + errorBody(refusal, this->caller.id) + "\n\n");
        exchange.end();
    } else {
        exchange.respond(toResponse(refusal, this->caller.id));
    }
    if (refusal.outcome == RunOutcome::NotRun)
        this->context.metrics.countRefusal(refusal.code);
    this->finish(refusal.status, refusal.outcome);
}

void ModelCall::finish(int answered, RunOutcome outcome)
{
    if (this->finished)
        return;
    this->finished = true;
    this->deadlineTimer.cancel();
    this->gapTimer.cancel();
    this->attempts.finish(false);
    this->giveTokensBack();
    this->context.metrics.countAnswer("model", toString(outcome), answered);
    const auto elapsed
        = std::chrono::duration_cast<Millis>(monoNow() - this->caller.arrivedAt).count();
    this->context.timeline.add(EventKind::RequestDone, this->caller.id, this->caller.organisation,
                               {{"status", answered},
                                {"outcome", toString(outcome)},
                                {"ms", elapsed},
                                {"events", this->relay.resumeAfter()}});
    this->caller.exchange->onDrained(nullptr);
    this->caller.exchange->onClosed(nullptr);
    this->done(*this);
}

} // namespace lavenderhall
