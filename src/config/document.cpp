#include "config/document.h"

#include <algorithm>
#include <set>

namespace lavenderhall {

namespace {

constexpr IntRange PortRange{1, 65535};
constexpr IntRange RateRange{0, 1'000'000'000};
constexpr IntRange SlotRange{1, 100'000};
constexpr IntRange ShareRange{1, 1000};
constexpr IntRange TimeoutMillisRange{1, 86'400'000};
constexpr std::int64_t DefaultTimeoutMillis = 120'000;
constexpr std::int64_t DefaultGapMillis = 15'000;
constexpr std::int64_t DefaultSlots = 32;
constexpr std::int64_t FormatVersion = 1; ///< of the configuration file
constexpr std::size_t MaxNameLength = 100; ///< characters
constexpr std::size_t DigestHexDigits = 64; ///< of SHA-256

const std::vector<std::string> TrafficClassNames{"interactive", "long", "background"};
const std::vector<std::string> RouteKindNames{"model", "service"};
const std::vector<std::string> EndpointKindNames{"engine", "service"};

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
                           "1 to 100 letters, digits, dots, hyphens or underscores");
    return name;
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
                           "64 lower-case hex digits, the SHA-256 of the key");
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
    placement.blockTokens = reader.integer("block_tokens", {16, 65536}, defaults.blockTokens);
    placement.bytesPerToken = reader.integer("bytes_per_token", {1, 64}, defaults.bytesPerToken);
    placement.prefillTokensPerSecond = reader.integer("prefill_tokens_per_second", {1, 10'000'000},
                                                      defaults.prefillTokensPerSecond);
    placement.crossRegionMillis
        = reader.integer("cross_region_ms", {0, 10'000}, defaults.crossRegionMillis);
    placement.weightLoadsAtOnce
        = reader.integer("weight_loads_at_once", {1, 1000}, defaults.weightLoadsAtOnce);
    return placement;
}

template <typename Entry>
const Entry *findByName(const std::vector<Entry> &entries, std::string_view name)
{
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), name,
        [](const Entry &entry, std::string_view wanted) { return entry.name < wanted; });
    if (found == entries.end() || found->name != name)
        return nullptr;
    return &*found;
}

/// Checks the constraints between entries: unique names and valid references.
class ConsistencyCheck
{
public:
    ConsistencyCheck(const Document &document, ObjectReader &reader)
        : document(document)
        , reader(reader)
    { }

    void run()
    {
        this->checkUnique(this->document.regions, "regions");
        this->checkUnique(this->document.organisations, "organisations");
        this->checkUnique(this->document.models, "models");
        this->checkUnique(this->document.endpoints, "endpoints");
        this->checkUnique(this->document.routes, "routes");
        this->checkKeys();
        for (const Endpoint &endpoint : this->document.endpoints)
            this->checkEndpoint(endpoint);
        for (const Route &route : this->document.routes)
            this->checkRoute(route);
    }

private:
    template <typename Entry>
    void checkUnique(const std::vector<Entry> &entries, const std::string &list)
    {
        for (std::size_t index = 1; index < entries.size(); ++index) {
            if (entries[index].name == entries[index - 1].name)
                this->reader.recordError(list, "\"" + entries[index].name + "\" twice",
                                         "each name once");
        }
    }

    void checkKeys()
    {
        std::set<std::string> seen;
        for (const Organisation &organisation : this->document.organisations) {
            for (const KeyRecord &key : organisation.keys) {
                const bool isNewId = seen.insert("id " + key.id).second;
                const bool isNewDigest = seen.insert("digest " + key.digest).second;
                if (!isNewId || !isNewDigest)
                    this->reader.recordError("organisations." + organisation.name + ".keys",
                                             "key \"" + key.id + "\" twice",
                                             "each key id and digest once in the whole file");
            }
        }
    }

    void checkEndpoint(const Endpoint &endpoint)
    {
        const std::string path = "endpoints." + endpoint.name;
        if (!findByName(this->document.regions, endpoint.region))
            this->reader.recordError(path + ".region", "\"" + endpoint.region + "\"",
                                     "the name of a region");
        for (const std::string &model : endpoint.models) {
            if (!this->document.findModel(model))
                this->reader.recordError(path + ".models", "\"" + model + "\"",
                                         "the name of a model");
        }
    }

    void checkRoute(const Route &route)
    {
        const std::string path = "routes." + route.name;
        if (route.isOpen() && !this->document.findOrganisation(route.openFor))
            this->reader.recordError(path + ".open_for", "\"" + route.openFor + "\"",
                                     "the name of an organisation");
        if (route.kind == RouteKind::Model)
            return this->checkModelRoute(route, path);
        if (route.endpoints.empty())
            this->reader.recordError(path + ".endpoints", "no endpoint", "at least one");
        for (const std::string &name : route.endpoints) {
            const Endpoint *endpoint = this->document.findEndpoint(name);
            if (!endpoint || endpoint->kind != EndpointKind::Service)
                this->reader.recordError(path + ".endpoints", "\"" + name + "\"",
                                         "the name of an endpoint of kind \"service\"");
        }
    }

    void checkModelRoute(const Route &route, const std::string &path)
    {
        const Model *model = this->document.findModel(route.model);
        if (!model) {
            this->reader.recordError(path + ".model", "\"" + route.model + "\"",
                                     "the name of a model");
            return;
        }
        if (!route.adapter.empty() && !findByName(model->adapters, route.adapter))
            this->reader.recordError(path + ".adapter", "\"" + route.adapter + "\"",
                                     "the name of an adapter of model " + model->name);
    }

    const Document &document;
    ObjectReader &reader;
};

template <typename Entry> void sortByName(std::vector<Entry> &entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const Entry &left, const Entry &right) { return left.name < right.name; });
}

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

const char *toString(TrafficClass trafficClass)
{
    return TrafficClassNames[static_cast<std::size_t>(trafficClass)].c_str();
}

const char *toString(RouteKind kind)
{
    return RouteKindNames[static_cast<std::size_t>(kind)].c_str();
}

const char *toString(EndpointKind kind)
{
    return EndpointKindNames[static_cast<std::size_t>(kind)].c_str();
}

const Organisation *Document::findOrganisation(std::string_view name) const
{
    return findByName(this->organisations, name);
}

const Model *Document::findModel(std::string_view name) const
{
    return findByName(this->models, name);
}

const Endpoint *Document::findEndpoint(std::string_view name) const
{
    return findByName(this->endpoints, name);
}

const Route *Document::findRoute(std::string_view name) const
{
    return findByName(this->routes, name);
}

Result<Document> parseDocument(const Json &json, const std::string &file)
{
    Document document;
    ObjectReader reader(json, file, "");
    reader.integer("format", {FormatVersion, FormatVersion});
    reader.objects("regions", [&](ObjectReader &entry) {
        Region region;
        region.name = readName(entry);
        region.share = entry.integer("share", ShareRange, 1);
        document.regions.push_back(std::move(region));
    });
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
        ConsistencyCheck(document, reader).run();
    if (!reader.isGood())
        return fail(ErrorCode::BadInput, "check configuration", reader.firstError());
    return document;
}

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
