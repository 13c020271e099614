#include "forwarderfixture.h"
#include "rawendpoint.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
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
    /// Bytes on a connection, which may end behind them.
    struct Sent
    {
        std::string bytes;
        bool isLast = false;

        bool operator==(const Sent &) const = default;
    };

    /// Returns what answers the request with the id.
    using Answerer = std::function<Sent(const std::string &id)>;

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
            Sent sent = this->answerer(connection->requestId());
            connection->socket->write(std::move(sent.bytes));
            if (sent.isLast)
                connection->socket->closeGracefully();
        };
    }

    Answerer answerer;
    int arrivals = 0;
    RawEndpoint third{this->loop, Address{TestHost, 18135}, this->answering()};
    RawEndpoint fourth{this->loop, Address{TestHost, 18136}, this->answering()};
};

/// Returns the bytes of the answer to the request with the id.
using OwnAnswer = std::function<std::string(const std::string &id)>;

/// Sends a request on \a route whose answer comes behind \a remnant. It runs wherever it arrives.
http::Response answerBehind(const std::string &remnant, const std::string &route,
                            const OwnAnswer &own, int &runs)
{
    JoinedFixture fixture(route == "book" ? "desk" : "models", [&](const std::string &id) {
        return JoinedFixture::Sent{remnant + own(id), false};
    });
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
void playBeginnings(const SentAnswer &extra, const std::string &route, const OwnAnswer &own)
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

/// What an endpoint has done with a request.
struct Run
{
    int count = 0;
    int status = 0; ///< of the answer
    std::string body;
};

/// Lets the endpoints of a service answer, refuse and spoil their answers at random. No byte of an
/// answer to a request that has run states anything else; what is spoilt is joined, cut, lacks
/// lines, or has them twice or in another order.
class SpoilingEndpoints
{
public:
    explicit SpoilingEndpoints(std::uint64_t seed)
        : random(seed)
    { }

    JoinedFixture::Sent answer(const std::string &id, bool isStream)
    {
        const std::string extra = this->earlier;
        const bool isRefused = this->random(3) == 0;
        const SentAnswer own = isRefused ? this->refusalOf(id) : this->runAnswer(id, isStream);
        this->earlier = this->spoilt(own).bytes();
        if (this->random(3) != 0)
            return {own.bytes(), false};
        // An answer that has lost its length ends with its connection.
        switch (this->random(5)) {
        case 0:
            return {extra.substr(0, this->random(static_cast<unsigned>(extra.size()) + 1))
                        + own.bytes(),
                    false};
        case 1:
            return {this->someLinesOf(extra) + own.bytes(), false};
        case 2:
            return {this->spoilt(own).bytes(), true};
        case 3:
            return {own.bytes().substr(0, this->random(static_cast<unsigned>(own.bytes().size()))),
                    true};
        default:
            return {this->withChangedByte(own), true};
        }
    }

    std::map<std::string, Run> runs; ///< by the id of the request

private:
    SentAnswer refusalOf(const std::string &id)
    {
        return this->random(3) == 0 ? misdirected(id) : refusal(id);
    }

    SentAnswer runAnswer(const std::string &id, bool isStream)
    {
        const int status = this->random(4) == 0 ? 500 : 200;
        SentAnswer own = isStream && status == 200 ? ownStream(id) : ownAnswer(status, id);
        Run &run = this->runs[id];
        ++run.count;
        run.status = status;
        run.body = own.body;
        return own;
    }

    /// Returns \a answer with its headers in another order, one of them twice or one left out.
    SentAnswer spoilt(SentAnswer answer)
    {
        std::shuffle(answer.headers.begin(), answer.headers.end(), this->random);
        const std::string first = answer.headers.front();
        if (this->random(2) == 0)
            answer.headers.push_back(first);
        else if (this->random(2) == 0)
            answer.headers.erase(answer.headers.begin());
        return answer;
    }

    /// Returns some lines of the head of \a bytes, mostly with the status line first, the last one
    /// with or without its end.
    std::string someLinesOf(const std::string &bytes)
    {
        std::vector<std::string> lines;
        const std::size_t headEnd = bytes.find("\r\n\r\n");
        for (std::size_t at = 0; headEnd != std::string::npos && at < headEnd + 2;) {
            const std::size_t end = bytes.find("\r\n", at) + 2;
            lines.push_back(bytes.substr(at, end - at));
            at = end;
        }
        if (lines.empty())
            return {};
        std::shuffle(lines.begin() + (this->random(8) == 0 ? 0 : 1), lines.end(), this->random);
        lines.resize(1 + this->random(static_cast<unsigned>(lines.size())));
        if (this->random(2) == 0)
            lines.back().resize(lines.back().size() - 1 - this->random(2));
        std::string text;
        for (const std::string &line : lines)
            text += line;
        return text;
    }

    /// Returns the bytes of \a answer with a byte of its headers changed, not of their values,
    /// whose truth is the endpoint's alone.
    std::string withChangedByte(SentAnswer answer)
    {
        std::string &header
            = answer.headers[this->random(static_cast<unsigned>(answer.headers.size()))];
        header[this->random(static_cast<unsigned>(header.find(':')) + 1)]
            = static_cast<char>(this->random(256));
        return answer.bytes();
    }

    pcg32 random;
    std::string earlier = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n"; ///< an answer given before
};

/// Returns what is wrong with the \a response to a request on a route that may run it once, if
/// \a isOnce; "" for nothing.
std::string faultOf(const http::SyncResult &result, const std::string &id, const Run &run,
                    bool isOnce)
{
    const http::Response &response = result.response;
    if (isOnce && run.count > 1)
        return "TWICE";
    if (!result.ok)
        return {};
    if (isOnce && run.count > 0 && isNotRunPromise(response.status))
        return "REFUSED";
    const std::string_view seal = http::findHeader(response.headers, "response-seal");
    if (response.status == 200 && (seal.empty() || response.body != run.body))
        return "MIXED or ORDER: body " + response.body;
    if (!seal.empty() && seal != "seal-" + id)
        return "MIXED: " + std::string(seal);
    if (!seal.empty() && run.count == 1 && response.status != run.status)
        return "MIXED: status " + std::to_string(response.status);
    return {};
}

void playSpoilt(std::uint64_t seed, const std::string &service,
                const std::vector<std::string> &routes)
{
    constexpr int RequestCount = 40;
    SpoilingEndpoints endpoints(seed);
    const bool isStream = service == "models";
    JoinedFixture fixture(service,
                          [&](const std::string &id) { return endpoints.answer(id, isStream); });
    for (int count = 0; count < RequestCount; ++count) {
        const std::string &route = routes[static_cast<std::size_t>(count) % routes.size()];
        const http::SyncResult result = fixture.call(route);
        const std::string id = fixture.lastRequestId();
        const std::string fault
            = faultOf(result, id, endpoints.runs[id], route == "book" || route == "once");
        cr_assert(fault.empty(), "seed %lu: %s on %s: %s", seed, id.c_str(), route.c_str(),
                  fault.c_str());
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
            return JoinedFixture::Sent{++answers == 1 ? own.bytes() : plainAnswer(id), false};
        });
        cr_assert(fixture.call("book").response.status == 200);
        cr_assert(answers == 2);
    }
}

// Guards against an instance that takes its endpoints for cut off, and has others serve its
// callers, because answers are not of one message.
Test(joinedanswers, endpoints_that_spoil_all_answers_are_in_reach)
{
    JoinedFixture fixture("desk", [](const std::string &id) {
        return JoinedFixture::Sent{"HTTP/1.1 503 X\r\nA: b" + plainAnswer(id), false};
    });
    for (const char *route : {"book", "read", "book", "read"})
        cr_assert(fixture.call(route).response.status == 502);
    cr_assert(not(fixture.context.reach.isCutOff("desk", 2, monoNow())));
}

// Guards against TWICE, REFUSED, MIXED and ORDER, whatever endpoints make of their answers.
Test(joinedanswers, plain_requests_run_once_beside_answers_that_are_spoilt_at_random)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed)
        playSpoilt(seed, "desk", {"book", "book", "read"});
}

// The same for streams.
Test(joinedanswers, streams_run_once_beside_answers_that_are_spoilt_at_random)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed)
        playSpoilt(seed, "models", {"once", "once", "stream"});
}
