#include "router/servicecall.h"

#include "base/digest.h"

namespace lavenderhall {

namespace {

constexpr int MaxRuns = 3; ///< attempts that may have been executed
constexpr std::size_t MaxAnswerBytes = 16U << 20U;
constexpr Millis DefaultRetryAfter{1000};
constexpr std::size_t ClaimTokenBytes = 12;

} // namespace

ServiceCall::ServiceCall(RouterContext &context, CallerRequest caller, std::string path,
                         DoneHandler onDone)
    : context(context)
    , caller(std::move(caller))
    , path(std::move(path))
    , onDone(std::move(onDone))
    , attempts(context, this->caller, MaxRuns)
{ }

void ServiceCall::onAdmissionRequested(std::uint64_t tokenRequestId)
{
    this->caller.tokenRequestId = tokenRequestId;
    this->caller.exchange->onClosed([self = this->shared_from_this()] {
        if (!self->isFinished)
            self->finish(0, RunOutcome::NotRun);
    });
}

void ServiceCall::start()
{
    if (this->isFinished)
        return;
    this->isAdmitted = true;
    const auto self = this->shared_from_this();
    // A call that must not be repeated continues after its caller has disconnected.
    this->caller.exchange->onClosed([self] {
        if (self->isFinished || !self->caller.route.isRepeatable)
            return;
        const RunOutcome outcome = self->attempts.outcome();
        self->cancelCall();
        self->finish(0, outcome);
    });
    this->deadlineTimer = this->context.loop.after(this->caller.route.timeout, [self] {
        self->stop({504,
                    "server_error",
                    "route_timeout",
                    "the route's time is over",
                    RunOutcome::NotRun,
                    {}});
    });
    if (this->needsClaim())
        return this->beginClaim(std::string(
            http::findHeader(this->caller.exchange->request().headers, IdempotencyHeader)));
    this->startAttempt();
}

bool ServiceCall::needsClaim() const
{
    return !this->caller.route.isRepeatable
        && !http::findHeader(this->caller.exchange->request().headers, IdempotencyHeader).empty();
}

void ServiceCall::beginClaim(const std::string &idempotencyKey)
{
    const http::Request &received = this->caller.exchange->request();
    ClaimRecord record;
    record.token = randomHex(ClaimTokenBytes);
    record.fingerprint = requestFingerprint(toString(received.method), this->path, received.body);
    record.instance = this->context.settings.instance;
    record.claimedAtMillis = wallMillis();
    this->claim = std::make_shared<ClaimFlow>(
        claimObjectName(this->caller.organisation, this->caller.route.name, idempotencyKey),
        std::move(record));
    this->executeClaimStep(this->claim->begin());
}

void ServiceCall::executeClaimStep(ClaimStep step)
{
    if (this->isFinished)
        return;
    const auto self = this->shared_from_this();
    switch (step) {
    case ClaimStep::Write:
        return this->context.store.write(this->claim->object(), toText(this->claim->record()),
                                         this->claim->expectedVersion(),
                                         [self](const StoreReply &reply) {
                                             self->executeClaimStep(self->claim->onWritten(reply));
                                         });
    case ClaimStep::Read:
        return this->context.store.read(this->claim->object(), [self](const StoreReply &reply) {
            self->executeClaimStep(self->claim->onRead(reply));
        });
    case ClaimStep::Send:
        this->context.timeline.add(EventKind::ClaimMade, this->caller.id, this->caller.organisation,
                                   {});
        return this->startAttempt();
    case ClaimStep::Replay:
        return this->replay(this->claim->record());
    case ClaimStep::Refuse:
        return this->refuseClaim(this->claim->refusal());
    case ClaimStep::Stop:
        return;
    }
}

void ServiceCall::refuseClaim(ClaimRefusal reason)
{
    this->claim.reset();
    switch (reason) {
    case ClaimRefusal::KeyReused:
        return this->stop({422,
                           "invalid_request_error",
                           "idempotency_key_reused",
                           "the idempotency key was used with another request",
                           RunOutcome::NotRun,
                           {}});
    case ClaimRefusal::InProgress:
        return this->stop({409,
                           "server_error",
                           "outcome_unknown",
                           "a request with this idempotency key has been sent, and its outcome "
                           "is not recorded",
                           RunOutcome::Unknown,
                           {}});
    default:
        return this->stop(unavailable(
            "store_unavailable", "the idempotency key cannot be claimed now", DefaultRetryAfter));
    }
}

void ServiceCall::replay(const ClaimRecord &record)
{
    http::Response response;
    response.status = record.status;
    response.headers = {{"content-type", record.contentType},
                        {RequestIdHeader, this->caller.id},
                        {OutcomeHeader, toString(RunOutcome::Ran)},
                        {ReplayedHeader, "true"}};
    response.body = record.body;
    const int status = record.status;
    // The outcome is already recorded, so finish() must not record it again. Resetting the claim
    // destroys \a record.
    this->claim.reset();
    this->caller.exchange->respond(response);
    this->finish(status, RunOutcome::Ran);
}

namespace {

/// Writes the outcome of a claim and retries after a failure. An outcome that is never written
/// counts as unknown.
void writeOutcome(StoreClient &store, const std::shared_ptr<ClaimFlow> &claim, ClaimStep step)
{
    if (step == ClaimStep::Write)
        return store.write(claim->object(), toText(claim->record()), claim->expectedVersion(),
                           [&store, claim](const StoreReply &reply) {
                               writeOutcome(store, claim, claim->onOutcomeWritten(reply));
                           });
    if (step == ClaimStep::Read)
        store.read(claim->object(), [&store, claim](const StoreReply &reply) {
            writeOutcome(store, claim, claim->onOutcomeRead(reply));
        });
}

} // namespace

void ServiceCall::recordOutcome(int answerStatus, RunOutcome outcome)
{
    if (!this->claim || outcome == RunOutcome::Unknown)
        return;
    // The first header of an answer is its content type, see startAttempt().
    const ClaimStep step = outcome == RunOutcome::Ran
        ? this->claim->onDone(answerStatus, this->answer.headers.front().value, this->answer.body)
        : this->claim->onNotRun();
    writeOutcome(this->context.store, this->claim, step);
}

std::vector<Candidate> ServiceCall::rankedEndpoints() const
{
    RankingInput input;
    input.region = this->context.settings.region;
    input.excluded = this->attempts.tried();
    const auto candidates
        = this->context.endpointTable.candidates(this->caller.route, nullptr, monoNow());
    return rankEndpoints(candidates, input, this->context.config->document.placement,
                         this->context.history);
}

void ServiceCall::startAttempt()
{
    const std::vector<Candidate> ranked = this->rankedEndpoints();
    if (ranked.empty())
        return this->stop(
            unavailable("no_endpoint", "no endpoint of the service takes work", DefaultRetryAfter));

    const std::string &endpoint = ranked.front().endpoint;
    this->attempts.begin(endpoint, 0);
    this->context.timeline.add(EventKind::EndpointChosen, this->caller.id,
                               this->caller.organisation,
                               {{"endpoint", endpoint}, {"attempt", this->attempts.count()}});
    this->answer = {};

    const auto self = this->shared_from_this();
    http::CallHandlers handlers;
    handlers.onHead
        = [self](int code, const http::Headers &headers) { self->onHead(code, headers); };
    handlers.onData = [self](std::string_view data) {
        if (self->answer.body.size() + data.size() > MaxAnswerBytes)
            return self->onAttemptFailed({true, true, false, false, "the answer is too large"});
        self->answer.body.append(data);
    };
    handlers.onEnd = [self] { self->onEnd(); };
    handlers.onFailed
        = [self](const http::CallFailure &failure) { self->onAttemptFailed(failure); };
    const EndpointView *view = this->context.endpointTable.find(endpoint);
    this->call = this->context.endpointClient.start(this->buildCall(*view), std::move(handlers));
}

http::CallRequest ServiceCall::buildCall(const EndpointView &view) const
{
    const http::Request &received = this->caller.exchange->request();
    http::CallRequest request;
    request.to = view.endpoint.address;
    request.requestId = this->caller.id;
    request.method = received.method;
    request.path = this->path;
    request.headers = {{"authorization", "Bearer " + this->context.settings.engineCredential},
                       {RequestIdHeader, this->caller.id}};
    for (const char *name : {"content-type", "accept", "accept-language"}) {
        const std::string_view value = http::findHeader(received.headers, name);
        if (!value.empty())
            request.headers.push_back({name, std::string(value)});
    }
    request.body = received.body;
    request.headTimeout = this->caller.route.timeout;
    // A new connection, since the outcome is unknown if an idle one has been closed unnoticed.
    if (!this->caller.route.isRepeatable)
        request.reuse = http::Reuse::Never;
    return request;
}

// The second copy of an earlier answer on the connection bears the id of that request. Services may
// leave the id out, or number requests themselves.
void ServiceCall::onHead(int code, const http::Headers &headers)
{
    const std::string answeredId(http::findHeader(headers, RequestIdHeader));
    if (this->call && this->call->hasCarriedBefore(answeredId))
        return this->onAttemptFailed(
            {true, true, false, false, "an answer to another request arrived"});
    this->answer.status = code;
    const std::string_view type = http::findHeader(headers, "content-type");
    this->answer.headers.push_back(
        {"content-type", type.empty() ? "application/octet-stream" : std::string(type)});
}

void ServiceCall::onEnd()
{
    if (this->isFinished)
        return;
    this->call.reset();
    this->attempts.finish(true);
    this->answer.headers.push_back({RequestIdHeader, this->caller.id});
    this->answer.headers.push_back({OutcomeHeader, toString(RunOutcome::Ran)});
    const int status = this->answer.status;
    this->caller.exchange->respond(this->answer);
    this->finish(status, RunOutcome::Ran);
}

void ServiceCall::onAttemptFailed(const http::CallFailure &failure)
{
    if (this->isFinished)
        return;
    this->cancelCall();
    const AttemptOutcome attemptOutcome
        = failure.mayHaveBeenSent ? AttemptOutcome::Broken : AttemptOutcome::NeverSent;
    switch (
        this->attempts.onFailed(attemptOutcome, failure.reason, !this->rankedEndpoints().empty())) {
    case RetryDecision::Retry:
        return this->startAttempt();
    case RetryDecision::Refuse:
        return this->stop(unavailable(
            "no_endpoint", "the service cannot be reached: " + failure.reason, DefaultRetryAfter));
    case RetryDecision::PassOn:
    case RetryDecision::Fail:
        return this->stop({502,
                           "server_error",
                           "outcome_unknown",
                           "the service's answer was lost: " + failure.reason,
                           RunOutcome::Unknown,
                           {}});
    }
}

void ServiceCall::cancelCall()
{
    if (!this->call)
        return;
    this->call->cancel();
    this->call.reset();
}

void ServiceCall::stop(ErrorResponse error)
{
    if (this->isFinished)
        return;
    if (this->attempts.outcome() != RunOutcome::NotRun)
        error.outcome = RunOutcome::Unknown;
    this->cancelCall();
    this->caller.exchange->respond(toResponse(error, this->caller.id));
    if (error.outcome == RunOutcome::NotRun)
        this->context.metrics.countRefusal(error.code);
    this->finish(error.status, error.outcome);
}

void ServiceCall::finish(int answerStatus, RunOutcome outcome)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    this->deadlineTimer.cancel();
    this->attempts.finish(false);
    this->recordOutcome(answerStatus, outcome);
    if (this->isAdmitted)
        this->context.fleet.returnTokens(this->caller.tokenRequestId, 0);
    else
        this->context.fleet.cancelTokenRequest(this->caller.tokenRequestId);
    this->context.metrics.countAnswer("service", toString(outcome), answerStatus);
    const auto elapsed
        = std::chrono::duration_cast<Millis>(monoNow() - this->caller.arrivedAt).count();
    this->context.timeline.add(
        EventKind::RequestDone, this->caller.id, this->caller.organisation,
        {{"status", answerStatus}, {"outcome", toString(outcome)}, {"ms", elapsed}});
    this->caller.exchange->onClosed(nullptr);
    this->onDone(*this);
}

} // namespace lavenderhall
