#pragma once

#include "http/message.h"
#include "routing/table.h"

#include <optional>
#include <string>
#include <vector>

/// The forwarded messages, independent of their names on the wire: a caller's request, the metadata
/// that an endpoint receives with it, and the head of the endpoint's answer.
namespace lavenderhall {

/// One part of a prompt. Requests that name the same id have this part in common.
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/// A request from a caller.
struct ForwardRequest
{
    std::string id; ///< a new one each time the caller sends the request
    http::Method method = http::Method::Get;
    std::string target; ///< path and query as sent
    std::string path;
    std::string host;
    http::Headers headers; ///< those that are forwarded unchanged
    std::string body;
    std::string key; ///< API key; "" if the caller sent none
    std::optional<Millis> callerTimeout; ///< how long the caller waits for the whole answer
    std::string model; ///< "" for requests that run on no model
    std::optional<std::int64_t> promptTokens;
    std::int64_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< in order; only the last one is not shared
    std::string lastEventId; ///< set if the caller resumes a stream after this event
    std::string resumedRequest; ///< id of the request that began the stream that is resumed

    bool operator==(const ForwardRequest &) const = default;
};

/// The metadata that one attempt at an endpoint carries with the request.
struct AttemptMetadata
{
    std::string endpointId; ///< only this endpoint may run it
    Millis timeLeft{0}; ///< how much longer the caller waits
    std::string organisation; ///< "" on public routes
    std::string cacheSalt; ///< cached prompts are only shared between requests with the same salt
    std::optional<int> priority;
    std::optional<std::int64_t> weightsVersion; ///< only these weights may run it
    std::optional<Address> cacheSource; ///< another engine that may have cached parts of the prompt
    std::optional<Address> cacheTarget; ///< store to which the engine sends the parts that it reads
    std::string resumeAfter; ///< id of the last event that the caller has received

    bool operator==(const AttemptMetadata &) const = default;
};

/// What an endpoint states in an answer about how many requests it accepts from all instances.
struct LimitStatement
{
    enum class Kind {
        None, ///< the answer names no limit
        Named,
        Malformed, ///< the answer names a limit that cannot be read
    };

    Kind kind = Kind::None;
    double requestsPerSecond = 0; ///< if it is named
    std::string text; ///< as received

    bool operator==(const LimitStatement &) const = default;
};

/// The mark of answers by which an endpoint states that it has not run a request.
enum class NotRunMark {
    None,
    Present,
    Malformed, ///< something else stands in its place
};

/// Status and headers of an endpoint's answer.
struct AnswerHead
{
    int status = 0;
    std::string requestId; ///< id of the request that it answers, as the endpoint states
    bool isSealed = false; ///< has the seal by which an endpoint marks its own answers
    NotRunMark notRunMark = NotRunMark::None;
    std::string notRunText; ///< of the mark, as received
    /// A header that an endpoint sends once and that this answer has more often; "" if there is
    /// none.
    std::string repeatedHeader;
    bool isLeaving = false; ///< the endpoint states that it stops soon
    /// For this long the endpoint wants no requests from this instance; only with status 503.
    std::optional<Millis> pause;
    LimitStatement limit;
    bool isBrittle = false; ///< the endpoint states that its service is
    std::optional<std::int64_t> weightsVersion;
    http::Headers headers; ///< those that are forwarded unchanged

    bool operator==(const AnswerHead &) const = default;
};

/// The router's own answer to a request that it refuses or that failed.
struct ForwardRefusal
{
    int status = 503;
    std::string reason; ///< short text for logs and the answer's body; usually a fixed name
    std::optional<Millis> retryAfter;
    bool isRetryHopelessBefore = false; ///< a retry before retryAfter would be refused again
    /// retryAfter was chosen for this caller alone and needs no random part.
    bool isRetryAfterSpread = false;

    bool operator==(const ForwardRefusal &) const = default;
};

} // namespace lavenderhall
