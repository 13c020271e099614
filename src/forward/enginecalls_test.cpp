#include "forward/enginecalls.h"
#include "forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

/// An engine that answers reports and orders, and a client that calls it.
struct CalledEngine
{
    http::Loop loop;
    http::Client client{this->loop};
    TestEndpoint engine{this->loop, "engine", 18161};
    OrderAnswer lastAnswer = OrderAnswer::Unknown;

    CalledEngine()
    {
        this->engine.onRequest = [](const http::ExchangePtr &exchange) {
            if (exchange->request().path == "/v1/order")
                return exchange->respond({202, {}, ""});
            exchange->respond({200, {}, R"({"seq": 1, "models": []})"});
        };
    }

    void report()
    {
        requestReport(this->client, platform::adapter(), this->engine.entry("models", 1), {},
                      [this](const auto &) { this->loop.stop(); });
        this->loop.runFor(MaxTestTime);
    }

    void order()
    {
        sendOrder(this->client, platform::adapter(), this->engine.entry("models", 1),
                  {Model, 2, "node", 1, 1}, {}, [this](OrderAnswer answer, bool) {
                      this->lastAnswer = answer;
                      this->loop.stop();
                  });
        this->loop.runFor(MaxTestTime);
    }
};

} // namespace

// Guards against a second copy of a report's answer that counts as the answer to an order.
Test(enginecalls, an_order_uses_no_connection_that_has_carried_another_call)
{
    CalledEngine called;
    called.report();
    called.report();
    cr_assert(called.client.connectionsTo(called.engine.address) == 1U);
    for (std::size_t orders = 1; orders <= 3; ++orders) {
        called.order();
        cr_assert(called.lastAnswer == OrderAnswer::Accepted);
        cr_assert(called.client.connectionsTo(called.engine.address) == 1U + orders);
    }
}
