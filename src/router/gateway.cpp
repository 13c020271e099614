#include "router/gateway.h"

#include "base/digest.h"

namespace lavenderhall {

namespace {

constexpr std::string_view ServicePath = "/svc/";
constexpr std::size_t RequestIdBytes = 12;
constexpr Millis StartHint{500};
constexpr double ServiceCallTokens = 1;

/// How long a request may wait for its organisation's tokens.
Millis patienceOf(TrafficClass trafficClass)
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

Refusal wrongMethod(const std::string &allowed)
{
    return {405,
            "invalid_request_error",
            "method_not_allowed",
            "this path takes " + allowed,
            RunOutcome::NotRun,
            {}};
}

Refusal notFound(std::string code, std::string message)
{
    return {404, "invalid_request_error", std::move(code), std::move(message), RunOutcome::NotRun,
            {}};
}

Refusal cutOff()
{
    return unavailable("instance_cut_off",
                       "this instance is cut off and cannot know whether the key still holds",
                       StartHint);
}

Refusal keyWithdrawn()
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
    if (this->draining)
        return this->refuse(caller,
                            unavailable("draining", "this instance is stopping", Millis(0)));
    if (!this->context.config)
        return this->refuse(
            caller, unavailable("no_configuration", "no configuration is in force yet", StartHint));
    if (path == "/v1/models")
        return this->serveModels(exchange, caller.id);
    if (isCompletionPath(path))
        return this->serveCompletion(std::move(caller));
    if (path.starts_with(ServicePath))
        return this->serveService(std::move(caller));
    this->refuse(caller, notFound("unknown_path", "there is nothing under this path"));
}

void Gateway::serveModels(const http::ExchangePtr &exchange, const std::string &id)
{
    CallerRequest caller;
    caller.exchange = exchange;
    caller.id = id;
    caller.secret
        = std::string(bearerSecret(http::findHeader(exchange->request().headers, "authorization")));
    if (exchange->request().method != http::Method::Get)
        return this->refuse(caller, wrongMethod("GET"));
    const bool isKnown = this->context.keyring.find(caller.secret) != nullptr;
    if (!isKnown && !caller.secret.empty())
        return this->refuse(caller, unauthorized("invalid_api_key", "the key is not known"));
    Json list = Json::array();
    for (const Route &route : this->context.config->document.routes) {
        if (route.kind != RouteKind::Model || (!isKnown && !route.isOpen()))
            continue;
        list.push_back({{"id", route.name},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "lavenderhall"}});
    }
    const Json body{{"object", "list"}, {"data", list}};
    exchange->respond(
        {200, {{"content-type", "application/json"}, {RequestIdHeader, id}}, body.dump()});
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
        this->refuse(caller, cutOff());
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

bool Gateway::leaksKey(const CallerRequest &caller, const std::string &sent)
{
    if (caller.secret.empty() || sent.find(caller.secret) == std::string::npos)
        return false;
    this->refuse(caller, badRequest("key_in_request", "the key may stand in the header only"));
    return true;
}

void Gateway::serveCompletion(CallerRequest caller)
{
    const http::Request &request = caller.exchange->request();
    if (request.method != http::Method::Post)
        return this->refuse(caller, wrongMethod("POST"));
    const Json body = Json::parse(request.body, nullptr, false);
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
            notFound("model_not_found", "there is no model route \"" + name.substr(0, 100) + "\""));
    }
    caller.route = *route;
    if (!this->authenticate(caller))
        return;
    // Printed anew, so that escapes in the text cannot hide the key.
    if (this->leaksKey(caller, body.dump(-1, ' ', false, Json::error_handler_t::replace)))
        return;
    this->startModelCall(std::move(caller), body);
}

void Gateway::startModelCall(CallerRequest caller, const Json &body)
{
    Outcome<ModelRequest> read = readModelRequest(caller, body, this->context.config->document);
    if (const auto *error = std::get_if<Error>(&read))
        return this->refuse(caller, badRequest("invalid_request", error->detail));
    const std::string id = caller.id;
    auto call = std::make_shared<ModelCall>(
        this->context, std::move(caller), std::get<ModelRequest>(std::move(read)),
        [this](const ModelCall &ended) { this->modelCalls.erase(ended.request().id); });
    this->modelCalls.emplace(id, call);
    this->admit(call, call->tokens());
}

// The call is in the table from here on, so a withdrawn key or a drain finds it while it waits.
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
    call->onAdmissionAsked(this->context.fleet.requestTokens(
        caller.organisation, tokens, patienceOf(caller.route.trafficClass),
        [call](const BorrowResult &result) {
            if (result.granted)
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
    const std::string rest = request.path.substr(ServicePath.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const Route *route = this->context.config->document.findRoute(name);
    if (!route || route->kind != RouteKind::Service)
        return this->refuse(
            caller,
            notFound("unknown_route", "there is no service route \"" + name.substr(0, 100) + "\""));
    if (request.method == http::Method::Other)
        return this->refuse(caller, wrongMethod("the usual HTTP methods"));
    caller.route = *route;
    if (!this->authenticate(caller))
        return;
    // Decoded, so that escapes in the target cannot hide the key.
    if (this->leaksKey(caller, http::percentDecoded(request.target) + "\n" + request.body))
        return;
    std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!request.query.empty())
        path += "?" + request.query;
    const std::string id = caller.id;
    auto call = std::make_shared<ServiceCall>(
        this->context, std::move(caller), std::move(path),
        [this](const ServiceCall &ended) { this->serviceCalls.erase(ended.request().id); });
    this->serviceCalls.emplace(id, call);
    this->admit(call, ServiceCallTokens);
}

void Gateway::refuse(const CallerRequest &caller, Refusal refusal)
{
    this->context.metrics.countRefusal(refusal.code);
    this->context.metrics.countAnswer("refusal", toString(refusal.outcome), refusal.status);
    this->context.timeline.add(EventKind::RequestRefused, caller.id, caller.organisation,
                               {{"status", refusal.status}, {"code", refusal.code}});
    caller.exchange->respond(toResponse(refusal, caller.id));
}

void Gateway::onConfig(const ActiveConfigPtr &config)
{
    this->context.config = config;
    this->context.keyring = Keyring(config->document);
    this->context.endpointTable.configure(config->document);
    const auto isWithdrawn = [this](const CallerRequest &caller) {
        return !caller.keyId.empty() && !this->context.keyring.isInForce(caller.keyId);
    };
    const auto stopWithdrawn = [&](const auto &calls) {
        for (const auto &[id, call] : calls) {
            if (!isWithdrawn(call->request()))
                continue;
            this->context.timeline.add(EventKind::KeyWithdrawn, id, call->request().organisation,
                                       {{"key", call->request().keyId}});
            call->stop(keyWithdrawn());
        }
    };
    const auto models = this->modelCalls;
    const auto services = this->serviceCalls;
    stopWithdrawn(models);
    stopWithdrawn(services);
}

void Gateway::checkCutOff()
{
    if (!this->context.fleet.isCutOff())
        return;
    const auto stopKeyed = [](const auto &calls) {
        for (const auto &[id, call] : calls) {
            if (!call->request().keyId.empty())
                call->stop(cutOff());
        }
    };
    const auto models = this->modelCalls;
    const auto services = this->serviceCalls;
    stopKeyed(models);
    stopKeyed(services);
}

void Gateway::beginDrain()
{
    this->draining = true;
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
    const Refusal refusal = unavailable("stopping", "this instance is stopping", Millis(0));
    const auto models = this->modelCalls;
    const auto services = this->serviceCalls;
    for (const auto &[id, call] : models)
        call->stop(refusal);
    for (const auto &[id, call] : services)
        call->stop(refusal);
}

} // namespace lavenderhall
