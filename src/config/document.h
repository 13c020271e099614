#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/errors.h"
#include "base/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration that operators write: value types, checked as a whole when parsed.
namespace lavenderhall {

/// A caller's key, of which only the digest is stored.
struct KeyRecord
{
    std::string id; ///< public name, used to withdraw the key
    std::string digest; ///< SHA-256 of the key, 64 hex digits

    auto operator<=>(const KeyRecord &) const = default;
};

/// A group of callers with a common rate limit (token bucket).
struct Organisation
{
    std::string name;
    std::int64_t tokensPerSecond = 0; ///< refill rate of the bucket
    std::int64_t burstTokens = 0; ///< capacity of the bucket
    std::vector<KeyRecord> keys;

    auto operator<=>(const Organisation &) const = default;
};

/// A fine-tuned adapter of a model.
struct Adapter
{
    std::string name;
    std::string version;

    auto operator<=>(const Adapter &) const = default;
};

/// A language model that engines serve.
struct Model
{
    std::string name;
    std::string version; ///< of the weights that requests are to run on
    std::vector<Adapter> adapters;

    auto operator<=>(const Model &) const = default;
};

enum class EndpointKind { Engine, Service };

/// A process that requests are routed to.
struct Endpoint
{
    std::string name;
    EndpointKind kind = EndpointKind::Engine;
    Address address;
    std::string region;
    std::string zone;
    std::vector<std::string> models; ///< names of the models that an engine may serve
    std::int64_t slots = 0; ///< requests that it runs concurrently
    bool draining = false; ///< receives no new requests

    auto operator<=>(const Endpoint &) const = default;
};

/// Traffic class of a route, most urgent first.
enum class TrafficClass { Interactive, Long, Background };

enum class RouteKind { Model, Service };

/// A name under which callers reach a model or a service.
struct Route
{
    std::string name;
    RouteKind kind = RouteKind::Model;
    std::string model; ///< for model routes
    std::string adapter; ///< for model routes, "" for none
    std::vector<std::string> endpoints; ///< for service routes
    std::string
        openFor; ///< organisation charged for callers without a key; "" if a key is required
    bool isRepeatable = true; ///< requests may be sent again after an unknown outcome
    TrafficClass trafficClass = TrafficClass::Interactive;
    Millis timeout{0}; ///< until the answer is complete
    Millis gapTimeout{0}; ///< between two parts of a stream

    auto operator<=>(const Route &) const = default;
    /// Whether callers without a key are accepted.
    bool isOpen() const { return !this->openFor.empty(); }
};

/// A group of availability zones with a share of each organisation's rate.
struct Region
{
    std::string name;
    std::int64_t share = 1; ///< weight when organisations' rates are divided among regions

    auto operator<=>(const Region &) const = default;
};

/// Parameters of placement.
struct PlacementSettings
{
    std::int64_t blockTokens = 2048; ///< size of a cached block
    std::int64_t bytesPerToken = 4; ///< to estimate the number of tokens of a text
    std::int64_t prefillTokensPerSecond = 8000; ///< prefill rate of an engine for uncached tokens
    std::int64_t crossRegionMillis = 24; ///< round-trip time between regions
    std::int64_t weightLoadsAtOnce = 2; ///< concurrent weight loads in the whole fleet

    auto operator<=>(const PlacementSettings &) const = default;
};

/// A complete configuration. The lists are sorted by name.
struct Document
{
    std::vector<Region> regions;
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Endpoint> endpoints;
    std::vector<Route> routes;
    PlacementSettings placement;

    bool operator==(const Document &) const = default;

    /// Returns the entry named \a name, nullptr if there is none.
    const Organisation *findOrganisation(std::string_view name) const;
    const Model *findModel(std::string_view name) const;
    const Endpoint *findEndpoint(std::string_view name) const;
    const Route *findRoute(std::string_view name) const;
};

/// Parses and checks a configuration; \a file is named in errors, which are of code BadInput.
Result<Document> parseDocument(const Json &json, const std::string &file);

/// Returns the canonical JSON: keys and lists are sorted, defaults are included.
Json toJson(const Document &document);
Json toJson(const Organisation &organisation);

/// Names of the enumerators in configuration files.
const char *toString(TrafficClass trafficClass);
const char *toString(RouteKind kind);
const char *toString(EndpointKind kind);

} // namespace lavenderhall
