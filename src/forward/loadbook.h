#pragma once

#include "forward/promptmemory.h"
#include "routing/endpointdirectory.h"
#include "routing/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What this instance knows of each endpoint's load, and which endpoint a request goes to.
/// Answers the load pattern of long shared prompts with a few hot ones: requests with the same
/// prompt meet where it is cached, unless waiting there costs more than reading it again.
namespace lavenderhall {

/// Figures that a choice weighs with.
struct ChoiceSettings
{
    double promptTokensPerMilli = 60; ///< that an engine reads
    Millis requestCost{4}; ///< added to the wait by each request in flight
    Millis runningCost{1}; ///< by each one that an engine reports to run
    Millis waitingCost{30}; ///< by each one that waits there
    Millis zoneHop{2}; ///< there and back between zones of a region
    Millis regionHop{24}; ///< there and back between regions
    Millis fetchSetup{2}; ///< to fetch cached parts from another engine
    double fetchZoneFactor = 2; ///< a fetch between zones takes so many times as long
    double fetchRegionFactor = 10; ///< and between regions
    std::int64_t leastFetchTokens = 256; ///< fewer are read again instead
    /// Reading a shared part away from its home costs the fleet a second reading of it there.
    double rereadMillisPerToken = 0.06;
    Millis otherWeightsCost{400}; ///< for other weights than the request is drawn to
    /// Engines with the newest weights get more than their even part of the work, up to this part
    /// of their slots.
    double newestSlotsPart = 0.5;
    double leastNewestFactor = 1.5; ///< but at least so many times the even part
    double mostNewestFactor = 4;

    bool operator==(const ChoiceSettings &) const = default;
};

/// Requests at an engine, from all instances, as it reported them.
struct ReportedLoad
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    auto operator<=>(const ReportedLoad &) const = default;
};

/// Where this instance is, to tell near endpoints from far ones.
struct OwnPlace
{
    std::string zone;
    std::map<std::string, std::string> regionOfZone;
};

/// What a choice depends on besides the endpoints.
struct ChoiceQuery
{
    std::string service;
    std::string model; ///< "" for plain services
    PromptChain chain;
    std::int64_t newestWeights = 0; ///< version named for the model, 0 if not known
    std::int64_t leastWeights = 0; ///< older versions may not begin it any more
    double draw = 0; ///< from 0 to 1, the request's own: which weights it is drawn to
    std::optional<std::int64_t> onlyWeights; ///< for a stream that goes on
    std::vector<std::string> tried; ///< endpoints that have failed the request
};

/// The outcome, with the inputs that decided it.
struct Choice
{
    std::string endpointId;
    double costMillis = 0;
    std::int64_t cachedTokens = 0; ///< thought to be there, or to be fetched
    std::optional<Address> source; ///< to fetch them from
    std::int64_t weightsVersion = 0; ///< thought to be loaded there, 0 if not known
    std::size_t candidates = 0;
};

/// What moving cached memory between engines of a service costs.
struct CacheMoveCost
{
    double millisPerToken = 0; ///< within a zone; 0 if it cannot be moved

    auto operator<=>(const CacheMoveCost &) const = default;
};

class LoadBook
{
public:
    LoadBook(OwnPlace place, ChoiceSettings settings)
        : place(std::move(place))
        , settings(settings)
    { }

    /// Takes in what changed in the directory.
    void onChange(const EndpointChange &change);
    /// Takes in what is configured of the engines of a service.
    void setEngines(const std::string &service, const EngineSpec &engine);

    /// How many instances send requests to the same endpoints.
    void setInstances(std::size_t count) { this->instances = count; }
    /// Whether \a entry is an engine in this instance's region.
    bool isEngineHere(const RegisteredEndpoint &entry) const;
    /// What an engine reported a moment ago.
    void onLoad(const std::string &endpointId, ReportedLoad reported, MonoTime now);

    /// Chooses an endpoint; none if no endpoint takes the request at all. Endpoints that should
    /// not get it, for their trouble or their old weights, do so only if there are no others.
    std::optional<Choice> choose(const ChoiceQuery &query, MonoTime now) const;

    /// Whether choose() would find any.
    bool hasCandidate(const ChoiceQuery &query) const;

    /// A request goes to the endpoint; \a uncachedTokens are to be read there.
    void onSent(const std::string &endpointId, const PromptChain &chain,
                std::int64_t uncachedTokens, MonoTime now);
    /// The endpoint has read the prompt: its first event or whole answer has come.
    void onPromptRead(const std::string &endpointId, std::int64_t uncachedTokens);
    void onEnded(const std::string &endpointId);
    /// The endpoint refuses work, or failed: it comes last for a while.
    void avoid(const std::string &endpointId, MonoTime until);
    /// The endpoint is about to change its weights: nothing it keeps will be found.
    void onWeightsChange(const std::string &endpointId, MonoTime until);

    /// The engine has loaded a version of a model and takes work again.
    void onWeightsLoaded(const std::string &endpointId, const std::string &model,
                         std::int64_t version);
    /// The engine runs other weights than was thought.
    void onWeightsUnknown(const std::string &endpointId, const std::string &model);

    /// Whether the endpoint is there in this incarnation.
    bool knows(const std::string &endpointId, std::int64_t startMillis) const;
    const RegisteredEndpoint *entryOf(const std::string &endpointId) const;
    std::size_t inFlight(const std::string &endpointId) const;

private:
    struct Load
    {
        RegisteredEndpoint entry;
        std::size_t inFlight = 0;
        std::int64_t unreadTokens = 0;
        MonoTime avoidedUntil{};
        std::optional<ReportedLoad> reported;
        MonoTime reportedAt{};
        std::size_t sentSince = 0; ///< requests of this instance, since the report
        PromptMemory memory{0};
    };

    struct Service
    {
        bool hasEngines = false;
        std::int64_t cacheTokens = 0;
        CacheMoveCost move;
    };

    double costOf(const Load &load, MonoTime now) const;
    const ReportedLoad *freshReport(const Load &load, MonoTime now) const;
    double queueCost(const Load &load, MonoTime now) const;
    /// Engines that run the same weights, seen from one prompt.
    struct PromptGroup
    {
        const Load *home = nullptr; ///< where the prompt is to be read first
        const Load *formerHome = nullptr; ///< the home before that one joined
        const Load *keeper = nullptr; ///< was sent the most of it
        std::int64_t keptTokens = 0; ///< by the keeper
    };
    using PromptGroups = std::map<std::int64_t, PromptGroup>; ///< by version of the weights

    using Candidates = std::vector<const Load *>;

    Candidates candidatesFor(const ChoiceQuery &query) const;
    PromptGroups groupsOf(const Candidates &fit, const ChoiceQuery &query, MonoTime now) const;
    bool prefersNewest(const Candidates &fit, const ChoiceQuery &query, MonoTime now) const;
    void addPromptCost(const Load &load, const ChoiceQuery &query, const PromptGroup &group,
                       MonoTime now, Choice &choice) const;
    double fetchFactor(const Load &from, const Load &to) const;
    bool isCandidate(const Load &load, const ChoiceQuery &query) const;
    bool isInRegionOf(const std::string &zone, const std::string &other) const;
    const Service &serviceOf(const std::string &name) const;

    OwnPlace place;
    ChoiceSettings settings;
    std::size_t instances = 1;
    std::map<std::string, Load> loads;
    std::map<std::string, Service> services;
};

/// Weight with which \a id is the home of \a key; the highest of several ids wins. It is the same
/// on all instances, and few homes move when an id comes or goes (rendezvous hashing).
std::uint64_t homeWeight(std::uint64_t key, const std::string &id);

} // namespace lavenderhall
