#include "client/command.h"
#include "http/client.h"

#include "base/json.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <tuple>

namespace lavenderhall {

namespace {

constexpr Millis AdminTimeout = std::chrono::seconds(3);

/// Answer of one instance, or the reason why there is none. An error is no answer of an instance.
struct AdminAnswer
{
    Address address;
    bool hasAnswered = false;
    std::string body; ///< without an answer, the reason
};

AdminAnswer answerOf(const Address &address, const http::SyncResult &result)
{
    if (!result.ok)
        return {address, false, result.failure.reason};
    const int status = result.response.status;
    if (status < 200 || status >= 300)
        return {address, false, "status " + std::to_string(status)};
    return {address, true, result.response.body};
}

/// Calls \a path at the admin addresses of all instances, one after the other.
Result<std::vector<AdminAnswer>> callAll(const Arguments &arguments, http::Method method,
                                         const std::string &path)
{
    if (arguments.adminAddresses.empty())
        return fail(ErrorCode::BadInput, "read command line",
                    "--admin IP:PORT,... is missing, and LAVENDERHALL_ADMINS is not set");
    std::vector<AdminAnswer> answers;
    for (const Address &address : arguments.adminAddresses) {
        http::CallRequest request;
        request.to = address;
        request.method = method;
        request.path = path;
        request.headTimeout = AdminTimeout;
        answers.push_back(answerOf(address, http::callAndWait(std::move(request))));
    }
    return answers;
}

bool haveAllAnswered(const std::vector<AdminAnswer> &answers)
{
    return std::all_of(answers.begin(), answers.end(),
                       [](const AdminAnswer &answer) { return answer.hasAnswered; });
}

void printStatusLine(const Json &status)
{
    const Json config = status.value("config", Json::object());
    std::cout << std::left << std::setw(16) << status.value("instance", "?") << std::setw(12)
              << status.value("region", "?") << std::setw(10) << status.value("state", "?")
              << "config " << std::setw(6) << config.value("version", 0) << "open " << std::setw(6)
              << status.value("open_requests", 0) << "store silent "
              << status.value("store", Json::object()).value("silent_ms", 0) << " ms\n";
    const std::string refused = config.value("refused", "");
    if (!refused.empty())
        std::cout << "    configuration refused: " << refused << "\n";
}

void printEndpoints(const Json &status)
{
    const Json endpoints = status.value("endpoints", Json::array());
    for (const Json &endpoint : endpoints) {
        std::cout << "    " << std::left << std::setw(20) << endpoint.value("name", "?")
                  << std::setw(9) << endpoint.value("kind", "?") << std::setw(11)
                  << endpoint.value("state", "?") << "in flight " << std::setw(5)
                  << endpoint.value("in_flight", 0);
        if (endpoint.contains("running"))
            std::cout << "running " << std::setw(5) << endpoint.value("running", 0) << "waiting "
                      << std::setw(5) << endpoint.value("waiting", 0) << "blocks "
                      << endpoint.value("cached_blocks", 0);
        std::cout << "\n";
    }
}

void printEvent(const Json &event)
{
    std::cout << "wall_ms=" << event.value("wall_ms", std::int64_t{0})
              << " counter=" << event.value("counter", 0)
              << " instance=" << event.value("instance", "") << " kind=" << event.value("kind", "");
    for (const char *name : {"request", "organisation"}) {
        if (event.contains(name))
            std::cout << " " << name << "=" << event.value(name, "");
    }
    const Json fields = event.value("fields", Json::object());
    for (const auto &[name, value] : fields.items())
        std::cout << " " << name << "=" << value.dump();
    std::cout << "\n";
}

} // namespace

Result<int> runStatus(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(answers, callAll(arguments, http::Method::Get, "/status"));
    Json statuses = Json::array();
    for (const AdminAnswer &answer : answers) {
        const Json status = readJson(answer.body);
        if (answer.hasAnswered && status.is_object())
            statuses.push_back(status);
        else
            statuses.push_back({{"instance", answer.address.toString()},
                                {"state", "unreachable"},
                                {"reason", answer.body}});
    }
    if (arguments.printsJson) {
        std::cout << statuses.dump() << std::endl;
        return haveAllAnswered(answers) ? ExitDone : ExitFailed;
    }
    for (const Json &status : statuses)
        printStatusLine(status);
    // The endpoints are printed once, as the first instance that has answered sees them.
    for (const Json &status : statuses) {
        if (!status.contains("endpoints"))
            continue;
        std::cout << "endpoints as " << status.value("instance", "?") << " sees them:\n";
        printEndpoints(status);
        break;
    }
    return haveAllAnswered(answers) ? ExitDone : ExitFailed;
}

Result<int> runDrain(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(answers, callAll(arguments, http::Method::Post, "/drain"));
    for (const AdminAnswer &answer : answers)
        std::cout << answer.address.toString() << ": "
                  << (answer.hasAnswered ? "draining" : "no answer: " + answer.body) << "\n";
    return haveAllAnswered(answers) ? ExitDone : ExitFailed;
}

Result<int> runTimeline(const Arguments &arguments)
{
    const std::string path = "/timeline?request=" + http::percentEncoded(arguments.requestId)
        + "&organisation=" + http::percentEncoded(arguments.organisation)
        + "&kind=" + http::percentEncoded(arguments.eventKind);
    BOOST_LEAF_AUTO(answers, callAll(arguments, http::Method::Get, path));
    std::vector<Json> events;
    for (const AdminAnswer &answer : answers) {
        if (!answer.hasAnswered) {
            std::cerr << answer.address.toString() << ": no answer: " << answer.body << "\n";
            continue;
        }
        std::istringstream lines(answer.body);
        for (std::string line; std::getline(lines, line);) {
            Json event = readJson(line);
            if (event.is_object())
                events.push_back(std::move(event));
        }
    }
    // The timestamps of the hybrid logical clocks give the events of all instances one order.
    const auto sortKey = [](const Json &event) {
        return std::tuple(event.value("wall_ms", std::int64_t{0}), event.value("counter", 0),
                          event.value("instance", ""));
    };
    std::sort(events.begin(), events.end(),
              [&](const Json &left, const Json &right) { return sortKey(left) < sortKey(right); });
    for (const Json &event : events) {
        if (arguments.printsJson)
            std::cout << event.dump() << "\n";
        else
            printEvent(event);
    }
    return haveAllAnswered(answers) ? ExitDone : ExitFailed;
}

} // namespace lavenderhall
