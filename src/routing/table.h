#pragma once

#include "base/clock.h"
#include "http/server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The operators' configuration for forwarding: routes, services, organisations and limits.
/// The values are immutable; a new version replaces the whole table.
namespace lavenderhall {

/// The kind of requests on a route, and how often one may run.
enum class RequestKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< runs at most once
    Stream, ///< answered by a stream of events; runs at most once unless the route is resumable
};

/// Returns the name of \a kind in logs.
const char *toString(RequestKind kind);

/// The share of a route's traffic that goes to one service.
struct TrafficShare
{
    std::string service;
    std::int64_t weight = 1; ///< relative to the sum of the route's weights

    auto operator<=>(const TrafficShare &) const = default;
};

/// A route: which requests it matches, how they are run and to which services they go.
struct ForwardRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout{0}; ///< until the complete answer
    Millis targetLatency{0}; ///< target time until the answer or a stream's first event
    Millis targetGap{0}; ///< target time between two events of a stream
    int priority = 0; ///< rank among the routes, without an upper bound; 0 is the most urgent
    int maxAttempts = 1; ///< endpoints that one request may run on
    bool isPublic = false; ///< callers need no key
    bool isSticky = false; ///< its requests identify the parts of their prompts
    bool isResumable = false; ///< a broken stream may continue at another endpoint
    std::vector<TrafficShare> shares;

    auto operator<=>(const ForwardRoute &) const = default;
    /// Whether a request may be sent again although it may have run.
    bool mayRepeat() const
    {
        return this->kind == RequestKind::Idempotent
            || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

/// The model engines behind a service; all of them are alike.
struct EngineSpec
{
    std::int64_t slots = 0; ///< requests that one engine runs at once
    std::int64_t cacheTokens = 0; ///< size of one engine's cache, in tokens
    double tokenBytes = 0; ///< cache memory per token
    double linkMbps = 0; ///< speed of the links that move cache contents; 0 if they cannot be moved
    std::vector<std::string> models;

    auto operator<=>(const EngineSpec &) const = default;
};

/// A store that keeps cached parts of prompts for the engines, which send parts to it and fetch
/// them from it.
struct CacheStoreSpec
{
    Address address;
    std::string zone;
    double linkMbps = 0; ///< speed of its link

    auto operator<=>(const CacheStoreSpec &) const = default;
};

/// A service that requests are forwarded to.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    std::int64_t maxConnections = 0; ///< that one endpoint accepts from all callers
    std::optional<EngineSpec> engine; ///< empty for plain services
    std::optional<CacheStoreSpec> cacheStore; ///< set for a store of cached prompt parts

    auto operator<=>(const ServiceSpec &) const = default;
};

/// An organisation whose callers send requests, and its limits.
struct OrganisationSpec
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the route's priority
    bool isIsolated = false; ///< shares no cached prompts with other organisations
    std::int64_t tokensPerSecond = 0; ///< 0: no limit
    std::int64_t burstTokens = 0; ///< tokens that may be used at once
    std::int64_t defaultTokens = 1; ///< counted for a request that states no number of tokens

    auto operator<=>(const OrganisationSpec &) const = default;
};

/// The content of one version of the configuration.
struct TableContent
{
    std::int64_t version = 0;
    std::vector<ForwardRoute> routes;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    bool needsKeys = false; ///< also if no organisation is left to hold a key
    http::ServerLimits limits; ///< on the sizes and durations of callers' requests

    bool operator==(const TableContent &) const = default;
};

/// The configuration as it was read from the operators' platform, which has accepted it.
struct TableReading
{
    TableContent content;
    /// What could not be taken as it stands, one text for each entry: the values that were replaced
    /// or left out.
    std::vector<std::string> issues;

    bool operator==(const TableReading &) const = default;
};

/// The configuration in force, with indexes for look-ups.
class RoutingTable
{
public:
    explicit RoutingTable(TableContent content);
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    const TableContent &content() const { return this->tableContent; }
    std::int64_t version() const { return this->tableContent.version; }
    /// Returns the route of \a host with the longest path prefix that matches \a path; nullptr if
    /// there is none. A port in \a host is ignored.
    const ForwardRoute *findRoute(std::string_view host, std::string_view path) const;
    /// Returns nullptr if there is no such service.
    const ServiceSpec *findService(std::string_view name) const;
    /// Returns nullptr if there is no such organisation.
    const OrganisationSpec *findOrganisation(std::string_view name) const;
    /// Returns the organisation that owns \a key; nullptr if the key is unknown.
    const OrganisationSpec *findByKey(std::string_view key) const;
    /// Returns a digest of the names of all isolated organisations.
    const std::string &isolatedDigest() const { return this->isolatedNamesDigest; }
    /// Whether callers need keys, unless their route is public.
    bool needsKeys() const
    {
        return this->tableContent.needsKeys || !this->tableContent.organisations.empty();
    }

private:
    const TableContent tableContent;
    std::unordered_map<std::string, std::vector<const ForwardRoute *>> byHost; ///< longest first
    std::unordered_map<std::string, const ServiceSpec *> services;
    std::unordered_map<std::string, const OrganisationSpec *> organisations;
    std::unordered_map<std::string, const OrganisationSpec *> byKey;
    const std::string isolatedNamesDigest;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Returns the service of \a route that \a point falls on. With \a point drawn uniformly, each
/// service is chosen in proportion to its weight.
const std::string &chooseService(const ForwardRoute &route, std::uint64_t point);

} // namespace lavenderhall
