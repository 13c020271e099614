#pragma once

#include "placement/endpointranking.h"
#include "router/attempts.h"
#include "router/context.h"
#include "streams/relay.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// One request to a model, from its admission to the last byte of its answer.
namespace lavenderhall {

/// A checked body of a completion request.
struct ModelRequest
{
    std::string path;
    Json body;
    bool streams = false;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::vector<BlockHash> prefix;
    PrefixScope scope;
};

/// Checks the body of \a caller's request against its route.
Outcome<ModelRequest> readModelRequest(const CallerRequest &caller, const Json &body,
                                       const Document &document);

class ModelCall : public std::enable_shared_from_this<ModelCall>
{
public:
    using Done = std::function<void(const ModelCall &)>;

    ModelCall(RouterContext &context, CallerRequest caller, ModelRequest request, Done done);

    /// Tokens that the request may use at the most.
    double tokens() const
    {
        return static_cast<double>(this->model.promptTokens + this->model.maxTokens);
    }
    /// Chooses an endpoint and starts the first attempt.
    void start();
    /// Ends the call at once with \a refusal: an answer if none has begun, else an error event.
    void stop(Refusal refusal);

    /// Takes the number under which tokens have been asked for, so that they can go back.
    void onAdmissionAsked(std::uint64_t tokensRequest);
    const CallerRequest &request() const { return this->caller; }

private:
    std::vector<Candidate> rankedEndpoints() const;
    void startAttempt();
    http::CallRequest buildCall(const EndpointView &view) const;
    void onHead(int status, const http::Headers &headers);
    void onData(std::string_view data);
    void onStreamData(std::string_view data);
    void act(const RelayAction &action);
    void onEnd();
    void onWholeAnswer();
    void onAttemptFailed(const http::CallFailure &failure);
    void retryOrGiveUp(AttemptOutcome end, const std::string &reason);
    void onInterrupted(const std::string &reason);
    void dropCall();
    void armGapTimer();
    void onGapTimer();
    void forward(const std::string &bytes);
    void giveTokensBack();
    void finish(int status, RunOutcome outcome);
    http::Headers answerHeaders(const char *contentType) const;

    RouterContext &context;
    CallerRequest caller;
    ModelRequest model;
    Done done;
    StreamRelay relay;
    http::CallPtr call;
    http::Timer gapTimer;
    http::Timer deadlineTimer;
    MonoTime lastDataAt{};
    CallAttempts attempts;
    int status = 0;
    bool isEventStream = false;
    bool isPaused = false;
    bool firstTokenSeen = false;
    bool isAdmitted = false;
    bool finished = false;
    std::string wholeAnswer;
    std::int64_t outputTokens = 0;
};

} // namespace lavenderhall
