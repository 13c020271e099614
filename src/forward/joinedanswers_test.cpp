#include "forwarderfixture.h"
#include "rawendpoint.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

/// An endpoint may send bytes behind a complete answer. The beginning of an extra answer waits on a
/// kept connection, and the next answer follows in the same bytes.
using namespace lavenderhall;

namespace {

/// The head of an answer, line by line and without line ends, and its body.
struct SentAnswer
{
    std::string statusLine;
    std::vector<std::string> headers;
    std::string body;

    std::string head() const
    {
        std::string text = this->statusLine + "\r\n";
        for (const std::string &header : this->headers)
            text += header + "\r\n";
        return text;
    }
    std::string bytes() const { return this->head() + "\r\n" + this->body; }
};

/// The refusal of the request with id \a id.
SentAnswer refusal(const std::string &id)
{
    return {"HTTP/1.1 503 Service Unavailable",
            {"Not-Executed: 1", "Request-Id: " + id, "Content-Length: 4"},
            "full"};
}

SentAnswer misdirected(const std::string &id)
{
    return {"HTTP/1.1 421 Misdirected Request",
            {"Instance-Id: i-7", "Request-Id: " + id, "Content-Length: 0"},
            ""};
}

/// The answer with \a status to the request with id \a id, which has run.
SentAnswer ownAnswer(int status, const std::string &id, bool isSealed = true)
{
    const std::string body = "done " + id;
    SentAnswer answer{"HTTP/1.1 " + std::to_string(status) + " OK",
                      {"Request-Id: " + id, "Content-Length: " + std::to_string(body.size())},
                      body};
    if (isSealed)
        answer.headers.push_back("Response-Seal: seal-" + id);
    return answer;
}

SentAnswer ownStream(const std::string &id)
{
    const std::string body = "id: 1\ndata: done " + id + "\n\n";
    return {"HTTP/1.1 200 OK",
            {"Content-Type: text/event-stream", "Request-Id: " + id, "Response-Seal: seal-" + id,
             "Content-Length: " + std::to_string(body.size())},
            body};
}

bool isNotRunPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Returns all orders of the header lines of \a answer.
std::vector<SentAnswer> inAllOrders(SentAnswer answer)
{
    std::vector<SentAnswer> orders;
    std::sort(answer.headers.begin(), answer.headers.end());
    do {
        orders.push_back(answer);
    } while (std::next_permutation(answer.headers.begin(), answer.headers.end()));
    return orders;
}

/// A forwarder in front of two endpoints that write bytes as a test decides.
struct JoinedFixture : Fixture
{
    /// Returns the bytes that answer the request with the id.
    using Answerer = std::function<std::string(const std::string &id)>;

    explicit JoinedFixture(const std::string &service, Answerer answerer)
        : answerer(std::move(answerer))
    {
        this->joinRaw(this->third, "third", service);
        this->joinRaw(this->fourth, "fourth", service);
    }

    void joinRaw(const RawEndpoint &endpoint, const std::string &id, const std::string &service)
    {
        this->selector.onChange({EndpointChange::Kind::Joined, endpoint.entry(id, service, Zone)});
    }

    RawEndpoint::Handler answering()
    {
        return [this](const RawEndpoint::ConnectionPtr &connection) {
            ++this->arrivals;
            connection->socket->write(this->answerer(connection->requestId()));
        };
    }

    Answerer answerer;
    int arrivals = 0;
    RawEndpoint third{this->loop, Address{TestHost, 18135}, this->answering()};
    RawEndpoint fourth{this->loop, Address{TestHost, 18136}, this->answering()};
};

/// Sends a request on \a route whose answer comes behind \a remnant. It runs wherever it arrives.
http::Response answerBehind(const std::string &remnant, const std::string &route,
                            const JoinedFixture::Answerer &own, int &runs)
{
    JoinedFixture fixture(route == "book" ? "desk" : "models",
                          [&](const std::string &id) { return remnant + own(id); });
    http::Response response = fixture.call(route).response;
    runs = fixture.arrivals;
    return response;
}

std::string plainAnswer(const std::string &id)
{
    return ownAnswer(200, id).bytes();
}

std::string unsealedFailure(const std::string &id)
{
    return ownAnswer(500, id, false).bytes();
}

/// Plays all beginnings of \a extra in front of the answer to a request on \a route.
void playBeginnings(const SentAnswer &extra, const std::string &route,
                    const JoinedFixture::Answerer &own)
{
    const std::string bytes = extra.bytes();
    for (std::size_t size = 1; size < bytes.size(); ++size) {
        int runs = 0;
        const http::Response response = answerBehind(bytes.substr(0, size), route, own, runs);
        cr_assert(runs == 1, "%s ran %d times behind %s", route.c_str(), runs,
                  bytes.substr(0, size).c_str());
        cr_assert(not(isNotRunPromise(response.status)), "%s ran and was answered %d behind %s",
                  route.c_str(), response.status, bytes.substr(0, size).c_str());
    }
}

} // namespace

// Guards against a request that runs twice, or whose caller is told that it has not run, because
// the beginning of a refusal came in front of its answer.
Test(joinedanswers, the_beginning_of_a_refusal_in_front_of_an_answer_states_nothing)
{
    for (const SentAnswer &extra : inAllOrders(refusal("of-another"))) {
        playBeginnings(extra, "book", plainAnswer);
        playBeginnings(extra, "book", unsealedFailure);
    }
}

// The same for status 421, which states by itself that a request has not run.
Test(joinedanswers, the_beginning_of_a_misdirected_answer_states_nothing)
{
    for (const SentAnswer &extra : inAllOrders(misdirected("of-another"))) {
        playBeginnings(extra, "book", plainAnswer);
        playBeginnings(extra, "book", unsealedFailure);
    }
}

// The same for a stream that must run once.
Test(joinedanswers, the_beginning_of_a_refusal_in_front_of_a_stream_states_nothing)
{
    for (const SentAnswer &extra : inAllOrders(refusal("of-another")))
        playBeginnings(extra, "once", [](const std::string &id) { return ownStream(id).bytes(); });
}

// Guards against an answer under the seal of an endpoint that gave another status.
Test(joinedanswers, a_beginning_in_front_of_an_answer_does_not_change_its_status)
{
    for (const int extraStatus : {200, 404, 500}) {
        for (const int status : {200, 500}) {
            const std::string bytes = ownAnswer(extraStatus, "of-another").bytes();
            for (std::size_t size = 1; size < bytes.size(); ++size) {
                int runs = 0;
                const http::Response response = answerBehind(
                    bytes.substr(0, size), "book",
                    [&](const std::string &id) { return ownAnswer(status, id).bytes(); }, runs);
                const bool isSealed = !http::findHeader(response.headers, "response-seal").empty();
                const bool isMixed = isSealed && response.status != status;
                cr_assert(not(isMixed), "%d under the seal of %d, behind %s", response.status,
                          status, bytes.substr(0, size).c_str());
            }
        }
    }
}

// The endpoint's own refusal, whole and alone, still lets the request go to the other endpoint.
Test(joinedanswers, a_whole_refusal_states_that_the_request_has_not_run)
{
    for (const SentAnswer &form : inAllOrders(refusal("ID"))) {
        int answers = 0;
        JoinedFixture fixture("desk", [&](const std::string &id) {
            SentAnswer own = form;
            std::replace(own.headers.begin(), own.headers.end(), std::string("Request-Id: ID"),
                         "Request-Id: " + id);
            return ++answers == 1 ? own.bytes() : plainAnswer(id);
        });
        cr_assert(fixture.call("book").response.status == 200);
        cr_assert(answers == 2);
    }
}
