#pragma once

#include "placement/endpointranking.h"
#include "router/attempts.h"
#include "router/context.h"
#include "streams/relay.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// One request to a model, from its admission to the last byte of the answer.
namespace lavenderhall {

/// A checked completion request.
struct ModelRequest
{
    std::string path;
    Json body; ///< to send to the engine
    bool streams = false; ///< the caller wants an event stream
    std::int64_t promptTokens = 0; ///< estimated from the size of the prompt
    std::int64_t maxTokens = 0; ///< limit of generated tokens
    std::vector<BlockHash> prefix; ///< hashes of the blocks of the prompt
    PrefixScope scope;
};

/// Checks \a body and returns the request to send to an engine, or an error whose detail goes to
/// the caller.
Outcome<ModelRequest> readModelRequest(const CallerRequest &caller, const Json &body,
                                       const Document &document);

/// Sends the request to an engine, forwards the answer, and retries or resumes it at another engine
/// after a failure.
class ModelCall : public std::enable_shared_from_this<ModelCall>
{
public:
    using DoneHandler = std::function<void(const ModelCall &)>;

    /// \a onDone is called once when the call has ended.
    ModelCall(RouterContext &context, CallerRequest caller, ModelRequest request,
              DoneHandler onDone);

    /// Returns the tokens charged in advance: the prompt and the limit of generated tokens.
    double chargedTokens() const
    {
        return static_cast<double>(this->modelRequest.promptTokens + this->modelRequest.maxTokens);
    }
    /// Starts the first attempt, once the tokens are granted.
    void start();
    /// Ends the call at once with \a error, as an error event if a stream has already begun.
    void stop(ErrorResponse error);

    /// Sets the id of the pending request for tokens, which is cancelled if the caller disconnects.
    void onAdmissionRequested(std::uint64_t tokenRequestId);
    const CallerRequest &request() const { return this->caller; }

private:
    std::vector<Candidate> rankedEndpoints() const;
    void startAttempt();
    http::CallRequest buildCall(const EndpointView &view) const;
    void onHead(int status, const http::Headers &headers);
    void onData(std::string_view data);
    void onStreamData(std::string_view data);
    void handleRelayAction(const RelayAction &action);
    void onEnd();
    void onWholeAnswer();
    void onAttemptFailed(const http::CallFailure &failure);
    void retryOrGiveUp(AttemptOutcome attemptOutcome, const std::string &reason);
    void onInterrupted(const std::string &reason);
    void cancelCall();
    void armGapTimer();
    void onGapTimer();
    void forward(const std::string &bytes);
    void returnUnusedTokens();
    /// \a answerStatus is 0 if the caller has got no answer.
    void finish(int answerStatus, RunOutcome outcome);
    http::Headers answerHeaders(const char *contentType) const;

    RouterContext &context;
    CallerRequest caller;
    ModelRequest modelRequest;
    DoneHandler onDone;
    StreamRelay relay;
    http::CallPtr call;
    http::Timer gapTimer;
    http::Timer deadlineTimer;
    MonoTime lastDataAt{};
    CallAttempts attempts;
    int status = 0; ///< of the endpoint's answer
    bool isEventStream = false;
    bool isPaused = false; ///< reading from the engine stopped, since the caller reads too slowly
    bool hasSentFirstToken = false;
    bool isAdmitted = false;
    bool isFinished = false;
    std::string wholeAnswer; ///< body of an answer that is not streamed
    std::int64_t outputTokens = 0; ///< reported by the engine in a whole answer
};

} // namespace lavenderhall
