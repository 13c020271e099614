#pragma once

#include "admission/calladmission.h"
#include "base/log.h"
#include "drain/drain.h"
#include "forward/adapter.h"
#include "forward/crashmonitor.h"
#include "forward/endpointselector.h"
#include "forward/limitmonitor.h"
#include "forward/relay.h"
#include "forward/requestsignature.h"
#include "http/server.h"
#include "placement/cachescope.h"
#include "router/metrics.h"
#include "routing/endpointreach.h"
#include "routing/relaytargets.h"
#include "routing/retrybudget.h"
#include "routing/retrystate.h"
#include "routing/streamorigins.h"
#include "streams/eventsplitter.h"
#include "weights/versionhistory.h"

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>

/// Forwards one request of a caller to an endpoint, and the answer back.
namespace lavenderhall {

/// Outcome of a request for tokens of an organisation's rate.
struct AdmissionResult
{
    bool isGranted = false;
    bool isDecided = true; ///< whether the organisation's account has answered
    Millis retryAfter{0};
};

/// Functions by which requests are admitted within their organisations' token rates.
struct TokenAdmission
{
    using Handler = std::function<void(const AdmissionResult &answer)>;
    /// Requests \a tokens and waits for them up to \a maxWait; \a handler is called once, possibly
    /// before this returns. Returns a number to be passed to release().
    std::function<std::uint64_t(const OrganisationSpec &organisation, double tokens, Millis maxWait,
                                Handler handler)>
        request;
    /// Ends a request: returns \a unused tokens if it was granted, or cancels it if it was not yet.
    std::function<void(std::uint64_t number, bool isGranted, double unused)> release;
};

/// Functions by which the builds that begin streams are recorded and looked up.
struct StreamOriginHooks
{
    using Handler = std::function<void(const StreamOrigin &origin)>;
    /// Whether streams of the service may be sent, see StreamOrigins.
    std::function<bool(const std::string &service)> isReady;
    /// A stream is sent to an endpoint.
    std::function<void(const std::string &stream, const std::string &service,
                       const std::string &build)>
        onSent;
    /// A stream that may have been sent has not begun, and goes to another instance or to none.
    std::function<void(const std::string &stream)> onNotBegun;
    /// \a handler is called once, possibly before this returns.
    std::function<void(const std::string &stream, const std::string &service, Handler handler)>
        find;
};

/// The state shared by all requests in progress.
struct ForwardContext
{
    http::Loop &loop;
    const PlatformAdapter &adapter;
    Metrics &metrics;
    EndpointSelector &selector;
    RetryBudget &budget;
    CrashMonitor &crashMonitor;
    LimitMonitor &limitMonitor;
    http::Client client;
    TokenAdmission admission;
    StreamOriginHooks streamOrigins;
    RoutingTablePtr table; ///< nullptr until a configuration is known
    WeightsHistories namedWeights;
    /// Time after a newer version was named until no request may begin on an older one.
    Millis oldWeightsTimeout{10'000};
    pcg32 random;
    /// Called when an answer states that the address of the endpoint belongs to another one now.
    std::function<void(const std::string &endpointId)> onEndpointReplaced;
    /// Called when an endpoint states in an answer that it stops soon.
    std::function<void(const std::string &endpointId)> onEndpointLeaving;
    /// Returns the addresses at which other instances accept relayed requests.
    std::function<std::vector<Address>()> relayInstances;
    /// Called when an attempt has failed and no endpoint of the service is in reach.
    std::function<void(const std::string &service)> onCutOff{};
    RolloutHooks rollouts{}; ///< empty where services are not rolled out by version
    RelayTargets relayTargets{};
    EndpointReach reach{};
    AdmissionControl *admissionControl = nullptr; ///< nullptr: requests are sent whatever the load
    Drain drain{}; ///< of the instance
};

/// Where a request comes from.
enum class RequestSource { Caller, OtherInstance };

/// One request, from its arrival to the last byte of its answer.
class ForwardCall : public std::enable_shared_from_this<ForwardCall>
{
public:
    using DoneHandler = std::function<void(const ForwardCall &call)>;

    ForwardCall(ForwardContext &context, http::ExchangePtr exchange, ForwardRequest request,
                RequestSource source, DoneHandler onDone);

    /// Begins to process the request.
    void start();
    /// Parts of prompts or requests were blocked: ends the attempt in progress if this concerns it
    /// and its answer has not begun.
    void onNewBlocks();
    /// Versions of weights were named, or it became known when: an attempt that has not begun may
    /// have another limit.
    void onWeightsNamed() { this->armStartLimit(); }
    /// No endpoint of \a service is in reach: an attempt there that has waited for a while goes to
    /// another instance, if the request may run again.
    void onCutOff(const std::string &service);
    /// The instance stops: ends the request with an answer that tells whether it may have run.
    void stop();

private:
    /// A refusal is sent this long before the caller's timeout, so that it arrives in time.
    static constexpr Millis AnswerMargin{30};

    void refuse(ForwardRefusal refusal);
    bool findRoute();
    /// Refuses the request if it, or a part of its prompt, crashes endpoints.
    bool refuseBlocked();
    /// Ends the request if it has been blocked since its last attempt.
    bool endIfBlocked();
    bool authenticate();
    /// Whether the caller resumes a stream that an earlier request began.
    bool isResumedByCaller() const;
    /// Removes the record of the stream unless it has begun here.
    void forgetUnbegunStream();
    /// Returns the id of the request that began the stream.
    std::string streamId() const;
    /// Finds out which build began the stream that the caller resumes, and goes on with admit().
    void findOrigin();
    void onOrigin(const StreamOrigin &origin);
    void admit();
    /// Returns how long the request may wait for the tokens of its organisation's rate.
    Millis tokenWait() const;
    void onAdmitted();
    void releaseTokens();
    void recordWeights();
    void recordNotices();
    void recordLimit();
    void recordBrittleness();
    ForwardRefusal noEndpointRefusal(const char *reason) const;
    void startAttempt();
    /// Refuses the request if the instance stops and an attempt would begin too late.
    bool refuseStopping();
    /// Refuses the request if it cannot begin in time at \a chosen, the best endpoint, or
    /// elsewhere.
    bool refuseOverload(const Choice &chosen, MonoTime now);
    /// Has the request wait until an endpoint opens. Returns false if that takes too long.
    bool waitForEndpoint(MonoTime now);
    void armWaitTimer(Millis delay);
    void onQueueExit(QueueExit exit);
    AdmissionSubject admissionSubject() const;
    /// Returns the request's urgency, 0 first.
    int rank() const;
    /// Adds to a log line how long after the start of a drain, if there is one, the request came.
    void addDrain(std::vector<LogField> &fields) const;
    /// Returns how the stop of the instance has ended the request, with HTTP \a status or 0.
    StopOutcome stopOutcome(int status) const;
    /// Adds the connection of the last attempt to a log line, and what it had carried before.
    void addConnection(std::vector<LogField> &fields) const;
    /// Whether the request has been sent nowhere so far, and comes from its caller.
    bool isFirstAttempt() const;
    /// Returns the class of the log line on the end of the request, with HTTP \a status or 0.
    LineClass endLineClass(int status, const std::string &outcome) const;
    /// Logs the end of the request, with HTTP \a status or 0.
    void logEnd(int status, const std::string &outcome, std::vector<LogField> fields) const;
    /// Adds what admission control has decided to a log line.
    void addAdmission(std::vector<LogField> &fields) const;
    /// Asks for a permit to send the request to \a endpoint, which has named a limit, and goes on
    /// with startAttempt().
    void requestPermit(const Incarnation &endpoint);
    bool isFromCaller() const { return this->source == RequestSource::Caller; }
    /// Whether no endpoint of the request's service is in reach.
    bool isCutOff() const;
    /// Whether another instance may serve the request: it has not run, or may run again.
    bool mayRelay() const;
    /// Whether another instance should serve the request: connections could not be opened, or the
    /// service is out of reach and the request is not the next one to find out whether it still is.
    bool shouldRelay() const;
    /// Returns the instances that this request has not been sent to.
    std::vector<Address> unaskedInstances() const;
    /// Has another instance serve the request. Returns false if none can.
    bool relay();
    /// The same for a request that has failed here and may have run. Counts as a retry.
    bool relayAsRetry();
    void onRelayEnd(const RelayResult &result);
    void logRelayEnd(const RelayResult &result) const;
    /// Ends the relay in progress, if any.
    void cancelRelay();
    /// Records whether the endpoint gave a sign of itself, by how an attempt has failed.
    void recordReach(const http::CallFailure &failure);
    void sendAttempt(const ChoiceQuery &query, const Choice &chosen);
    /// Returns how long attempts may begin on weights after newer ones were named.
    Millis oldWeightsTime() const;
    void armStartLimit();
    /// Returns when the endpoint will have read the prompt, if its answer does not show that.
    std::optional<MonoTime> readBy(const Choice &chosen, MonoTime now) const;
    void logChoice(const ChoiceQuery &query, MonoTime now) const;
    AttemptMetadata metadataFor(const Choice &choice) const;
    ChoiceQuery query() const;
    RetryConditions retryConditions();
    void onHead(int status, const http::Headers &headers);
    /// Counts the answer in the metrics if \a made, the statement of its head, keeps it from
    /// counting.
    void countDiscarded(RunStatement made) const;
    void onData(std::string_view data);
    void onStreamData(std::string_view data);
    /// The endpoint has begun to answer successfully.
    void onAnswerBegun();
    void onAnswerEnd();
    void onCallFailed(const http::CallFailure &failure);
    void endAttempt(AttemptOutcome outcome, const std::string &reason);
    void resumeOrAbortStream(const std::string &reason);
    void logFailedAttempt(AttemptOutcome outcome, const std::string &reason) const;
    /// Ends a request that may have run without a complete answer.
    void fail(const std::string &reason);
    void avoidEndpoint(AttemptOutcome outcome);
    void releaseAttempt();
    /// Ends the request as there is no memory for its answer.
    void giveUpAnswer();
    /// Ends the attempt in progress without an answer, for \a reason.
    void giveUpAttempt(const char *reason);
    /// Cancels the attempt in progress, if any.
    void cancelAttempt();
    /// The same, and counts it as one that may have run.
    void abandonAttempt();
    /// Tells the rollout of the service, if any, how the endpoint answers; once for each attempt.
    void reportAnswer();
    void forwardAnswer();
    void beginStream();
    void onTimeUp() { this->giveUp("time_up"); }
    /// Ends the request without the endpoint's whole answer, for \a reason.
    void giveUp(const char *reason);
    void onCallerGone();
    void finish(int status, const std::string &outcome);

    ForwardContext &context;
    http::ExchangePtr exchange;
    ForwardRequest request;
    const RequestSource source;
    DoneHandler onDone;
    RoutingTablePtr table; ///< in force when the request arrived
    const ForwardRoute *route = nullptr;
    const OrganisationSpec *organisation = nullptr;
    std::string service;
    CacheScope cacheScope; ///< of the prompt
    PromptChain chain;
    RequestSignature signature;
    RetryState retryState{false, 1}; ///< replaced in start()
    double randomDraw = 0; ///< see ChoiceQuery
    MonoTime arrivedAt{};
    MonoTime deadline{};
    http::Timer deadlineTimer;
    std::uint64_t admissionId = 0;
    double requestedTokens = 0;
    bool isAdmitted = false;
    bool isStopped = false; ///< the stop of the instance ends the request

    std::shared_ptr<Relay> activeRelay; ///< nullptr unless another instance has the request
    Address relayInstance; ///< that has it
    std::vector<Address> askedInstances; ///< that the request was sent to, one after the other
    http::CallPtr call;
    http::UsedConnection usedConnection; ///< of the last attempt
    Choice choice;
    Incarnation incarnation; ///< of the endpoint that the attempt was sent to
    MonoTime sentAt{}; ///< when the attempt was sent
    bool isAnswerReported = false; ///< to the rollout of the service
    std::string permittedEndpoint; ///< that a permit was granted for; "" for none
    std::int64_t uncachedTokens = 0;
    http::Timer startLimitTimer; ///< runs until the attempt has begun
    std::optional<std::int64_t> expectedWeights; ///< that the attempt requires
    bool isPrefillDone = false;
    bool hasBegun = false; ///< this attempt has sent a part of a successful answer
    AnswerHead head;
    RunStatement statement = RunStatement::None; ///< of the head
    std::string body;
    std::vector<std::string> triedEndpoints;

    EventSplitter splitter;
    bool isStreaming = false; ///< the head of a stream has been sent to the caller
    bool isPaused = false;
    std::int64_t lastEvent = -1; ///< number of the last event sent to the caller
    std::string lastEventId;
    std::optional<std::int64_t> streamWeights;
    std::optional<std::string> streamBuild; ///< that began the stream; empty before its first event
    CallAdmission callAdmission;
    http::Timer waitTimer; ///< runs while the request waits for an endpoint to open
    bool isWaitTimerArmed = false;
    bool isFinished = false;
};

} // namespace lavenderhall
