#pragma once

#include "config/document.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// What this instance knows of each endpoint's state.
namespace lavenderhall {

/// A load report, as an engine gives it with a lag.
struct LoadReport
{
    std::int64_t incarnation = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t cachedBlocks = 0;
    std::set<std::string> loaded; ///< "MODEL@VERSION"

    bool operator==(const LoadReport &) const = default;
};

/// Why an endpoint gets no new work.
enum class EndpointState { Serving, Draining, Leaving, Suspected };

const char *toString(EndpointState state);

/// One endpoint as seen from here.
struct EndpointView
{
    Endpoint endpoint;
    std::uint64_t nameHash = 0; ///< of the endpoint's name, for rendezvous hashing
    std::optional<LoadReport> load;
    MonoTime loadAt{};
    std::int64_t inFlight = 0; ///< requests of this instance
    std::int64_t pendingTokens = 0; ///< of this instance's requests without a first token yet
    std::int64_t failuresInRow = 0;
    MonoTime suspectedUntil{};
    bool isLeaving = false;

    EndpointState state(MonoTime now) const;
    /// Whether the engine is known to serve \a model with \a weights ("MODEL@VERSION"), or not
    /// known not to.
    bool mayServe(const std::string &model, const std::string &weights) const;
};

/// The table of all endpoints, kept up to date by configuration, reports and failures.
class EndpointTable
{
public:
    /// Takes in a configuration; what is known of endpoints that stay is kept.
    void configure(const Document &document);
    /// Takes in the platform's list: names that are leaving.
    void setLeaving(const std::set<std::string> &names);

    /// A request that lacks \a missingTokens in the endpoint's cache has been sent to it.
    void onStarted(const std::string &name, std::int64_t missingTokens);
    /// Its first token has come, or it has ended without one.
    void onPrefilled(const std::string &name, std::int64_t missingTokens);
    void onFinished(const std::string &name);
    void onSuccess(const std::string &name);
    /// An attempt failed. Suspicion doubles with each failure in a row, up to a bound, so that
    /// a dead endpoint costs few attempts and one that is back is found soon.
    void onFailure(const std::string &name, MonoTime now);
    /// The endpoint itself said that it is going.
    void onLeavingAnswer(const std::string &name);
    /// Returns whether the report shows a new incarnation of the engine.
    bool onLoadReport(const std::string &name, const LoadReport &report, MonoTime now);

    const EndpointView *find(const std::string &name) const;
    const std::map<std::string, EndpointView> &all() const { return this->views; }
    /// Names that may get new work for \a route.
    std::vector<const EndpointView *> candidates(const Route &route, const Model *model,
                                                 MonoTime now) const;

private:
    std::map<std::string, EndpointView> views;
    std::set<std::string> leaving;
};

} // namespace lavenderhall
