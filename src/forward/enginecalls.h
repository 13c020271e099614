#pragma once

#include "forward/adapter.h"
#include "forward/endpointselector.h"
#include "proto/peer.pb.h"

#include <functional>
#include <variant>

/// Calls that request the state of an engine, and the messages by which instances share the
/// answers.
namespace lavenderhall {

/// Functions that send news about engines to all other instances.
struct EngineBroadcast
{
    std::function<void(const proto::LoadNews &news)> load;
    std::function<void(const proto::WeightsNotice &notice)> weights;
};

/// Returns a message with the id and the start time of \a engine, which identify its incarnation.
template <typename Message> Message engineMessage(const RegisteredEndpoint &engine)
{
    Message message;
    message.set_endpoint(engine.id);
    message.set_born_ms(engine.startMillis);
    return message;
}

/// Time limits of a call to an engine.
struct EngineCallTimeouts
{
    Millis connect{400};
    Millis answer{800};
};

using ReportHandler = std::function<void(const std::variant<EngineReport, ReportFailure> &answer)>;

/// Requests a report from \a engine. The answer of another engine that has taken over the address
/// is passed on as ReportFailure::OtherEndpoint.
void requestReport(http::Client &client, const PlatformAdapter &adapter,
                   const RegisteredEndpoint &engine, EngineCallTimeouts timeouts,
                   const ReportHandler &onAnswer);

/// \a isReached tells whether the engine has answered at all.
using OrderHandler = std::function<void(OrderAnswer answer, bool isReached)>;

/// Sends \a order to \a engine.
void sendOrder(http::Client &client, const PlatformAdapter &adapter,
               const RegisteredEndpoint &engine, const WeightsOrder &order,
               EngineCallTimeouts timeouts, const OrderHandler &onAnswer);

/// Records the weights that \a engine reports, and broadcasts each version that is newer than the
/// one known before. Ignores a report of an engine that is busy with an order.
void applyReportedWeights(EndpointSelector &selector, const RegisteredEndpoint &engine,
                          const EngineReport &report, const EngineBroadcast &broadcast);

} // namespace lavenderhall
