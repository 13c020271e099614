#pragma once

#include "base/clock.h"
#include "rollout/order.h"
#include "routing/endpointdirectory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Which engines change their weights next, and how far each has come. Answers the load pattern
/// of new weights that are named in quick succession while engines serve, crash and leave
/// orders unanswered.
namespace lavenderhall {

struct RolloutTimings
{
    Millis steer{80}; ///< others send no new work to an engine for so long before its order
    Millis reportInterval{150}; ///< between looks at an engine that loads
    Millis loadTime{1500}; ///< that an engine takes at the most, as others are told
    Millis answerTimeout{1500}; ///< until an unanswered order is looked into
    int failuresToLeave = 2; ///< reports missing in a row, until an engine makes room for others
    Millis unreachableTime{800}; ///< until it is tried again
    Millis replacedTime{3000}; ///< the same, if its address belongs to another one
    Millis bound{10'000}; ///< from the naming of a version until no engine is to be without it
    double plannedPart = 0.7; ///< of that bound, to leave room for trouble
    Millis turnTime{1700}; ///< for an engine to run empty and to load
    std::size_t enginesPerLoad = 6; ///< one in so many loads at the same time if there is no hurry
    double mostPart = 0.25; ///< of the engines, that load at the same time in a hurry

    bool operator==(const RolloutTimings &) const = default;
};

/// What the planner wants done.
struct RolloutAction
{
    enum class Kind {
        Announce, ///< tell the others that the engine takes no new work for a while
        AskReport,
        GiveOrder,
    };

    Kind kind = Kind::Announce;
    RegisteredEndpoint engine;
    WeightsOrder order; ///< GiveOrder: without holder and fence

    bool operator==(const RolloutAction &) const = default;
};

class RolloutPlanner
{
public:
    explicit RolloutPlanner(RolloutTimings timings = {})
        : timings(timings)
    { }

    /// Takes in the wanted version of each model.
    void setWanted(const std::map<std::string, std::int64_t> &versions) { this->wanted = versions; }
    /// Engines that do not have a wanted version yet, as far as is known.
    std::vector<const RegisteredEndpoint *> outdated(const EndpointDirectory &directory) const;

    /// \a mayOrder tells whether this process holds the lease now.
    std::vector<RolloutAction> onTick(const EndpointDirectory &directory, bool mayOrder,
                                      MonoTime now);
    void onReport(const std::string &engineId, const EngineReport &report, MonoTime now);
    void onReportFailed(const std::string &engineId, ReportFailure failure, MonoTime now);
    void onOrderAnswer(const std::string &engineId, OrderAnswer answer, MonoTime now);

private:
    enum class Step { Steering, Asking, Ordering, Loading };
    struct Engine
    {
        std::int64_t startMillis = 0;
        Step step = Step::Steering;
        std::string model;
        std::int64_t version = 0;
        MonoTime since{}; ///< of the step
        MonoTime nextReport{};
        std::int64_t acceptedOrders = 0;
        bool isWaiting = false; ///< for an answer to a call
        bool isOrdered = false; ///< an order is on its way
        bool isLoaded = false;
        int failures = 0; ///< reports missing in a row
    };
    /// An engine that does not answer, and that the registry still lists.
    struct Absence
    {
        std::int64_t startMillis = 0;
        MonoTime until{};
    };

    std::int64_t versionOf(const RegisteredEndpoint &entry, const std::string &model) const;
    std::string outdatedModel(const RegisteredEndpoint &entry) const;
    bool isAbsent(const RegisteredEndpoint &entry) const;
    void leave(const std::string &engineId, Millis pause, MonoTime now);
    void begin(const EndpointDirectory &directory, MonoTime now,
               std::vector<RolloutAction> &actions);
    void advance(const RegisteredEndpoint &entry, Engine &engine, MonoTime now,
                 std::vector<RolloutAction> &actions);

    std::size_t loadsAtOnce(const EndpointDirectory &directory, MonoTime now) const;
    MonoTime dueTime(const RegisteredEndpoint &entry) const;
    void orderNext(const EndpointDirectory &directory, std::vector<RolloutAction> &actions);

    RolloutTimings timings;
    std::size_t mostLoading = 1;
    /// Weights that an engine has told of itself, newer than the directory.
    struct Reported
    {
        std::int64_t startMillis = 0;
        std::map<std::string, std::int64_t> weights;
    };
    struct Naming
    {
        std::int64_t version = 0;
        MonoTime at{};
    };

    std::map<std::string, std::int64_t> wanted;
    std::map<std::string, std::vector<Naming>> namings; ///< by model, oldest first
    std::map<std::string, Engine> working;
    std::map<std::string, Reported> reported; ///< by engine
    std::map<std::string, Absence> absences; ///< by engine
    MonoTime tickAt{};
};

} // namespace lavenderhall
