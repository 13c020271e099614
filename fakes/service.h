#pragma once

#include "base/json.h"
#include "http/server.h"

#include <map>
#include <string>
#include <vector>

/// Stand-in for a plain service such as a ledger: counts how often each request ran.
namespace lavenderhall::fakes {

/// Faults that a test can switch on; also set by POST /_faults.
struct ServiceFaults
{
    int cutAfterRun = 0; ///< so many next requests run, and the connection is cut unanswered
    int neverAnswer = 0; ///< so many next requests run and get no answer
    Millis delay{0}; ///< before each answer
};

class Service
{
public:
    Service(http::Loop &loop, const Address &listen);

    ServiceFaults faults;

    /// Runs so far of each request, by its "x-request-key" header or, without one, its body.
    const std::map<std::string, int> &runs() const { return this->runCounts; }
    /// Everything received, to look for what must not be there.
    const std::string &receivedText() const { return this->received; }

private:
    void serve(const http::ExchangePtr &exchange);
    void serveFaults(const http::ExchangePtr &exchange);
    void answer(const http::ExchangePtr &exchange);

    http::Loop &loop;
    std::map<std::string, int> runCounts;
    std::string received;
    std::vector<http::ExchangePtr> held;
    std::map<http::Exchange *, http::Timer> delayed;
    http::Server server;
};

} // namespace lavenderhall::fakes
