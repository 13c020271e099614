#pragma once

#include "base/errors.h"
#include "forward/request.h"
#include "rollout/order.h"
#include "routing/endpointdirectory.h"
#include "store/objects.h"

/// What an adapter to a particular platform provides: translation, and nothing else.
namespace lavenderhall {

/// Version of a model's weights that the operators want.
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
    std::string leases; ///< our own: who gives orders
    std::string limits; ///< our own: who decides on organisations' rates
};

/// Plain functions between the platform's words and the product's types. Errors are those of
/// malformed input.
struct PlatformAdapter
{
    ObjectForm objects;
    ObjectKinds kinds;

    Result<TableContent> (*readTable)(const Json &content);
    Result<RegisteredEndpoint> (*readEndpoint)(const StoredObject &object);
    Result<NamedWeights> (*readWeights)(const Json &content);

    Result<ForwardRequest> (*readRequest)(const http::Request &request);
    http::CallRequest (*writeAttempt)(const ForwardRequest &request, const AttemptMarks &marks);
    AnswerHead (*readAnswerHead)(int status, const http::Headers &headers);
    http::Response (*writeRefusal)(const ForwardRefusal &refusal, const std::string &requestId);

    http::CallRequest (*writeReportCall)(const RegisteredEndpoint &endpoint);
    /// NotFound: the address belongs to another endpoint now, which says so.
    Result<EngineReport> (*readReport)(const http::Response &response);
    http::CallRequest (*writeOrder)(const RegisteredEndpoint &endpoint, const WeightsOrder &order);
    OrderAnswer (*readOrderAnswer)(const http::Response &response);
};

} // namespace lavenderhall
