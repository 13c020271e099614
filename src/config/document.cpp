#include "config/document.h"

#include "config/documentformat.h"
#include "config/namedentries.h"

namespace lavenderhall {

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

} // namespace lavenderhall
