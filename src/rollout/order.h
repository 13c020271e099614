#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Orders that tell engines to load other weights, and the engines' reports about themselves.
namespace lavenderhall {

/// An engine's report about its state.
struct EngineReport
{
    std::optional<std::int64_t> startMillis; ///< Unix time of its start, if the engine reports it
    std::map<std::string, std::int64_t> weights; ///< loaded version by model
    std::int64_t acceptedOrders = 0; ///< since its start; the next order must state this number
    bool isBusy = false; ///< it is executing an order
    bool isLeaving = false; ///< it stops soon
    std::int64_t running = 0; ///< requests that are running
    std::int64_t waiting = 0; ///< requests that are queued

    bool operator==(const EngineReport &) const = default;
};

/// The reason why a report could not be obtained.
enum class ReportFailure {
    NotReached, ///< no connection could be made
    NoAnswer, ///< the request was sent, and no complete answer arrived
    OtherEndpoint, ///< the address belongs to another endpoint now
    Malformed,
};

/// An order to load a version of a model's weights.
struct WeightsOrder
{
    std::string model;
    std::int64_t version = 0;
    std::string holder; ///< of the lease: the instance that sends the order
    std::int64_t fence = 0; ///< fencing number of the lease
    /// The engine refuses the order if it has accepted another number of orders before.
    std::int64_t expectedAcceptedOrders = 0;

    auto operator<=>(const WeightsOrder &) const = default;
};

/// An engine's answer to an order.
enum class OrderAnswer {
    Accepted,
    AlreadyDone, ///< the engine has loaded the version already
    Conflict, ///< it is executing another order, or has accepted one in the meantime
    Fenced, ///< it has received an order with a higher fencing number
    OtherEndpoint, ///< the address belongs to another endpoint now
    Rejected,
    Unknown, ///< no answer: the engine may execute the order now or later
};

/// Returns the name of \a answer in logs.
const char *toString(OrderAnswer answer);

} // namespace lavenderhall
