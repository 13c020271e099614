#include "routing/table.h"

#include "base/digest.h"
#include "base/joinfields.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace lavenderhall {

namespace {

template <typename Map>
auto lookUp(const Map &map, std::string_view name) -> typename Map::mapped_type
{
    const auto found = map.find(std::string(name));
    return found == map.end() ? nullptr : found->second;
}

// The order of the organisations makes no difference.
std::string digestOfIsolated(const std::vector<OrganisationSpec> &organisations)
{
    std::set<std::string> names;
    for (const OrganisationSpec &organisation : organisations) {
        if (organisation.isIsolated)
            names.insert(joinFields({organisation.name}));
    }
    return blake2bHex(std::accumulate(names.begin(), names.end(), std::string()));
}

} // namespace

const char *toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non_idempotent";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

RoutingTable::RoutingTable(TableContent content)
    : tableContent(std::move(content))
    , isolatedNamesDigest(digestOfIsolated(this->tableContent.organisations))
{
    for (const ForwardRoute &route : this->tableContent.routes)
        this->byHost[route.host].push_back(&route);
    for (auto &[host, routes] : this->byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *left, const auto *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const ServiceSpec &service : this->tableContent.services)
        this->services.emplace(service.name, &service);
    for (const OrganisationSpec &organisation : this->tableContent.organisations) {
        this->organisations.emplace(organisation.name, &organisation);
        for (const std::string &key : organisation.keys)
            this->byKey.emplace(key, &organisation);
    }
}

const ForwardRoute *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const std::string name(host.substr(0, host.find(':')));
    const auto found = this->byHost.find(name);
    if (found == this->byHost.end())
        return nullptr;
    for (const ForwardRoute *route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const ServiceSpec *RoutingTable::findService(std::string_view name) const
{
    return lookUp(this->services, name);
}

const OrganisationSpec *RoutingTable::findOrganisation(std::string_view name) const
{
    return lookUp(this->organisations, name);
}

const OrganisationSpec *RoutingTable::findByKey(std::string_view key) const
{
    return key.empty() ? nullptr : lookUp(this->byKey, key);
}

const std::string &chooseService(const ForwardRoute &route, std::uint64_t point)
{
    std::uint64_t total = 0;
    for (const TrafficShare &share : route.shares)
        total += static_cast<std::uint64_t>(share.weight);
    std::uint64_t remaining = total > 0 ? point % total : 0;
    for (const TrafficShare &share : route.shares) {
        const auto weight = static_cast<std::uint64_t>(share.weight);
        if (remaining < weight)
            return share.service;
        remaining -= weight;
    }
    static const std::string NoService;
    return route.shares.empty() ? NoService : route.shares.back().service;
}

} // namespace lavenderhall
