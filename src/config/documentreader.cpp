#include "config/document.h"
#include "config/documentcheck.h"
#include "config/documentformat.h"
#include "config/namedentries.h"

#include <algorithm>

/// The part of document.h that reads configurations.
namespace lavenderhall {

namespace {

constexpr IntRange PortRange{1, 65535};
constexpr IntRange RateRange{0, 1'000'000'000};
constexpr IntRange SlotRange{1, 100'000};
constexpr IntRange ShareRange{1, 1000};
constexpr IntRange TimeoutMillisRange{1, 86'400'000};
constexpr IntRange BlockTokensRange{16, 65536};
constexpr IntRange BytesPerTokenRange{1, 64};
constexpr IntRange PrefillTokensPerSecondRange{1, 10'000'000};
constexpr IntRange CrossRegionMillisRange{0, 10'000};
constexpr IntRange WeightLoadsRange{1, 1000};
constexpr std::int64_t DefaultTimeoutMillis = 120'000;
constexpr std::int64_t DefaultGapMillis = 15'000;
constexpr std::int64_t DefaultSlots = 32;
constexpr std::int64_t DefaultShare = 1;
constexpr std::size_t MaxNameLength = 100; ///< characters
constexpr std::size_t DigestHexDigits = 64; ///< of SHA-256

bool isName(std::string_view text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= MaxNameLength
        && std::all_of(text.begin(), text.end(), isAllowed);
}

std::string readName(ObjectReader &reader, const std::string &field = "name")
{
    std::string name = reader.text(field);
    if (reader.isGood() && !isName(name))
        reader.recordError(field, "\"" + name + "\"",
                           "1 to " + std::to_string(MaxNameLength)
                               + " letters, digits, dots, hyphens or underscores");
    return name;
}

Region readRegion(ObjectReader &reader)
{
    Region region;
    region.name = readName(reader);
    region.share = reader.integer("share", ShareRange, DefaultShare);
    return region;
}

KeyRecord readKey(ObjectReader &reader)
{
    KeyRecord key;
    key.id = readName(reader, "id");
    key.digest = reader.text("digest");
    const bool isHex = key.digest.size() == DigestHexDigits
        && key.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (reader.isGood() && !isHex)
        reader.recordError("digest", std::to_string(key.digest.size()) + " characters",
                           std::to_string(DigestHexDigits)
                               + " lower-case hex digits, the SHA-256 of the key");
    return key;
}

Organisation readOrganisation(ObjectReader &reader)
{
    Organisation organisation;
    organisation.name = readName(reader);
    organisation.tokensPerSecond = reader.integer("tokens_per_second", RateRange);
    organisation.burstTokens = reader.integer("burst_tokens", RateRange);
    reader.objects("keys",
                   [&](ObjectReader &entry) { organisation.keys.push_back(readKey(entry)); });
    std::sort(organisation.keys.begin(), organisation.keys.end());
    return organisation;
}

Model readModel(ObjectReader &reader)
{
    Model model;
    model.name = readName(reader);
    model.version = readName(reader, "version");
    reader.objects("adapters", [&](ObjectReader &entry) {
        Adapter adapter;
        adapter.name = readName(entry);
        adapter.version = readName(entry, "version");
        model.adapters.push_back(std::move(adapter));
    });
    std::sort(model.adapters.begin(), model.adapters.end());
    return model;
}

Endpoint readEndpoint(ObjectReader &reader)
{
    Endpoint endpoint;
    endpoint.name = readName(reader);
    endpoint.kind = static_cast<EndpointKind>(reader.choice("kind", EndpointKindNames));
    endpoint.address.host = reader.ipAddress("host");
    endpoint.address.port = static_cast<std::uint16_t>(reader.integer("port", PortRange));
    endpoint.region = readName(reader, "region");
    endpoint.zone = readName(reader, "zone");
    endpoint.models = reader.texts("models");
    std::sort(endpoint.models.begin(), endpoint.models.end());
    endpoint.slots = reader.integer("slots", SlotRange, DefaultSlots);
    endpoint.draining = reader.boolean("draining", false);
    return endpoint;
}

Route readRoute(ObjectReader &reader)
{
    Route route;
    route.name = readName(reader);
    route.kind = static_cast<RouteKind>(reader.choice("kind", RouteKindNames));
    if (route.kind == RouteKind::Model) {
        route.model = readName(reader, "model");
        route.adapter = reader.text("adapter", "");
    } else {
        route.endpoints = reader.texts("endpoints");
        std::sort(route.endpoints.begin(), route.endpoints.end());
    }
    route.openFor = reader.text("open_for", "");
    route.isRepeatable = reader.boolean("repeatable", route.kind == RouteKind::Model);
    route.trafficClass = static_cast<TrafficClass>(reader.choice("class", TrafficClassNames, 0));
    route.timeout = Millis(reader.integer("timeout_ms", TimeoutMillisRange, DefaultTimeoutMillis));
    route.gapTimeout = Millis(reader.integer("gap_ms", TimeoutMillisRange, DefaultGapMillis));
    return route;
}

PlacementSettings readPlacement(ObjectReader &reader)
{
    const PlacementSettings defaults;
    PlacementSettings placement;
    placement.blockTokens = reader.integer("block_tokens", BlockTokensRange, defaults.blockTokens);
    placement.bytesPerToken
        = reader.integer("bytes_per_token", BytesPerTokenRange, defaults.bytesPerToken);
    placement.prefillTokensPerSecond = reader.integer(
        "prefill_tokens_per_second", PrefillTokensPerSecondRange, defaults.prefillTokensPerSecond);
    placement.crossRegionMillis
        = reader.integer("cross_region_ms", CrossRegionMillisRange, defaults.crossRegionMillis);
    placement.weightLoadsAtOnce
        = reader.integer("weight_loads_at_once", WeightLoadsRange, defaults.weightLoadsAtOnce);
    return placement;
}

} // namespace

Result<Document> parseDocument(const Json &json, const std::string &file)
{
    Document document;
    ObjectReader reader(json, file, "");
    reader.integer("format", {FormatVersion, FormatVersion});
    reader.objects("regions",
                   [&](ObjectReader &entry) { document.regions.push_back(readRegion(entry)); });
    reader.objects("organisations", [&](ObjectReader &entry) {
        document.organisations.push_back(readOrganisation(entry));
    });
    reader.objects("models",
                   [&](ObjectReader &entry) { document.models.push_back(readModel(entry)); });
    reader.objects("endpoints",
                   [&](ObjectReader &entry) { document.endpoints.push_back(readEndpoint(entry)); });
    reader.objects("routes",
                   [&](ObjectReader &entry) { document.routes.push_back(readRoute(entry)); });
    reader.object("placement",
                  [&](ObjectReader &entry) { document.placement = readPlacement(entry); });
    reader.finish();

    sortByName(document.regions);
    sortByName(document.organisations);
    sortByName(document.models);
    sortByName(document.endpoints);
    sortByName(document.routes);
    if (reader.isGood())
        checkConsistency(document, reader);
    if (!reader.isGood())
        return fail(ErrorCode::BadInput, "check configuration", reader.firstError());
    return document;
}

} // namespace lavenderhall
