#pragma once

#include "http/message.h"
#include "routing/table.h"

#include <optional>
#include <string>
#include <vector>

/// What is forwarded: a caller's request, what an endpoint gets along with it, and the head of
/// its answer, each decoded from whatever names they have on the wire.
namespace lavenderhall {

/// One part of a prompt, shared with other requests that name the same part.
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

struct ForwardRequest
{
    std::string id; ///< of this one attempt of the caller
    http::Method method = http::Method::Get;
    std::string target; ///< path and query as sent
    std::string path;
    std::string host;
    http::Headers headers; ///< to be passed on as they are
    std::string body;
    std::string key; ///< "" without one
    std::optional<Millis> callerTimeout; ///< how long the caller waits for the whole answer
    std::string model; ///< "" for requests that run on no model
    std::optional<std::int64_t> promptTokens;
    std::int64_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< in order; the last one is the request's own
    std::string lastEventId; ///< the caller resumes a stream after this event

    bool operator==(const ForwardRequest &) const = default;
};

/// What one attempt at an endpoint carries besides the request.
struct AttemptMetadata
{
    std::string endpointId; ///< only this endpoint may run it
    Millis timeLeft{0};
    std::string organisation; ///< "" on public routes
    std::string cacheSalt; ///< cached prompts are found under the same salt only
    std::optional<int> priority;
    std::optional<std::int64_t> weightsVersion; ///< only these weights may run it
    std::optional<Address> cacheSource; ///< another engine that keeps parts of the prompt
    std::string resumeAfter; ///< id of the last event that the caller has

    bool operator==(const AttemptMetadata &) const = default;
};

struct AnswerHead
{
    int status = 0;
    std::string requestId; ///< whose answer it says it is
    bool isSealed = false; ///< carries the endpoint's mark of a genuine answer
    bool isNotRun = false; ///< the endpoint states that it has not run the request
    std::optional<std::int64_t> weightsVersion;
    http::Headers headers; ///< to be passed on as they are

    bool operator==(const AnswerHead &) const = default;
};

/// The router's own answer to a request that it does not serve.
struct ForwardRefusal
{
    int status = 503;
    std::string reason; ///< short fixed name, for logs and the answer's body
    std::optional<Millis> retryAfter;

    bool operator==(const ForwardRefusal &) const = default;
};

} // namespace lavenderhall
