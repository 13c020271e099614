#pragma once

#include "http/server.h"

#include <optional>
#include <string>

/// Answers that the router itself gives, in the OpenAI error format.
namespace lavenderhall {

/// What is known of whether a request ran at an endpoint.
enum class RunOutcome {
    NotRun, ///< certain: no byte of it can have reached an endpoint
    Unknown, ///< it may have run, in whole or in part
    Ran,
};

/// Returns the value of the outcome header, e.g. "not-run".
const char *toString(RunOutcome outcome);

inline constexpr const char *OutcomeHeader = "x-lavenderhall-outcome";
inline constexpr const char *RequestIdHeader = "x-request-id";
inline constexpr const char *ReplayedHeader = "x-lavenderhall-replayed";
inline constexpr const char *IdempotencyHeader = "idempotency-key";

/// One error answer.
struct Refusal
{
    int status = 500;
    std::string type; ///< class of error as OpenAI clients know it
    std::string code; ///< short fixed name of the reason
    std::string message;
    RunOutcome outcome = RunOutcome::NotRun;
    std::optional<Millis> retryAfter; ///< when a retry may succeed

    bool operator==(const Refusal &) const = default;
};

/// Returns {"error":{...}} as text.
std::string errorBody(const Refusal &refusal, const std::string &requestId);

/// Returns the whole answer for \a refusal.
http::Response toResponse(const Refusal &refusal, const std::string &requestId);

Refusal badRequest(std::string code, std::string message);
Refusal unauthorized(std::string code, std::string message);
Refusal unavailable(std::string code, std::string message, Millis retryAfter);

} // namespace lavenderhall
