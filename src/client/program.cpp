#include "client/program.h"

namespace lavenderhall {

namespace {

std::string quotedText(const std::string &text)
{
    return Json(text).dump();
}

const char *flag(bool value)
{
    return value ? "True" : "False";
}

std::string list(const std::vector<std::string> &names)
{
    return Json(names).dump();
}

std::string printed(const Model &model)
{
    std::string line
        = "config.model(" + quotedText(model.name) + ", version=" + quotedText(model.version);
    if (!model.adapters.empty()) {
        Json adapters = Json::object();
        for (const Adapter &adapter : model.adapters)
            adapters[adapter.name] = adapter.version;
        line += ", adapters=" + adapters.dump();
    }
    return line + ")\n";
}

std::string printed(const Endpoint &endpoint)
{
    std::string line = std::string("config.") + toString(endpoint.kind) + "("
        + quotedText(endpoint.name) + ", " + quotedText(endpoint.address.toString())
        + ", region=" + quotedText(endpoint.region) + ", zone=" + quotedText(endpoint.zone);
    if (endpoint.kind == EndpointKind::Engine)
        line += ", models=" + list(endpoint.models);
    line += ", slots=" + std::to_string(endpoint.slots);
    if (endpoint.draining)
        line += ", draining=True";
    return line + ")\n";
}

std::string printed(const Route &route)
{
    std::string line
        = std::string("config.") + toString(route.kind) + "_route(" + quotedText(route.name);
    if (route.kind == RouteKind::Model)
        line += ", model=" + quotedText(route.model);
    else
        line += ", endpoints=" + list(route.endpoints);
    if (!route.adapter.empty())
        line += ", adapter=" + quotedText(route.adapter);
    line += ", repeatable=" + std::string(flag(route.isRepeatable))
        + ", traffic=" + quotedText(toString(route.trafficClass));
    if (route.isOpen())
        line += ", open_for=" + quotedText(route.openFor);
    return line + ", timeout_ms=" + std::to_string(route.timeout.count())
        + ", gap_ms=" + std::to_string(route.gapTimeout.count()) + ")\n";
}

} // namespace

std::string toProgram(const Document &document, const ConfigRoot &root)
{
    std::string text = "#!/usr/bin/env python3\n\"\"\"Configuration in force, version "
        + std::to_string(root.version) + ".\"\"\"\n\nfrom lavenderhall import Configuration\n\n"
        + "config = Configuration()\n";
    for (const Region &region : document.regions)
        text += "config.region(" + quotedText(region.name)
            + ", share=" + std::to_string(region.share) + ")\n";
    for (const Organisation &organisation : document.organisations) {
        for (const KeyRecord &key : organisation.keys)
            text += "# key " + key.id + "\n";
        text += "config.organisation(" + quotedText(organisation.name)
            + ", tokens_per_second=" + std::to_string(organisation.tokensPerSecond)
            + ", burst_tokens=" + std::to_string(organisation.burstTokens) + ")\n";
    }
    for (const Model &model : document.models)
        text += printed(model);
    for (const Endpoint &endpoint : document.endpoints)
        text += printed(endpoint);
    for (const Route &route : document.routes)
        text += printed(route);
    text += "config.placement(";
    const Json placement = toJson(document).at("placement");
    std::string separator;
    for (const auto &[name, value] : placement.items()) {
        text += separator + name + "=" + value.dump();
        separator = ", ";
    }
    return text + ")\nprint(config)\n";
}

} // namespace lavenderhall
