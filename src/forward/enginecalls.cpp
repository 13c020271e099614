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

/// Sends \a request to \a engine; \a onAnswer is called once.
void callEngine(http::Client &client, http::CallRequest request, const RegisteredEndpoint &engine,
                EngineCallTimeouts timeouts, const http::ResponseHandler &onAnswer)
{
    request.to = engine.address;
    request.headTimeout = timeouts.answer;
    request.connectTimeout = timeouts.connect;
    http::startBuffered(client, std::move(request), onAnswer);
}

} // namespace

// The answer to a report bears no id. The endpoint that has taken over the address may repeat its
// refusal, and the copy must not count as its answer to a report of its own.
void requestReport(http::Client &client, const PlatformAdapter &adapter,
                   const RegisteredEndpoint &engine, EngineCallTimeouts timeouts,
                   const ReportHandler &onAnswer)
{
    const auto onResponse = [&client, &adapter, engine, onAnswer](
                                const http::Response *response, const http::CallFailure &failure) {
        if (!response)
            return onAnswer(failure.mayHaveBeenSent ? ReportFailure::NoAnswer
                                                    : ReportFailure::NotReached);
        const auto answer = readReport(adapter, engine, *response);
        const auto *reportFailure = std::get_if<ReportFailure>(&answer);
        if (reportFailure && *reportFailure == ReportFailure::OtherEndpoint)
            client.closeIdleConnections(engine.address);
        onAnswer(answer);
    };
    callEngine(client, adapter.writeReportCall(engine), engine, timeouts, onResponse);
}

// An order and its answer bear no id that would tell the answer from another one. On a connection
// that has carried a report, a second copy of the report's answer would count as the order's, and
// the other way round. So an order has a connection of its own, which is closed after it.
void sendOrder(http::Client &client, const PlatformAdapter &adapter,
               const RegisteredEndpoint &engine, const WeightsOrder &order,
               EngineCallTimeouts timeouts, const OrderHandler &onAnswer)
{
    http::CallRequest request = adapter.writeOrder(engine, order);
    request.reuse = http::Reuse::Never;
    const auto onResponse = [&client, &adapter, to = engine.address, onAnswer](
                                const http::Response *response, const http::CallFailure &failure) {
        client.closeIdleConnections(to);
        if (response)
            return onAnswer(adapter.readOrderAnswer(*response), true);
        onAnswer(failure.mayHaveBeenSent ? OrderAnswer::Unknown : OrderAnswer::Conflict, false);
    };
    callEngine(client, std::move(request), engine, timeouts, onResponse);
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
