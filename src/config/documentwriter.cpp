#include "config/document.h"
#include "config/documentformat.h"

/// The part of document.h that writes configurations.
namespace lavenderhall {

namespace {

Json toJson(const Model &model)
{
    Json adapters = Json::array();
    for (const Adapter &adapter : model.adapters)
        adapters.push_back({{"name", adapter.name}, {"version", adapter.version}});
    return {{"name", model.name}, {"version", model.version}, {"adapters", adapters}};
}

Json toJson(const Endpoint &endpoint)
{
    return {{"name", endpoint.name},         {"kind", toString(endpoint.kind)},
            {"host", endpoint.address.host}, {"port", endpoint.address.port},
            {"region", endpoint.region},     {"zone", endpoint.zone},
            {"models", endpoint.models},     {"slots", endpoint.slots},
            {"draining", endpoint.draining}};
}

Json toJson(const Route &route)
{
    Json json{{"name", route.name},
              {"kind", toString(route.kind)},
              {"repeatable", route.isRepeatable},
              {"class", toString(route.trafficClass)},
              {"timeout_ms", route.timeout.count()},
              {"gap_ms", route.gapTimeout.count()}};
    if (route.isOpen())
        json["open_for"] = route.openFor;
    if (route.kind == RouteKind::Service)
        json["endpoints"] = route.endpoints;
    else
        json["model"] = route.model;
    if (!route.adapter.empty())
        json["adapter"] = route.adapter;
    return json;
}

template <typename Entry> Json toJsonList(const std::vector<Entry> &entries)
{
    Json list = Json::array();
    for (const Entry &entry : entries)
        list.push_back(toJson(entry));
    return list;
}

} // namespace

Json toJson(const Organisation &organisation)
{
    Json keys = Json::array();
    for (const KeyRecord &key : organisation.keys)
        keys.push_back({{"id", key.id}, {"digest", key.digest}});
    return {{"name", organisation.name},
            {"tokens_per_second", organisation.tokensPerSecond},
            {"burst_tokens", organisation.burstTokens},
            {"keys", keys}};
}

Json toJson(const Document &document)
{
    Json regions = Json::array();
    for (const Region &region : document.regions)
        regions.push_back({{"name", region.name}, {"share", region.share}});
    const PlacementSettings &placement = document.placement;
    return {{"format", FormatVersion},
            {"regions", regions},
            {"organisations", toJsonList(document.organisations)},
            {"models", toJsonList(document.models)},
            {"endpoints", toJsonList(document.endpoints)},
            {"routes", toJsonList(document.routes)},
            {"placement",
             {{"block_tokens", placement.blockTokens},
              {"bytes_per_token", placement.bytesPerToken},
              {"prefill_tokens_per_second", placement.prefillTokensPerSecond},
              {"cross_region_ms", placement.crossRegionMillis},
              {"weight_loads_at_once", placement.weightLoadsAtOnce}}}};
}

} // namespace lavenderhall
