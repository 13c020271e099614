#pragma once

#include "base/errors.h"
#include "canary/order.h"
#include "forward/request.h"
#include "rollout/order.h"
#include "routing/endpointdirectory.h"
#include "store/objects.h"

/// The interface of an adapter to a particular platform. It only translates between the platform's
/// formats and the router's types.
namespace lavenderhall {

/// The version of a model's weights that the operators have named as the one to load.
struct NamedWeights
{
    std::string model;
    std::int64_t version = 0;

    auto operator<=>(const NamedWeights &) const = default;
};

/// Names of the kinds of objects in the store.
struct ObjectKinds
{
    std::string configuration;
    std::string endpoints;
    std::string weights;
    std::string leases; ///< the router's own: which instance may send weights orders
    std::string streams; ///< the router's own: which builds have begun streams
    std::string limits; ///< the router's own: which instance decides on organisations' rates
    std::string rollouts; ///< orders to move a service's traffic to another version
    std::string configurationName; ///< of the one object that holds the configuration
};

/// Names of the parts of the platform's contract that switch on parts of the router.
struct FeatureNames
{
    std::string overload; ///< callers compete for too few endpoints: admission control

    auto operator<=>(const FeatureNames &) const = default;
};

/// Functions that translate between the platform's formats and the router's types. Unless stated
/// otherwise, an error means that the input is malformed.
struct PlatformAdapter
{
    ObjectCodec objects;
    ObjectKinds kinds;
    FeatureNames features;

    /// The platform has accepted the configuration, so no value of a route, a service or an
    /// organisation makes it unreadable: what the router cannot take as it stands is replaced by
    /// the closest value, or that entry is left out. An error means that there is no such list at
    /// all, or no version.
    Result<TableReading> (*readTable)(const Json &content);
    Result<RegisteredEndpoint> (*readEndpoint)(const StoredObject &object);
    /// An object under another name than its model's is malformed.
    Result<NamedWeights> (*readWeights)(const StoredObject &object);
    Result<ServiceOrder> (*readServiceOrder)(const StoredObject &object);
    /// Returns the status to write into the store.
    Json (*writeServiceStatus)(const ServiceOrder &order, RolloutState state);

    Result<ForwardRequest> (*readRequest)(const http::Request &request);
    /// Returns the id of a request that need not be complete; "" if it has none.
    std::string (*readRequestId)(const http::Request &request);
    http::CallRequest (*writeAttempt)(const ForwardRequest &request,
                                      const AttemptMetadata &metadata);
    /// Writes the caller's request for another instance, where it has \a timeLeft.
    http::CallRequest (*writeRelayed)(const http::Request &request, Millis timeLeft);
    AnswerHead (*readAnswerHead)(int status, const http::Headers &headers);
    http::Response (*writeRefusal)(const ForwardRefusal &refusal, const std::string &requestId);

    http::CallRequest (*writeReportCall)(const RegisteredEndpoint &endpoint);
    /// Returns ErrorCode::NotFound if the answer states that the address belongs to another
    /// endpoint now.
    Result<EngineReport> (*readReport)(const http::Response &response);
    http::CallRequest (*writeOrder)(const RegisteredEndpoint &endpoint, const WeightsOrder &order);
    OrderAnswer (*readOrderAnswer)(const http::Response &response);
};

} // namespace lavenderhall
