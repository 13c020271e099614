#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/errors.h"
#include "base/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration that operators write: immutable values, checked as a whole.
namespace lavenderhall {

/// A caller's key. Only its digest is kept.
struct KeyRecord
{
    std::string id; ///< public name, used to withdraw it
    std::string digest; ///< SHA-256 of the key, 64 hex digits

    auto operator<=>(const KeyRecord &) const = default;
};

struct Organisation
{
    std::string name;
    std::int64_t tokensPerSecond = 0;
    std::int64_t burstTokens = 0;
    std::vector<KeyRecord> keys;

    auto operator<=>(const Organisation &) const = default;
};

struct Adapter
{
    std::string name;
    std::string version;

    auto operator<=>(const Adapter &) const = default;
};

struct Model
{
    std::string name;
    std::string version; ///< of the weights that requests are to run on
    std::vector<Adapter> adapters;

    auto operator<=>(const Model &) const = default;
};

enum class EndpointKind { Engine, Service };

struct Endpoint
{
    std::string name;
    EndpointKind kind = EndpointKind::Engine;
    Address address;
    std::string region;
    std::string zone;
    std::vector<std::string> models; ///< names of the models that an engine may serve
    std::int64_t slots = 0; ///< requests that it runs at once
    bool draining = false; ///< gets no new work

    auto operator<=>(const Endpoint &) const = default;
};

/// Kind of traffic, most urgent first.
enum class TrafficClass { Interactive, Long, Background };

enum class RouteKind { Model, Service };

struct Route
{
    std::string name;
    RouteKind kind = RouteKind::Model;
    std::string model; ///< for model routes
    std::string adapter; ///< for model routes, "" for none
    std::vector<std::string> endpoints; ///< for service routes
    std::string openFor; ///< organisation charged for callers without a key; "" if not open
    bool isRepeatable = true;
    TrafficClass trafficClass = TrafficClass::Interactive;
    Millis timeout{0}; ///< until the whole answer
    Millis gapTimeout{0}; ///< between two parts of a stream

    auto operator<=>(const Route &) const = default;
    bool isOpen() const { return !this->openFor.empty(); }
};

struct Region
{
    std::string name;
    std::int64_t share = 1; ///< weight with which organisations' rates are divided

    auto operator<=>(const Region &) const = default;
};

/// Knobs of placement.
struct PlacementSettings
{
    std::int64_t blockTokens = 2048; ///< size of a cached block
    std::int64_t bytesPerToken = 4; ///< to estimate tokens from text
    std::int64_t prefillTokensPerSecond = 8000; ///< of an engine, uncached
    std::int64_t crossRegionMillis = 24; ///< round trip between regions
    std::int64_t weightLoadsAtOnce = 2; ///< over the whole fleet

    auto operator<=>(const PlacementSettings &) const = default;
};

/// A whole configuration. Lists are sorted by name.
struct Document
{
    std::vector<Region> regions;
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Endpoint> endpoints;
    std::vector<Route> routes;
    PlacementSettings placement;

    bool operator==(const Document &) const = default;

    const Organisation *findOrganisation(std::string_view name) const;
    const Model *findModel(std::string_view name) const;
    const Endpoint *findEndpoint(std::string_view name) const;
    const Route *findRoute(std::string_view name) const;
};

/// Reads and checks a configuration; \a file is named in errors.
Result<Document> parseDocument(const Json &json, const std::string &file);

/// Returns the canonical JSON: keys and lists sorted, defaults written out.
Json toJson(const Document &document);
Json toJson(const Organisation &organisation);

/// Names of the enumerators in configuration files.
const char *toString(TrafficClass trafficClass);
const char *toString(RouteKind kind);
const char *toString(EndpointKind kind);

} // namespace lavenderhall
