#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Orders to engines to change their weights, and what engines report of themselves.
namespace lavenderhall {

/// What an engine says of its work.
struct EngineReport
{
    std::optional<std::int64_t> startMillis; ///< Unix time of its start, if it tells
    std::map<std::string, std::int64_t> weights; ///< loaded version by model
    std::int64_t acceptedOrders = 0; ///< since its start; the condition of the next order
    bool isBusy = false; ///< an order is being carried out
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    bool operator==(const EngineReport &) const = default;
};

/// Why there is no report.
enum class ReportFailure {
    NotReached, ///< not even a connection came about
    NoAnswer,
    OtherEndpoint, ///< the address belongs to another endpoint now
    Malformed,
};

struct WeightsOrder
{
    std::string model;
    std::int64_t version = 0;
    std::string holder; ///< who gives it
    std::int64_t fence = 0; ///< grows with each taking of the lease
    std::int64_t expectedAcceptedOrders = 0; ///< carried out only after exactly so many others

    auto operator<=>(const WeightsOrder &) const = default;
};

enum class OrderAnswer {
    Accepted,
    AlreadyDone,
    Conflict, ///< another order is being carried out, or one has come in between
    Fenced, ///< somebody has given orders with a higher fence
    OtherEndpoint, ///< the address belongs to another endpoint now
    Rejected,
    Unknown, ///< it may be carried out, now or later
};

const char *toString(OrderAnswer answer);

} // namespace lavenderhall
