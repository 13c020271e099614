#include "router/gateway.h"

#include "base/digest.h"

namespace lavenderhall {

namespace {

constexpr std::string_view ServicePath = "/svc/";
constexpr std::size_t RequestIdBytes = 12;
constexpr Millis NotReadyRetryAfter{500};
constexpr std::size_t MaxQuotedNameLength = 100; ///< of an unknown route in an error message
constexpr double ServiceCallTokens = 1; ///< what one service call counts against the rate

/// Returns for how long a request may wait for tokens of its organisation's rate.
Millis admissionTimeout(TrafficClass trafficClass)
{
    switch (trafficClass) {
    case TrafficClass::Interactive:
        return Millis(1000);
    case TrafficClass::Long:
        return Millis(5000);
    case TrafficClass::Background:
        return Millis(20'000);
    }
    return Millis(1000);
}

bool isCompletionPath(const std::string &path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

ErrorResponse methodNotAllowed(const std::string &allowed)
{
    return {405,
            "invalid_request_error",
            "method_not_allowed",
            "this path takes " + allowed,
            RunOutcome::NotRun,
            {}};
}

ErrorResponse notFound(std::string code, std::string message)
{
    return {404, "invalid_request_error", std::move(code), std::move(message), RunOutcome::NotRun,
            {}};
}

ErrorResponse instanceCutOff()
{
    return unavailable("instance_cut_off",
                       "this instance is cut off and cannot know whether the key still holds",
                       NotReadyRetryAfter);
}

ErrorResponse keyWithdrawn()
{
    return unauthorized("key_withdrawn", "the key has been withdrawn");
}

} // namespace

Gateway::Gateway(RouterContext &context)
    : context(context)
{ }

void Gateway::onRequest(const http::ExchangePtr &exchange)
{
    CallerRequest caller;
    caller.exchange = exchange;
    caller.id = randomHex(RequestIdBytes);
    caller.arrivedAt = monoNow();
    caller.secret
        = std::string(bearerSecret(http::findHeader(exchange->request().headers, "authorization")));
    const std::string &path = exchange->request().path;
    this->context.timeline.add(EventKind::RequestArrived, caller.id, "",
                               {{"method", http::toString(exchange->request().method)},
                                {"bytes", exchange->request().body.size()}});
    if (this->context.drain.refusesNew(caller.arrivedAt))
        return this->refuse(caller,
                            unavailable("draining", "this instance is stopping", Millis(0)));
    if (!this->context.config)
        return this->refuse(caller,
                            unavailable("no_configuration", "no configuration is in force yet",
                                        NotReadyRetryAfter));
    if (path == "/v1/models")
        return this->serveModelList(exchange, caller.id);
    if (isCompletionPath(path))
        return this->serveCompletion(std::move(caller));
    if (path.starts_with(ServicePath))
        return this->serveService(std::move(caller));
    this->refuse(caller, notFound("unknown_path", "there is nothing under this path"));
}

void Gateway::serveModelList(const http::ExchangePtr &exchange, const std::string &id)
{
    CallerRequest caller;
    caller.exchange = exchange;
    caller.id = id;
    caller.secret
        = std::string(bearerSecret(http::findHeader(exchange->request().headers, "authorization")));
    if (exchange->request().method != http::Method::Get)
        return this->refuse(caller, methodNotAllowed("GET"));
    const bool hasValidKey = this->context.keyring.find(caller.secret) != nullptr;
    if (!hasValidKey && !caller.secret.empty())
        return this->refuse(caller, unauthorized("invalid_api_key", "the key is not known"));
    Json list = Json::array();
    for (const Route &route : this->context.config->document.routes) {
        if (route.kind != RouteKind::Model || (!hasValidKey && !route.isOpen()))
            continue;
        list.push_back({{"id", route.name},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "lavenderhall"}});
    }
    const Json body{{"object", "list"}, {"data", list}};
    exchange->respond(
        {200, {{"content-type", "application/json"}, {RequestIdHeader, id}}, writeJson(body)});
}

bool Gateway::authenticate(CallerRequest &caller)
{
    if (caller.secret.empty()) {
        if (!caller.route.isOpen()) {
            this->refuse(caller,
                         unauthorized("missing_api_key",
                                      "send a key in the header \"Authorization: Bearer KEY\""));
            return false;
        }
        caller.organisation = caller.route.openFor;
        return true;
    }
    if (this->context.fleet.isCutOff()) {
        this->refuse(caller, instanceCutOff());
        return false;
    }
    const KeyOwner *owner = this->context.keyring.find(caller.secret);
    if (!owner) {
        this->refuse(caller,
                     unauthorized("invalid_api_key", "the key is not known, or was withdrawn"));
        return false;
    }
    caller.organisation = owner->organisation;
    caller.keyId = owner->keyId;
    return true;
}

bool Gateway::refuseIfKeyLeaked(const CallerRequest &caller, const std::string &content)
{
    if (caller.secret.empty() || content.find(caller.secret) == std::string::npos)
        return false;
    this->refuse(caller, badRequest("key_in_request", "the key may stand in the header only"));
    return true;
}

void Gateway::serveCompletion(CallerRequest caller)
{
    const http::Request &request = caller.exchange->request();
    if (request.method != http::Method::Post)
        return this->refuse(caller, methodNotAllowed("POST"));
    const Json body = readJson(request.body);
    if (!body.is_object())
        return this->refuse(caller, badRequest("malformed_json", "the body is not a JSON object"));
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return this->refuse(caller,
                            badRequest("missing_model", "field \"model\": expected a text"));
    const std::string name = model->get<std::string>();
    const Route *route = this->context.config->document.findRoute(name);
    if (!route || route->kind != RouteKind::Model) {
        if (!caller.secret.empty() && !this->context.keyring.find(caller.secret))
            return this->refuse(
                caller, unauthorized("invalid_api_key", "the key is not known, or was withdrawn"));
        return this->refuse(
            caller,
            notFound("model_not_found",
                     "there is no model route \"" + name.substr(0, MaxQuotedNameLength) + "\""));
    }
    caller.route = *route;
    if (!this->authenticate(caller))
        return;
    // The body is serialized again, so that escape sequences cannot hide the key.
    if (this->refuseIfKeyLeaked(caller, writeJson(body)))
        return;
    this->startModelCall(std::move(caller), body);
}

void Gateway::startModelCall(CallerRequest caller, const Json &body)
{
    Outcome<ModelRequest> modelRequest
        = readModelRequest(caller, body, this->context.config->document);
    if (const auto *error = std::get_if<Error>(&modelRequest))
        return this->refuse(caller, badRequest("invalid_request", error->detail));
    const std::string id = caller.id;
    auto call = std::make_shared<ModelCall>(
        this->context, std::move(caller), std::get<ModelRequest>(std::move(modelRequest)),
        [this](const ModelCall &ended) { this->modelCalls.erase(ended.request().id); });
    this->modelCalls.emplace(id, call);
    this->admit(call, call->chargedTokens());
}

// The call is already in the table of calls, so a withdrawn key or a drain can end it while it
// waits for tokens.
template <typename Call> void Gateway::admit(const std::shared_ptr<Call> &call, double tokens)
{
    const CallerRequest &caller = call->request();
    const Organisation *organisation
        = this->context.config->document.findOrganisation(caller.organisation);
    if (organisation && tokens > static_cast<double>(organisation->burstTokens))
        return call->stop({429,
                           "rate_limit_error",
                           "request_exceeds_burst",
                           "the request counts as " + std::to_string(static_cast<long>(tokens))
                               + " tokens, more than the organisation's burst of "
                               + std::to_string(organisation->burstTokens),
                           RunOutcome::NotRun,
                           {}});
    call->onAdmissionRequested(this->context.fleet.requestTokens(
        caller.organisation, tokens, admissionTimeout(caller.route.trafficClass),
        [call](const BorrowResult &result) {
            if (result.isGranted)
                return call->start();
            if (!result.isAnswered)
                return call->stop(unavailable("limits_unavailable",
                                              "nobody can decide on the organisation's rate now",
                                              result.retryAfter));
            call->stop({429, "rate_limit_error", "rate_limit_exceeded",
                        "the organisation's token rate is used up", RunOutcome::NotRun,
                        result.retryAfter});
        }));
}

void Gateway::serveService(CallerRequest caller)
{
    const http::Request &request = caller.exchange->request();
    const std::string routePath = request.path.substr(ServicePath.size());
    const std::size_t slash = routePath.find('/');
    const std::string name = routePath.substr(0, slash);
    const Route *route = this->context.config->document.findRoute(name);
    if (!route || route->kind != RouteKind::Service)
        return this->refuse(
            caller,
            notFound("unknown_route",
                     "there is no service route \"" + name.substr(0, MaxQuotedNameLength) + "\""));
    caller.route = *route;
    if (!this->authenticate(caller))
        return;
    // The target is decoded, so that percent-encoding cannot hide the key.
    if (this->refuseIfKeyLeaked(caller, http::percentDecoded(request.target) + "\n" + request.body))
        return;
    std::string path = slash == std::string::npos ? "/" : routePath.substr(slash);
    if (!request.query.empty())
        path += "?" + request.query;
    const std::string id = caller.id;
    auto call = std::make_shared<ServiceCall>(
        this->context, std::move(caller), std::move(path),
        [this](const ServiceCall &ended) { this->serviceCalls.erase(ended.request().id); });
    this->serviceCalls.emplace(id, call);
    this->admit(call, ServiceCallTokens);
}

void Gateway::refuse(const CallerRequest &caller, ErrorResponse error)
{
    this->context.metrics.countRefusal(error.code);
    this->context.metrics.countAnswer("refusal", toString(error.outcome), error.status);
    this->context.timeline.add(EventKind::RequestRefused, caller.id, caller.organisation,
                               {{"status", error.status}, {"code", error.code}});
    caller.exchange->respond(toResponse(error, caller.id));
}

void Gateway::onConfig(const ActiveConfigPtr &config)
{
    this->context.config = config;
    this->context.keyring = Keyring(config->document);
    this->context.endpointTable.configure(config->document);
    const auto hasWithdrawnKey = [this](const CallerRequest &caller) {
        return !caller.keyId.empty() && !this->context.keyring.containsId(caller.keyId);
    };
    const auto stopWithWithdrawnKey = [&](const auto &calls) {
        for (const auto &[id, call] : calls) {
            if (!hasWithdrawnKey(call->request()))
                continue;
            this->context.timeline.add(EventKind::KeyWithdrawn, id, call->request().organisation,
                                       {{"key", call->request().keyId}});
            call->stop(keyWithdrawn());
        }
    };
    // Copies, since a call that is stopped removes itself from the table.
    const auto models = this->modelCalls;
    const auto services = this->serviceCalls;
    stopWithWithdrawnKey(models);
    stopWithWithdrawnKey(services);
}

void Gateway::checkCutOff()
{
    if (!this->context.fleet.isCutOff())
        return;
    const auto stopCallsWithKey = [](const auto &calls) {
        for (const auto &[id, call] : calls) {
            if (!call->request().keyId.empty())
                call->stop(instanceCutOff());
        }
    };
    // Copies, since a call that is stopped removes itself from the table.
    const auto models = this->modelCalls;
    const auto services = this->serviceCalls;
    stopCallsWithKey(models);
    stopCallsWithKey(services);
}

std::size_t Gateway::backlogBytes() const
{
    std::size_t total = 0;
    for (const auto &[id, call] : this->modelCalls)
        total += call->request().exchange->backlog();
    return total;
}

void Gateway::stopAll()
{
    const ErrorResponse error = unavailable("stopping", "this instance is stopping", Millis(0));
    // Copies, since a call that is stopped removes itself from the table.
    const auto models = this->modelCalls;
    const auto services = this->serviceCalls;
    for (const auto &[id, call] : models)
        call->stop(error);
    for (const auto &[id, call] : services)
        call->stop(error);
}

} // namespace lavenderhall
