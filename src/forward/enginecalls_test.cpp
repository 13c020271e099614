#include "forward/enginecalls.h"
#include "forwarderfixture.h"
#include "rawendpoint.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <string>
#include <utility>

using namespace lavenderhall;

namespace {

/// An engine that answers reports and orders, and a client that calls it.
struct CalledEngine
{
    http::Loop loop;
    http::Client client{this->loop};
    std::map<const RawEndpoint::Connection *, std::string> calls; ///< 'r' for a report, 'o' order
    OrderAnswer lastAnswer = OrderAnswer::Unknown;
    RawEndpoint engine{this->loop, Address{TestHost, 18161},
                       [this](const RawEndpoint::ConnectionPtr &to) { this->answer(to); }};

    void report()
    {
        requestReport(this->client, platform::adapter(), this->entry(), {},
                      [this](const auto &) { this->loop.stop(); });
        this->loop.runFor(MaxTestTime);
    }

    void order()
    {
        sendOrder(this->client, platform::adapter(), this->entry(), {Model, 2, "node", 1, 1}, {},
                  [this](OrderAnswer answer, bool) {
                      this->lastAnswer = answer;
                      this->loop.stop();
                  });
        this->loop.runFor(MaxTestTime);
    }

    std::size_t connectionsWith(const std::string &carried) const
    {
        std::size_t count = 0;
        for (const auto &[connection, carriedCalls] : this->calls)
            count += carriedCalls == carried ? 1U : 0U;
        return count;
    }

private:
    RegisteredEndpoint entry() const { return this->engine.entry("engine", "models", Zone); }

    void answer(const RawEndpoint::ConnectionPtr &connection)
    {
        // Only an order has a body.
        const bool isOrder = !http::findHeader(connection->headers, "content-type").empty();
        this->calls[connection.get()] += isOrder ? "o" : "r";
        const std::string body = isOrder ? "" : R"({"seq": 1, "models": []})";
        connection->socket->write(std::string("HTTP/1.1 ") + (isOrder ? "202" : "200")
                                  + " OK\r\nContent-Length: " + std::to_string(body.size())
                                  + "\r\n\r\n" + body);
    }
};

/// An endpoint at the address of one that has ended. It refuses the calls that name the ended one,
/// and repeats the refusal where the next answer on the connection is due.
class ReplacingEndpoint
{
public:
    ReplacingEndpoint(http::Loop &loop, std::uint16_t port)
        : endpoint(loop, Address{TestHost, port},
                   [this](const RawEndpoint::ConnectionPtr &to) { this->answer(to); })
    { }

    RegisteredEndpoint entry(const std::string &id) const
    {
        return this->endpoint.entry(id, "models", Zone);
    }

private:
    void answer(const RawEndpoint::ConnectionPtr &connection)
    {
        std::string &copy = this->copies[connection.get()];
        if (http::findHeader(connection->headers, "target-instance") != "current") {
            copy = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
            connection->socket->write(copy);
            return;
        }
        const std::string report = R"({"seq": 1, "models": []})";
        connection->socket->write(std::exchange(copy, {}) + "HTTP/1.1 200 OK\r\nContent-Length: "
                                  + std::to_string(report.size()) + "\r\n\r\n" + report);
    }

    std::map<const RawEndpoint::Connection *, std::string> copies;
    RawEndpoint endpoint;
};

/// Returns whether \a engine answers with a report.
bool isReported(http::Loop &loop, http::Client &client, const RegisteredEndpoint &engine)
{
    bool hasReport = false;
    requestReport(client, platform::adapter(), engine, {}, [&](const auto &answer) {
        hasReport = std::holds_alternative<EngineReport>(answer);
        loop.stop();
    });
    loop.runFor(MaxTestTime);
    return hasReport;
}

} // namespace

// Guards against a second copy of a report's answer that counts as the answer to an order, and of
// an order's that counts as the answer to a report or another order.
Test(enginecalls, an_order_shares_a_connection_with_another_call)
{
    CalledEngine called;
    called.report();
    called.report();
    cr_assert(called.connectionsWith("rr") == 1U);
    for (std::size_t orders = 1; orders <= 3; ++orders) {
        called.order();
        cr_assert(called.lastAnswer == OrderAnswer::Accepted);
        cr_assert(called.connectionsWith("o") == orders);
        called.report();
        cr_assert(called.connectionsWith("o") == orders);
    }
}

// Guards against a sound endpoint that is taken out because of the second copy of a refusal, by
// which it answered a report that its predecessor at the address was asked for.
Test(enginecalls, the_copy_of_a_refused_report_counts_as_the_answer_to_the_next_one)
{
    http::Loop loop;
    http::Client client{loop};
    const ReplacingEndpoint endpoint(loop, 18163);
    cr_assert(not(isReported(loop, client, endpoint.entry("ended"))));
    cr_assert(isReported(loop, client, endpoint.entry("current")));
}

// Guards against a sound endpoint that is taken out because of the second copy of the answer to an
// order.
Test(enginecalls, the_copy_of_a_refused_order_counts_as_the_answer_to_a_report)
{
    http::Loop loop;
    http::Client client{loop};
    const ReplacingEndpoint endpoint(loop, 18164);
    OrderAnswer ordered = OrderAnswer::Unknown;
    sendOrder(client, platform::adapter(), endpoint.entry("ended"), {Model, 2, "node", 1, 1}, {},
              [&](OrderAnswer answer, bool) {
                  ordered = answer;
                  loop.stop();
              });
    loop.runFor(MaxTestTime);
    cr_assert(ordered == OrderAnswer::OtherEndpoint);
    cr_assert(isReported(loop, client, endpoint.entry("current")));
}
