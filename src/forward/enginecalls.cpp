#include "forward/enginecalls.h"

#include "base/log.h"

namespace lavenderhall {

namespace {

std::variant<EngineReport, ReportFailure> readReport(const PlatformAdapter &adapter,
                                                     const RegisteredEndpoint &engine,
                                                     const http::Response &response)
{
    const auto read = attempt([&] { return adapter.readReport(response); });
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
                EngineCallTimes times, const http::WholeHandler &onAnswer)
{
    request.to = engine.address;
    request.headTimeout = times.answer;
    request.connectTimeout = times.connect;
    http::startWhole(client, std::move(request), onAnswer);
}

void askReport(http::Client &client, const PlatformAdapter &adapter,
               const RegisteredEndpoint &engine, EngineCallTimes times,
               const ReportHandler &onAnswer)
{
    const auto onResponse = [&adapter, engine, onAnswer](const http::Response *response,
                                                         const http::CallFailure &failure) {
        if (!response)
            return onAnswer(failure.maybeSent ? ReportFailure::NoAnswer
                                              : ReportFailure::NotReached);
        onAnswer(readReport(adapter, engine, *response));
    };
    callEngine(client, adapter.writeReportCall(engine), engine, times, onResponse);
}

void learnWeights(LoadBook &loads, const RegisteredEndpoint &engine, const EngineReport &report,
                  const EngineTelling &telling)
{
    const RegisteredEndpoint *known = loads.entryOf(engine.id);
    if (!known || report.isBusy)
        return;
    const auto before = known->weights;
    for (const auto &[model, version] : report.weights) {
        const auto listed = before.find(model);
        if (listed != before.end() && listed->second >= version)
            continue;
        loads.onWeightsLoaded(engine.id, model, version);
        if (!telling.weights)
            continue;
        auto notice = messageAbout<proto::WeightsNotice>(engine);
        notice.set_model(model);
        notice.set_version(version);
        telling.weights(notice);
    }
}

} // namespace lavenderhall
