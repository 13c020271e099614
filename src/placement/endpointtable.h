#pragma once

#include "config/document.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// The state of each endpoint as far as this instance knows it.
namespace lavenderhall {

/// The load that an engine reports about itself. The report lags behind the engine's state.
struct LoadReport
{
    std::int64_t incarnation = 0; ///< of the engine's process
    std::int64_t running = 0; ///< requests that are running
    std::int64_t waiting = 0; ///< requests that are queued
    std::int64_t cachedBlocks = 0;
    std::set<std::string> loaded; ///< weights, each as "MODEL@VERSION"

    bool operator==(const LoadReport &) const = default;
};

/// Whether an endpoint gets new requests (Serving), or why not.
enum class EndpointState { Serving, Draining, Leaving, Suspected };

/// Returns the name of \a state in the instance's status.
const char *toString(EndpointState state);

/// One endpoint as seen by this instance.
struct EndpointView
{
    Endpoint endpoint;
    std::uint64_t nameHash = 0; ///< of the endpoint's name, for rendezvous hashing
    std::optional<LoadReport> load;
    MonoTime loadAt{}; ///< when \a load arrived
    std::int64_t inFlight = 0; ///< requests of this instance that are not finished
    /// Uncached prompt tokens of this instance's requests that have no first token yet.
    std::int64_t pendingTokens = 0;
    std::int64_t consecutiveFailures = 0; ///< failed attempts since the last success
    MonoTime suspectedUntil{};
    bool isLeaving = false;

    EndpointState state(MonoTime now) const;
    /// Whether the engine may serve \a model with \a weights ("MODEL@VERSION"): it is configured
    /// for the model, and its load report, if there is one, lists the weights.
    bool mayServe(const std::string &model, const std::string &weights) const;
};

/// The table of all endpoints, updated by the configuration, load reports and failures.
class EndpointTable
{
public:
    /// Applies a configuration. An endpoint that keeps its name and address keeps its state.
    void configure(const Document &document);
    /// Replaces the set of endpoints that the platform lists as leaving.
    void setLeaving(const std::set<std::string> &names);

    /// A request was sent to the endpoint, whose cache lacks \a uncachedTokens of the prompt.
    void onStarted(const std::string &name, std::int64_t uncachedTokens);
    /// The request's first token has arrived, or the request has ended without one.
    void onPrefilled(const std::string &name, std::int64_t uncachedTokens);
    /// The request has ended.
    void onFinished(const std::string &name);
    /// An attempt succeeded, which ends any suspicion.
    void onSuccess(const std::string &name);
    /// An attempt failed. The endpoint is suspected for a time that doubles with each consecutive
    /// failure, up to a bound, so that a dead endpoint costs few attempts and one that recovers is
    /// used again soon.
    void onFailure(const std::string &name, MonoTime now);
    /// The endpoint answered that it is leaving.
    void onLeavingAnswer(const std::string &name);
    /// Stores a load report. Returns whether it shows a new incarnation of the engine.
    bool onLoadReport(const std::string &name, const LoadReport &report, MonoTime now);

    /// Returns nullptr if there is no such endpoint.
    const EndpointView *find(const std::string &name) const;
    const std::map<std::string, EndpointView> &all() const { return this->views; }
    /// Returns the endpoints that may get new requests of \a route; \a model is nullptr for routes
    /// to services. Returns suspected endpoints only if no other is left.
    std::vector<const EndpointView *> candidates(const Route &route, const Model *model,
                                                 MonoTime now) const;

private:
    std::map<std::string, EndpointView> views;
    std::set<std::string> leavingNames;
};

} // namespace lavenderhall
