#pragma once

#include "base/json.h"
#include "http/server.h"

#include <map>
#include <string>
#include <vector>

/// Fake plain service, such as a ledger, which counts how often each request ran.
namespace lavenderhall::fakes {

/// Faults that a test can inject, also by POST /_faults.
struct ServiceFaults
{
    int cutAfterRun = 0; ///< number of next requests that run and whose connection is aborted
    int neverAnswer = 0; ///< number of next requests that run and are left without an answer
    Millis delay{0}; ///< of each answer
};

class Service
{
public:
    Service(http::Loop &loop, const Address &listen);

    ServiceFaults faults;

    /// Returns how often each request other than GET ran, by its body.
    const std::map<std::string, int> &runs() const { return this->runCounts; }
    /// Returns the paths, queries, bodies and headers of all requests, in which a test looks for
    /// texts that must not leave the router.
    const std::string &receivedText() const { return this->received; }

private:
    void serve(const http::ExchangePtr &exchange);
    void serveFaults(const http::ExchangePtr &exchange);
    void answer(const http::ExchangePtr &exchange);

    http::Loop &loop;
    std::map<std::string, int> runCounts;
    std::string received;
    std::vector<http::ExchangePtr> unanswered; ///< kept open by the fault neverAnswer
    std::map<http::Exchange *, http::Timer> delayTimers;
    http::Server server;
};

} // namespace lavenderhall::fakes
