#include "client/command.h"
#include "http/server.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <thread>

using namespace lavenderhall;

namespace {

/// A server on a thread of its own that answers all requests with one status.
class OtherServer
{
public:
    OtherServer(const Address &listen, int status)
        : server(this->loop, listen, http::limitsWithMaxBody(1000),
                 [status](const http::ExchangePtr &exchange) {
                     exchange->respond({status, {}, "unknown path\n"});
                 })
        , thread([this] { this->loop.run(); })
    { }
    ~OtherServer()
    {
        this->loop.stop();
        this->thread.join();
    }
    OtherServer(const OtherServer &) = delete;
    OtherServer &operator=(const OtherServer &) = delete;

private:
    http::Loop loop;
    http::Server server;
    std::thread thread;
};

} // namespace

// Guards against an operator who is told that an instance drains, although something else has
// answered at its address.
Test(adminanswers, an_error_is_no_answer_of_an_instance)
{
    const Address address{"127.0.0.1", 18117};
    for (const int status : {404, 405, 503}) {
        const OtherServer other(address, status);
        Arguments arguments;
        arguments.adminAddresses = {address};
        for (const auto run : {runDrain, runStatus, runTimeline}) {
            const auto outcome = toOutcome([&] { return run(arguments); });
            cr_assert(std::get<int>(outcome) == ExitFailed, "%d", status);
        }
    }
}
