#pragma once

#include "base/clock.h"
#include "rollout/order.h"
#include "routing/endpointdirectory.h"
#include "weights/versionhistory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Decides which engines load new weights next, and tracks their progress. The target
/// version may change in quick succession, and engines may serve requests, crash or leave orders
/// unanswered meanwhile.
namespace lavenderhall {

/// Durations and limits of a rollout.
struct RolloutTimings
{
    Millis drainTime{80}; ///< between the announcement to the other instances and the order
    Millis reportInterval{150}; ///< between requests for reports of an engine that is loading
    Millis answerTimeout{1500}; ///< how long after an order a report may still not show it
    int maxReportFailures = 2; ///< consecutive failed reports until an engine is suspended
    Millis unreachableSuspension{800}; ///< suspension of an engine that does not answer
    Millis replacedSuspension{3000}; ///< suspension if its address belongs to another endpoint
    /// From the time when a version becomes the target until every engine must have loaded it or a
    /// newer one.
    Millis bound{10'000};
    double plannedFraction = 0.7; ///< of the bound; the rest is a margin
    Millis turnTime{1700}; ///< for an engine to finish its requests and to load
    std::size_t enginesPerLoad = 6; ///< without urgency, one engine in this many loads at a time
    double maxLoadingFraction = 0.25; ///< largest fraction of the engines that load at a time

    bool operator==(const RolloutTimings &) const = default;
};

/// An action that the caller must carry out for the planner.
struct RolloutAction
{
    enum class Kind {
        Announce, ///< tell the other instances to send the engine no new requests for a while
        RequestReport, ///< request a report from the engine
        SendOrder, ///< send the order to the engine
    };

    Kind kind = Kind::Announce;
    RegisteredEndpoint engine;
    WeightsOrder order; ///< SendOrder: the order, without holder and fencing number

    bool operator==(const RolloutAction &) const = default;
};

/// Plans the rollout of weights over all engines. It does no input or output: the caller carries
/// out the actions and passes the results on.
class RolloutPlanner
{
public:
    explicit RolloutPlanner(RolloutTimings timings = {})
        : timings(timings)
    { }

    /// Sets the named versions of each model, of which the engines are to load the newest.
    void setNamedWeights(const WeightsHistories &histories);
    /// Returns the engines that, as far as is known, have not loaded a target version. Leaves out
    /// engines that are leaving or suspended.
    std::vector<const RegisteredEndpoint *> outdated(const EndpointDirectory &directory) const;

    /// Returns the actions that are due. Without the lease (\a isLeaseHeld is false), there are
    /// none.
    std::vector<RolloutAction> onTick(const EndpointDirectory &directory, bool isLeaseHeld,
                                      MonoTime now);
    /// Handles a report of the engine.
    void onReport(const std::string &engineId, const EngineReport &report, MonoTime now);
    /// Handles a failure to get a report of the engine.
    void onReportFailed(const std::string &engineId, ReportFailure failure, MonoTime now);
    /// Handles the engine's answer to an order, or the lack of one.
    void onOrderAnswer(const std::string &engineId, OrderAnswer answer, MonoTime now);

private:
    enum class Step {
        Draining, ///< announced: the other instances stop sending it requests
        AwaitingReport, ///< its report is to show how many orders it has accepted
        ReadyForOrder, ///< ready for an order
        Loading ///< may have accepted an order
    };
    /// An engine that is being updated.
    struct Engine
    {
        std::int64_t startMillis = 0;
        Step step = Step::Draining;
        std::string model;
        std::int64_t version = 0;
        MonoTime since{}; ///< of the step
        MonoTime nextReport{};
        std::int64_t acceptedOrders = 0;
        bool awaitsAnswer = false; ///< a report request or an order has not been answered
        bool hasOpenOrder = false; ///< an order has been sent and not been answered
        bool isLoaded = false; ///< has loaded the target version
        int failures = 0; ///< consecutive failed reports
    };
    /// The suspension of an engine that does not answer but still has an entry in the store.
    struct Suspension
    {
        std::int64_t startMillis = 0;
        MonoTime until{};
    };

    std::int64_t versionOf(const RegisteredEndpoint &entry, const std::string &model) const;
    std::string outdatedModel(const RegisteredEndpoint &entry) const;
    bool isSuspended(const RegisteredEndpoint &entry) const;
    void suspend(const std::string &engineId, Millis duration, MonoTime now);
    void startUpdates(const EndpointDirectory &directory, MonoTime now,
                      std::vector<RolloutAction> &actions);
    void advanceUpdate(const RegisteredEndpoint &entry, Engine &engine, MonoTime now,
                       std::vector<RolloutAction> &actions);

    std::size_t allowedLoads(const EndpointDirectory &directory, MonoTime now) const;
    MonoTime dueTime(const RegisteredEndpoint &entry) const;
    void planOrders(const EndpointDirectory &directory, std::vector<RolloutAction> &actions);

    RolloutTimings timings;
    std::size_t maxLoading = 1; ///< engines that may load at a time, see allowedLoads()
    /// The weights that an engine has reported itself, which may be newer than those in the store.
    struct Reported
    {
        std::int64_t startMillis = 0; ///< identifies the engine's incarnation
        std::map<std::string, std::int64_t> weights;
    };
    std::map<std::string, std::int64_t> targetVersions;
    /// By model: when the engines with old versions are planned to have loaded a newer one.
    std::map<std::string, OldWeightsLimits> plannedLimits;
    std::map<std::string, Engine> updating;
    std::map<std::string, Reported> reported; ///< by engine
    std::map<std::string, Suspension> suspensions; ///< by engine
    MonoTime lastTick{}; ///< time of the last call of onTick()
};

} // namespace lavenderhall
