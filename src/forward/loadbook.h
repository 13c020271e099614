#pragma once

#include "forward/promptmemory.h"
#include "routing/roster.h"

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
    Millis zoneHop{2}; ///< there and back between zones of a region
    Millis regionHop{24}; ///< there and back between regions
    double homeShare = 0.6; ///< of a shared prompt, thought to be cached at its home
    Millis oldWeightsCost{400}; ///< for weights that are to be replaced

    bool operator==(const ChoiceSettings &) const = default;
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
    std::optional<std::int64_t> onlyWeights; ///< for a stream that goes on
    std::vector<std::string> tried; ///< endpoints that have failed the request
};

/// The outcome, with the inputs that decided it.
struct Choice
{
    std::string endpointId;
    double costMillis = 0;
    std::int64_t cachedTokens = 0;
    std::size_t candidates = 0;
};

class LoadBook
{
public:
    LoadBook(OwnPlace place, ChoiceSettings settings)
        : place(std::move(place))
        , settings(settings)
    { }

    /// Takes in what changed in the roster.
    void onChange(const RosterChange &change);
    /// Memory of the engines of a service, in tokens.
    void setCacheTokens(const std::string &service, std::int64_t tokens);

    std::optional<Choice> choose(const ChoiceQuery &query, MonoTime now) const;

    /// A request goes to the endpoint; \a uncachedTokens are to be read there.
    void onSent(const std::string &endpointId, const PromptChain &chain,
                std::int64_t uncachedTokens);
    /// The endpoint has read the prompt: its first event or whole answer has come.
    void onPromptRead(const std::string &endpointId, std::int64_t uncachedTokens);
    void onEnded(const std::string &endpointId);
    /// The endpoint refuses work, or failed: it comes last for a while.
    void avoid(const std::string &endpointId, MonoTime until);
    /// The endpoint is about to change its weights: nothing it keeps will be found.
    void onWeightsChange(const std::string &endpointId, MonoTime until);

    const RosterEntry *entryOf(const std::string &endpointId) const;
    std::size_t inFlight(const std::string &endpointId) const;

private:
    struct Load
    {
        RosterEntry entry;
        std::size_t inFlight = 0;
        std::int64_t unreadTokens = 0;
        MonoTime avoidedUntil{};
        PromptMemory memory{0};
    };

    double costOf(const Load &load, const ChoiceQuery &query, const std::string &home,
                  std::int64_t &cached) const;
    bool isCandidate(const Load &load, const ChoiceQuery &query) const;
    double hopMillis(const std::string &zone) const;

    OwnPlace place;
    ChoiceSettings settings;
    std::map<std::string, Load> loads;
    std::map<std::string, std::int64_t> cacheTokens; ///< by service
};

/// Returns which of \a ids is the home of \a key: the same on all instances, and moving for few
/// keys when one comes or goes (rendezvous hashing).
const std::string *homeOf(std::uint64_t key, const std::vector<const std::string *> &ids);

} // namespace lavenderhall
