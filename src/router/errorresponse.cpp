#include "router/errorresponse.h"

#include "base/json.h"

namespace lavenderhall {

const char *toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::Unknown:
        return "unknown";
    case RunOutcome::Ran:
        return "ran";
    }
    return "unknown";
}

std::string errorBody(const ErrorResponse &error, const std::string &requestId)
{
    const Json body{{"error",
                     {{"type", error.type},
                      {"code", error.code},
                      {"message", error.message},
                      {"param", nullptr},
                      {"request_id", requestId},
                      {"outcome", toString(error.outcome)}}}};
    return writeJson(body);
}

http::Response toResponse(const ErrorResponse &error, const std::string &requestId)
{
    http::Response response;
    response.status = error.status;
    response.headers = {{"content-type", "application/json"},
                        {RequestIdHeader, requestId},
                        {OutcomeHeader, toString(error.outcome)}};
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter);
        response.headers.push_back({"retry-after", std::to_string(seconds.count())});
        response.headers.push_back({"retry-after-ms", std::to_string(error.retryAfter->count())});
    }
    response.body = errorBody(error, requestId);
    return response;
}

ErrorResponse badRequest(std::string code, std::string message)
{
    return {400, "invalid_request_error", std::move(code), std::move(message), RunOutcome::NotRun,
            {}};
}

ErrorResponse unauthorized(std::string code, std::string message)
{
    return {401, "authentication_error", std::move(code), std::move(message), RunOutcome::NotRun,
            {}};
}

ErrorResponse unavailable(std::string code, std::string message, Millis retryAfter)
{
    return {503,       "server_error", std::move(code), std::move(message), RunOutcome::NotRun,
            retryAfter};
}

} // namespace lavenderhall
