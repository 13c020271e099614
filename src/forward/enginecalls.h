#pragma once

#include "forward/adapter.h"
#include "forward/loadbook.h"
#include "proto/peer.pb.h"

#include <functional>
#include <variant>

/// Calls to engines about themselves, and what instances tell each other of the answers.
namespace lavenderhall {

/// How instances hear from each other about engines.
struct EngineTelling
{
    std::function<void(const proto::LoadNews &news)> load;
    std::function<void(const proto::WeightsNotice &notice)> weights;
};

/// Returns a message that names this incarnation of \a engine.
template <typename Message> Message messageAbout(const RegisteredEndpoint &engine)
{
    Message message;
    message.set_endpoint(engine.id);
    message.set_born_ms(engine.startMillis);
    return message;
}

/// How long a call to an engine may take.
struct EngineCallTimes
{
    Millis connect{400};
    Millis answer{800};
};

/// Sends \a request to \a engine; the handler is called once.
void callEngine(http::Client &client, http::CallRequest request, const RegisteredEndpoint &engine,
                EngineCallTimes times, const http::WholeHandler &onAnswer);

using ReportHandler = std::function<void(const std::variant<EngineReport, ReportFailure> &answer)>;

/// Asks \a engine how it is. An answer of another one, which has the address now, is none.
void askReport(http::Client &client, const PlatformAdapter &adapter,
               const RegisteredEndpoint &engine, EngineCallTimes times,
               const ReportHandler &onAnswer);

/// Takes in the weights that \a engine reports, and tells of those that are news.
void learnWeights(LoadBook &loads, const RegisteredEndpoint &engine, const EngineReport &report,
                  const EngineTelling &telling);

} // namespace lavenderhall
