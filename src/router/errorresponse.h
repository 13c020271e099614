#pragma once

#include "http/server.h"

#include <optional>
#include <string>

/// Error responses that the router itself creates, in the OpenAI error format.
namespace lavenderhall {

/// Whether a request was executed by an endpoint, as far as the router knows.
enum class RunOutcome {
    NotRun, ///< certainly not executed
    Unknown, ///< it may have been executed, completely or in part
    Ran, ///< an endpoint has answered it
};

/// Returns the value of the outcome header, such as "not-run".
const char *toString(RunOutcome outcome);

/// Headers of answers; the idempotency key is a header of requests.
inline constexpr const char *OutcomeHeader = "x-lavenderhall-outcome";
inline constexpr const char *RequestIdHeader = "x-request-id";
inline constexpr const char *ReplayedHeader = "x-lavenderhall-replayed";
inline constexpr const char *IdempotencyHeader = "idempotency-key";

/// An error response before it is serialized.
struct ErrorResponse
{
    int status = 500; ///< HTTP status
    std::string type; ///< error type of the OpenAI API
    std::string code; ///< machine-readable reason, such as "route_timeout"
    std::string message;
    RunOutcome outcome = RunOutcome::NotRun;
    std::optional<Millis> retryAfter; ///< delay after which a retry may succeed

    bool operator==(const ErrorResponse &) const = default;
};

/// Returns the JSON body {"error":{...}}.
std::string errorBody(const ErrorResponse &error, const std::string &requestId);

/// Returns the HTTP response for \a error.
http::Response toResponse(const ErrorResponse &error, const std::string &requestId);

/// The following return responses for requests that were not executed, with status 400, 401 and
/// 503.
ErrorResponse badRequest(std::string code, std::string message);
ErrorResponse unauthorized(std::string code, std::string message);
ErrorResponse unavailable(std::string code, std::string message, Millis retryAfter);

} // namespace lavenderhall
