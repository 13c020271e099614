#include "forward/forwarderfixture.h"
#include "forward/rawendpoint.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace lavenderhall;

namespace {

constexpr std::string_view IdMark = "ID"; ///< stands for the request's id in a script

/// The answers to the attempts in their order, whichever endpoint receives them.
struct Script
{
    std::vector<std::string> answers; ///< raw bytes; the last one is repeated
    std::size_t attempts = 0;
};

void answerFrom(Script &script, const RawEndpoint::ConnectionPtr &connection)
{
    std::string bytes = script.answers.at(std::min(script.attempts, script.answers.size() - 1));
    ++script.attempts;
    for (std::size_t at = bytes.find(IdMark); at != std::string::npos; at = bytes.find(IdMark))
        bytes.replace(at, IdMark.size(), connection->requestId());
    connection->socket->write(std::move(bytes));
}

/// A forwarder in front of two endpoints that follow one script.
struct RawFixture : Fixture
{
    Script script;
    RawEndpoint rawFirst{this->loop, Address{TestHost, 18154}, this->answering()};
    RawEndpoint rawSecond{this->loop, Address{TestHost, 18155}, this->answering()};

    explicit RawFixture(std::vector<std::string> answers)
    {
        this->script.answers = std::move(answers);
        for (const auto &[endpoint, id] :
             {std::pair(&this->rawFirst, "raw1"), std::pair(&this->rawSecond, "raw2")})
            this->selector.onChange(
                {EndpointChange::Kind::Joined, endpoint->entry(id, "desk", Zone)});
    }

    RawEndpoint::Handler answering()
    {
        return [this](const RawEndpoint::ConnectionPtr &to) { answerFrom(this->script, to); };
    }
};

const std::string Sealed = "Request-Id: ID\r\nResponse-Seal: seal\r\n";
const std::string GoodAnswer = "HTTP/1.1 200 OK\r\n" + Sealed + "Content-Length: 4\r\n\r\ndone";

/// Checks that a request that runs once at most fails at once with \a answer.
void expectFailure(const std::string &answer)
{
    RawFixture fixture({answer});
    const http::SyncResult result = fixture.call("book");
    cr_expect(result.ok && result.response.status == 502, "%s: status %d", answer.c_str(),
              result.response.status);
    cr_expect(result.response.body.find("odd") == std::string::npos);
    cr_expect(http::findHeader(result.response.headers, "response-seal").empty());
    cr_expect(fixture.script.attempts == 1U, "%s", answer.c_str());
}

/// Checks that a request that may run again gets the answer of the other endpoint after \a answer.
void expectReplacement(const std::string &answer)
{
    RawFixture fixture({answer, GoodAnswer});
    const http::SyncResult result = fixture.call("read");
    cr_expect(result.ok && result.response.status == 200, "%s: status %d", answer.c_str(),
              result.response.status);
    cr_expect(result.response.body == "done", "%s", answer.c_str());
    cr_expect(fixture.script.attempts == 2U, "%s", answer.c_str());
}

/// Checks that \a answer is passed on to no caller.
void expectDiscarded(const std::string &answer)
{
    expectFailure(answer);
    expectReplacement(answer);
}

} // namespace

// What callers saw: nothing until their time was over, or the status itself.
Test(oddanswers, an_answer_with_a_status_out_of_range_is_none)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        const std::string head = "HTTP/1.1 " + status + " Odd\r\n" + Sealed;
        expectDiscarded(head + "Content-Length: 3\r\n\r\nodd");
        expectDiscarded(head + "Content-Length: 0\r\n\r\n");
        expectDiscarded(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n");
        expectDiscarded(head + "\r\nodd");
    }
}

// What callers saw: the second answer, as the first one counted as interim.
Test(oddanswers, nothing_behind_a_status_out_of_range_is_an_answer)
{
    for (const std::string status : {"000", "042", "099"})
        expectDiscarded("HTTP/1.1 " + status
                        + " Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + Sealed
                        + "Content-Length: 3\r\n\r\nodd");
}

// Guards against a line that caller and router read differently, and so against another body.
Test(oddanswers, an_answer_with_an_odd_name_of_a_header_is_none)
{
    const std::vector<std::string> names{
        "Odd Name", "Odd\tName", "Odd\x01Name",          "Odd\x7FName",   "Odd\x80Name",
        "Odd ",     "Odd\t",     std::string("O\0d", 3), " Odd",          "",
        "Odd(",     "Odd\rName", "Content-Length\x0B",   "Content Length"};
    for (const std::string &name : names) {
        const std::string line = name + ": 1\r\n";
        expectDiscarded("HTTP/1.1 200 OK\r\n" + Sealed + line + "Content-Length: 3\r\n\r\nodd");
        expectDiscarded("HTTP/1.1 200 OK\r\n" + line + Sealed + "Content-Length: 3\r\n\r\nodd");
        expectDiscarded("HTTP/1.1 200 OK\r\n" + Sealed
                        + "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n" + line + "\r\n");
    }
}

// Status codes that the router doesn't know are the endpoint's own all the same.
Test(oddanswers, unusual_statuses_are_passed_on)
{
    for (const std::string status : {"299", "404", "418", "499", "599"}) {
        RawFixture fixture(
            {"HTTP/1.1 " + status + " Odd\r\n" + Sealed + "Content-Length: 3\r\n\r\nodd"});
        const http::SyncResult result = fixture.call("book");
        cr_expect(std::to_string(result.response.status) == status);
        cr_expect(result.response.body == "odd");
    }
}
