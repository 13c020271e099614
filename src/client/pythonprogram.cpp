#include "client/pythonprogram.h"

namespace lavenderhall {

namespace {

// JSON texts and lists of texts are valid Python literals as well.
std::string pythonText(const std::string &text)
{
    return Json(text).dump();
}

const char *pythonBool(bool value)
{
    return value ? "True" : "False";
}

std::string pythonList(const std::vector<std::string> &names)
{
    return Json(names).dump();
}

// Each overload returns the line of the program that adds one object to the configuration.
std::string configCall(const Model &model)
{
    std::string line
        = "config.model(" + pythonText(model.name) + ", version=" + pythonText(model.version);
    if (!model.adapters.empty()) {
        Json adapters = Json::object();
        for (const Adapter &adapter : model.adapters)
            adapters[adapter.name] = adapter.version;
        line += ", adapters=" + adapters.dump();
    }
    return line + ")\n";
}

std::string configCall(const Endpoint &endpoint)
{
    std::string line = std::string("config.") + toString(endpoint.kind) + "("
        + pythonText(endpoint.name) + ", " + pythonText(endpoint.address.toString())
        + ", region=" + pythonText(endpoint.region) + ", zone=" + pythonText(endpoint.zone);
    if (endpoint.kind == EndpointKind::Engine)
        line += ", models=" + pythonList(endpoint.models);
    line += ", slots=" + std::to_string(endpoint.slots);
    if (endpoint.draining)
        line += ", draining=True";
    return line + ")\n";
}

std::string configCall(const Route &route)
{
    std::string line
        = std::string("config.") + toString(route.kind) + "_route(" + pythonText(route.name);
    if (route.kind == RouteKind::Model)
        line += ", model=" + pythonText(route.model);
    else
        line += ", endpoints=" + pythonList(route.endpoints);
    if (!route.adapter.empty())
        line += ", adapter=" + pythonText(route.adapter);
    line += ", repeatable=" + std::string(pythonBool(route.isRepeatable))
        + ", traffic=" + pythonText(toString(route.trafficClass));
    if (route.isOpen())
        line += ", open_for=" + pythonText(route.openFor);
    return line + ", timeout_ms=" + std::to_string(route.timeout.count())
        + ", gap_ms=" + std::to_string(route.gapTimeout.count()) + ")\n";
}

} // namespace

std::string toPythonProgram(const Document &document, const ConfigRoot &root)
{
    std::string text = "#!/usr/bin/env python3\n\"\"\"Configuration in force, version "
        + std::to_string(root.version) + ".\"\"\"\n\nfrom lavenderhall import Configuration\n\n"
        + "config = Configuration()\n";
    for (const Region &region : document.regions)
        text += "config.region(" + pythonText(region.name)
            + ", share=" + std::to_string(region.share) + ")\n";
    for (const Organisation &organisation : document.organisations) {
        for (const KeyRecord &key : organisation.keys)
            text += "# key " + key.id + "\n";
        text += "config.organisation(" + pythonText(organisation.name)
            + ", tokens_per_second=" + std::to_string(organisation.tokensPerSecond)
            + ", burst_tokens=" + std::to_string(organisation.burstTokens) + ")\n";
    }
    for (const Model &model : document.models)
        text += configCall(model);
    for (const Endpoint &endpoint : document.endpoints)
        text += configCall(endpoint);
    for (const Route &route : document.routes)
        text += configCall(route);
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
