#pragma once

#include "forward/adapter.h"
#include "forward/loadbook.h"
#include "http/server.h"
#include "router/metrics.h"
#include "routing/retrybudget.h"
#include "routing/retrystate.h"
#include "routing/weightsversionhistory.h"
#include "streams/eventcutter.h"

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>

/// Carries callers' requests to endpoints and the answers back.
namespace lavenderhall {

/// Outcome of asking for an organisation's tokens.
struct TokensAnswer
{
    bool granted = false;
    bool isKnown = true; ///< whether anybody could decide
    Millis retryAfter{0};
};

/// How requests are admitted against their organisations' rates.
struct TokensGate
{
    using Handler = std::function<void(const TokensAnswer &answer)>;
    /// Asks; the handler is called once, at once or later. Returns a number for cancel().
    std::function<std::uint64_t(const OrganisationSpec &organisation, double tokens,
                                Handler handler)>
        ask;
    /// The request has ended: \a unused tokens of those granted were not needed. One that was
    /// not granted needs no answer any more.
    std::function<void(std::uint64_t number, bool isGranted, double unused)> giveBack;
};

/// What all requests in progress share.
struct ForwardContext
{
    http::Loop &loop;
    const PlatformAdapter &adapter;
    Metrics &metrics;
    LoadBook &loads;
    RetryBudget &budget;
    http::Client client;
    TokensGate tokens;
    RoutingTablePtr table; ///< nullptr until a configuration is known
    std::map<std::string, WeightsVersionHistory> namedWeights; ///< by model
    Millis oldWeightsTime{10'000}; ///< after which no request may begin on weights replaced
    pcg32 random;
    /// The endpoint's address belongs to another one now.
    std::function<void(const std::string &endpointId)> tellReplaced;
};

/// One request, from its arrival to the last byte of its answer.
class ForwardCall : public std::enable_shared_from_this<ForwardCall>
{
public:
    using Done = std::function<void(const ForwardCall &call)>;

    ForwardCall(ForwardContext &context, http::ExchangePtr exchange, ForwardRequest request,
                Done done);

    void start();

private:
    void refuse(ForwardRefusal refusal);
    bool findRoute();
    bool authenticate();
    void admit();
    void onAdmitted();
    void giveTokensBack();
    void learnWeights();
    void startAttempt();
    void logChoice() const;
    AttemptMarks marksFor(const Choice &choice) const;
    ChoiceQuery query() const;
    RetryConditions chance();
    void onHead(int status, const http::Headers &headers);
    void onData(std::string_view data);
    void onStreamData(std::string_view data);
    void onAnswerEnd();
    void onCallFailed(const http::CallFailure &failure);
    void endAttempt(AttemptOutcome end, const std::string &reason);
    void breakStream(const std::string &reason);
    void avoidEndpoint(AttemptOutcome end);
    void releaseAttempt();
    /// Gives up the attempt under way, if any.
    void dropAttempt();
    void passAnswerOn();
    void beginStream();
    void onTimeUp();
    void onCallerGone();
    void finish(int status, const std::string &outcome);

    ForwardContext &context;
    http::ExchangePtr exchange;
    ForwardRequest request;
    Done done;
    RoutingTablePtr table; ///< in force when the request came
    const ForwardRoute *route = nullptr;
    const OrganisationSpec *organisation = nullptr;
    std::string service;
    std::string cacheWall; ///< who shares cached parts, and the model
    PromptChain chain;
    RetryState run{false, 1};
    double draw = 0; ///< of this request, from 0 to 1
    MonoTime arrivedAt{};
    MonoTime deadline{};
    http::Timer deadlineTimer;
    std::uint64_t tokensNumber = 0;
    double tokensAsked = 0;
    bool isAdmitted = false;

    http::CallPtr call;
    Choice choice;
    std::int64_t uncachedTokens = 0;
    bool hasExpectedWeights = false; ///< only these may run the attempt under way
    bool isPromptRead = false;
    bool isForeign = false; ///< the answer under way belongs to another request
    AnswerHead head;
    std::string body;
    std::vector<std::string> tried;

    EventCutter cutter;
    bool isStreaming = false; ///< the caller has got the head of a stream
    bool isPaused = false;
    std::int64_t lastEvent = -1; ///< number of the last event passed on
    std::string lastEventId;
    std::optional<std::int64_t> streamWeights;
    bool finished = false;
};

class Forwarder
{
public:
    explicit Forwarder(ForwardContext &context)
        : context(context)
    { }

    /// Takes in one request.
    void onRequest(const http::ExchangePtr &exchange);
    std::size_t openCalls() const { return this->calls.size(); }
    /// From now on new requests are refused: another instance serves them.
    void refuseNew() { this->isRefusing = true; }

private:
    ForwardContext &context;
    std::set<std::shared_ptr<ForwardCall>> calls;
    bool isRefusing = false;
};

} // namespace lavenderhall
