#include "forward/enginecalls.h"

#include "base/log.h"

namespace lavenderhall {

namespace {

std::variant<EngineReport, ReportFailure> readReport(const PlatformAdapter &adapter,
                                                     const RegisteredEndpoint &engine,
                                                     const http::Response &response)
{
    const auto read = toOutcome([&] { return adapter.readReport(response); });
    if (const auto *report = std::get_if<EngineReport>(&read)) {
        if (report->startMillis.value_or(engine.startMillis) == engine.startMillis)
            return *report;
        return ReportFailure::OtherEndpoint;
    }
    const Error &error = std::get<Error>(read);
    if (error.code == ErrorCode::NotFound)
        return ReportFailure::OtherEndpoint;
    logEvent(LogLevel::Warning, "report_malformed",
             {{"endpoint", engine.id}, {"detail", error.detail}});
    return ReportFailure::Malformed;
}

} // namespace

void callEngine(http::Client &client, http::CallRequest request, const RegisteredEndpoint &engine,
                EngineCallTimeouts timeouts, const http::ResponseHandler &onAnswer)
{
    request.to = engine.address;
    request.headTimeout = timeouts.answer;
    request.connectTimeout = timeouts.connect;
    http::startBuffered(client, std::move(request), onAnswer);
}

void requestReport(http::Client &client, const PlatformAdapter &adapter,
                   const RegisteredEndpoint &engine, EngineCallTimeouts timeouts,
                   const ReportHandler &onAnswer)
{
    const auto onResponse = [&adapter, engine, onAnswer](const http::Response *response,
                                                         const http::CallFailure &failure) {
        if (!response)
            return onAnswer(failure.mayHaveBeenSent ? ReportFailure::NoAnswer
                                                    : ReportFailure::NotReached);
        onAnswer(readReport(adapter, engine, *response));
    };
    callEngine(client, adapter.writeReportCall(engine), engine, timeouts, onResponse);
}

void applyReportedWeights(EndpointSelector &selector, const RegisteredEndpoint &engine,
                          const EngineReport &report, const EngineBroadcast &broadcast)
{
    const RegisteredEndpoint *entry = selector.findEntry(engine.id);
    if (!entry || report.isBusy)
        return;
    const auto knownWeights = entry->weights; // a copy, as onWeightsLoaded() changes the entry
    for (const auto &[model, version] : report.weights) {
        const auto knownVersion = knownWeights.find(model);
        if (knownVersion != knownWeights.end() && knownVersion->second >= version)
            continue;
        selector.onWeightsLoaded(engine.id, model, version);
        if (!broadcast.weights)
            continue;
        auto notice = engineMessage<proto::WeightsNotice>(engine);
        notice.set_model(model);
        notice.set_version(version);
        broadcast.weights(notice);
    }
}

} // namespace lavenderhall
