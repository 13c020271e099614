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

/// What the operators have configured for forwarding: routes, services, organisations, bounds.
/// Immutable values; a new version replaces the whole table.
namespace lavenderhall {

/// What a request on a route is and how often it may run.
enum class RequestKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< runs at most once
    Stream, ///< a series of events; runs at most once unless the route is resumable
};

/// One part of a route's traffic.
struct TrafficShare
{
    std::string service;
    std::int64_t weight = 1;

    auto operator<=>(const TrafficShare &) const = default;
};

struct ForwardRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout{0}; ///< longest time until the whole answer
    Millis targetLatency{0}; ///< until the answer, or a stream's first event
    Millis targetGap{0}; ///< between two events of a stream
    int priority = 0; ///< 0 is the most urgent
    int maxAttempts = 1; ///< endpoints that one request may run on
    bool isPublic = false; ///< needs no key
    bool isSticky = false; ///< its requests name the parts of their prompts
    bool isResumable = false;
    std::vector<TrafficShare> shares;

    auto operator<=>(const ForwardRoute &) const = default;
    /// Whether a request may be sent again although it may have run.
    bool mayRepeat() const
    {
        return this->kind == RequestKind::Idempotent
            || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

/// Model engines behind a service.
struct EngineSpec
{
    std::int64_t slots = 0; ///< requests that one engine runs at once
    std::int64_t cacheTokens = 0; ///< memory of one engine, in tokens
    double tokenBytes = 0; ///< of cached memory
    double linkMbps = 0; ///< of the links that move it; 0 if it cannot be moved
    std::vector<std::string> models;

    auto operator<=>(const EngineSpec &) const = default;
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    std::int64_t maxConnections = 0; ///< that one endpoint accepts from all callers
    std::optional<EngineSpec> engine; ///< empty for plain services

    auto operator<=>(const ServiceSpec &) const = default;
};

struct OrganisationSpec
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
    bool isIsolated = false; ///< shares no cached prompt with others
    std::int64_t tokensPerSecond = 0; ///< 0: no limit
    std::int64_t burstTokens = 0;
    std::int64_t defaultTokens = 1; ///< counted for a request that tells no tokens

    auto operator<=>(const OrganisationSpec &) const = default;
};

struct TableContent
{
    std::int64_t version = 0;
    std::vector<ForwardRoute> routes;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    http::ServerLimits limits; ///< on what callers send, and how long they may take

    bool operator==(const TableContent &) const = default;
};

/// A configuration in force, with its look-ups.
class RoutingTable
{
public:
    explicit RoutingTable(TableContent content);
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    const TableContent &content() const { return this->table; }
    std::int64_t version() const { return this->table.version; }
    /// Returns the route of \a host with the longest prefix of \a path; nullptr without one.
    const ForwardRoute *findRoute(std::string_view host, std::string_view path) const;
    const ServiceSpec *findService(std::string_view name) const;
    const OrganisationSpec *findOrganisation(std::string_view name) const;
    /// Returns whose key \a key is; nullptr if it is unknown.
    const OrganisationSpec *findByKey(std::string_view key) const;
    /// Whether callers need keys at all.
    bool hasOrganisations() const { return !this->table.organisations.empty(); }

private:
    const TableContent table;
    std::unordered_map<std::string, std::vector<const ForwardRoute *>> byHost; ///< longest first
    std::unordered_map<std::string, const ServiceSpec *> services;
    std::unordered_map<std::string, const OrganisationSpec *> organisations;
    std::unordered_map<std::string, const OrganisationSpec *> byKey;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Returns the service that \a point (0 up to the sum of weights, drawn evenly) falls on.
const std::string &chooseService(const ForwardRoute &route, std::uint64_t point);

} // namespace lavenderhall
