#include "http/parser.h"
#include "http/rawstream.h"
#include "http/server.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <pcg_random.hpp>
#include <uv.h>

/// Which requests a server passes to its handler, and which request an answer belongs to. A request
/// that the server refuses, or that follows the last answer of its connection, never runs.
using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

const Address ServerAddress{ownHost(), 18178};
constexpr std::size_t MaxBody = 1000;

/// A server that answers "/now..." at once and keeps the other requests, and one caller.
struct Fixture
{
    Loop loop;
    std::vector<std::string> handled;
    std::vector<ExchangePtr> kept;
    std::string quickBody = "done";
    Server server{this->loop, ServerAddress, limitsWithMaxBody(MaxBody),
                  [this](const ExchangePtr &exchange) {
                      this->handled.push_back(exchange->request().path);
                      if (exchange->request().path == "/now")
                          exchange->respond({200, {}, this->quickBody});
                      else
                          this->kept.push_back(exchange);
                  }};
    RawStream caller = RawStream::connect(ServerAddress);

    void settle()
    {
        constexpr int Turns = 10;
        for (int count = 0; count < Turns; ++count) {
            uv_run(this->loop.handle(), UV_RUN_NOWAIT);
            this->caller.read();
        }
    }
};

std::string get(const std::string &path, const std::string &header = {})
{
    return "GET " + path + " HTTP/1.1\r\n" + header + "\r\n";
}

std::string post(const std::string &path, std::size_t bodyBytes)
{
    return "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'x');
}

std::size_t answerCount(const std::string &received)
{
    constexpr std::string_view Start = "HTTP/1.1 ";
    std::size_t count = 0;
    for (std::size_t at = received.find(Start); at != std::string::npos;
         at = received.find(Start, at + 1))
        ++count;
    return count;
}

} // namespace

// The caller sends both requests at once, and the answer to the first one closes the connection.
// The second one used to run, its answer was lost, and the caller took it for unread.
Test(requestowners, a_request_behind_the_last_answer_of_its_connection_does_not_run)
{
    Fixture fixture;
    fixture.caller.write(get("/now", "Connection: close\r\n") + get("/later"));
    fixture.settle();
    cr_assert(fixture.handled == std::vector<std::string>{"/now"}, "%zu", fixture.handled.size());
    cr_assert(answerCount(fixture.caller.received) == 1U);
    cr_assert(fixture.server.openExchanges() == 0U);
}

Test(requestowners, a_request_behind_a_refused_one_does_not_run)
{
    const std::string refused[]
        = {post("/large", MaxBody + 1), post("/unaffordable", 900), "no request\r\n\r\n",
           get("/long", "X-Extra: " + std::string(70'000, 'x') + "\r\n")};
    for (const std::string &request : refused) {
        for (const bool isSecond : {false, true}) {
            Fixture fixture;
            fixture.server.setMemoryBudget(std::make_shared<MemoryBudget>(500));
            const std::string sent = (isSecond ? get("/now") : "") + request + get("/later");
            cr_assert(fixture.caller.write(sent) == sent.size());
            fixture.settle();
            cr_assert(fixture.handled.size() == (isSecond ? 1U : 0U), "%s handled after %.10s",
                      fixture.handled.back().c_str(), request.c_str());
            cr_assert(answerCount(fixture.caller.received) == (isSecond ? 2U : 1U), "%s",
                      fixture.caller.received.c_str());
        }
    }
}

// Guards against requests that a server which closes has received and drops without an answer: the
// close is announced by the answer to the last of them.
Test(requestowners, requests_that_have_arrived_when_a_server_closes_are_answered)
{
    Fixture fixture;
    fixture.server.closeAfterAnswers();
    fixture.caller.write(get("/now") + get("/now") + get("/now"));
    fixture.settle();
    const std::string &received = fixture.caller.received;
    cr_assert(fixture.handled.size() == 3U);
    cr_assert(answerCount(received) == 3U);
    cr_assert(received.find("connection: close") > received.rfind("HTTP/1.1 "), "%s",
              received.c_str());
}

Test(requestowners, a_request_behind_the_last_answer_of_a_server_that_closes_does_not_run)
{
    Fixture fixture;
    fixture.server.closeAfterAnswers();
    fixture.caller.write(get("/kept"));
    fixture.settle();
    fixture.kept.front()->begin(200, {});
    fixture.caller.write(get("/later"));
    fixture.settle();
    fixture.kept.front()->end();
    fixture.settle();
    cr_assert(fixture.handled.size() == 1U);
    cr_assert(answerCount(fixture.caller.received) == 1U);
}

// The answer to the second request can't be written any more, and the failure of that must not cut
// the rest of the first one. It was cut if a few bytes of it were left, hence the many sizes.
Test(requestowners, the_last_answer_of_a_connection_is_not_cut_by_a_request_behind_it)
{
    constexpr std::size_t MaxBytes = 8U << 20U;
    constexpr std::size_t Step = 40U << 10U;
    for (std::size_t size = Step; size < MaxBytes; size += Step) {
        Fixture fixture;
        fixture.quickBody.assign(size, 'x');
        fixture.caller.write(get("/now", "Connection: close\r\n") + get("/now"));
        for (int count = 0; count < 4; ++count)
            uv_run(fixture.loop.handle(), UV_RUN_NOWAIT);
        for (int count = 0; count < 1000 && fixture.caller.received.size() < size; ++count)
            fixture.settle();
        cr_assert(fixture.caller.received.size() > size, "%zu of %zu",
                  fixture.caller.received.size(), size);
    }
}

namespace {

/// A caller of a schedule, with all its requests and how far they have been written.
struct Caller
{
    RawStream stream = RawStream::connect(ServerAddress);
    std::vector<std::string> requests; ///< ids
    std::string unsent;
};

/// One answer that a caller has received.
struct Received
{
    std::string id; ///< of the request that the handler answered; empty if the server refused it
    bool isLast = false;
};

/// Returns the complete answers in \a text.
std::vector<Received> answersIn(std::string_view text)
{
    std::vector<Received> answers;
    Parser parser(
        MessageKind::Response,
        {[&answers](const MessageHead &head) {
             answers.push_back({std::string(findHeader(head.headers, "x-id")), !head.isKeepAlive});
             return false;
         },
         {}});
    bool isComplete = true;
    while (!text.empty()) {
        const ParseStep step = parser.feed(text);
        isComplete = step.state == ParseState::Complete;
        if (!isComplete)
            break;
        text.remove_prefix(step.consumed);
    }
    if (!isComplete && !answers.empty())
        answers.pop_back();
    return answers;
}

/// Random callers that pipeline proper, too large, unaffordable and malformed requests in pieces of
/// any size and leave at any point, and a handler that answers at once, late, in parts or never.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random(seed)
        , server(this->loop, ServerAddress, this->limits(),
                 [this](const ExchangePtr &exchange) { this->onRequest(exchange); })
    {
        constexpr std::size_t Budget = 1500;
        this->server.setMemoryBudget(std::make_shared<MemoryBudget>(Budget));
        this->server.setRefusal([](int status, std::string_view, const Request &) {
            return Response{status, {{"x-refused", "1"}}, "refused"};
        });
    }

    /// Returns what has gone wrong, or an empty string.
    std::string play()
    {
        constexpr int Steps = 80;
        constexpr int LastTurns = 20;
        for (int step = 0; step < Steps; ++step)
            this->step();
        for (int count = 0; count < LastTurns; ++count)
            this->turn();
        for (const Caller &caller : this->callers) {
            std::string fault = this->faultOf(caller);
            if (!fault.empty())
                return fault;
        }
        return {};
    }

    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unhandled = 0; ///< requests behind the last answer of their connection

private:
    ServerLimits limits()
    {
        ServerLimits made = limitsWithMaxBody(MaxBody);
        if (this->random(2) == 0)
            made.maxConnections = 2;
        if (this->random(3) == 0)
            made.requestTimeout = Millis(1);
        return made;
    }

    void turn()
    {
        uv_run(this->loop.handle(), UV_RUN_NOWAIT);
        for (Caller &caller : this->callers)
            caller.stream.read();
    }

    void step()
    {
        constexpr unsigned Choices = 64;
        constexpr std::size_t MaxCallers = 4;
        const unsigned choice = this->random(Choices);
        if (choice < 4 && this->callers.size() < MaxCallers)
            return this->addCaller();
        if (choice < 24)
            return this->turn();
        if (choice == 24 && this->random(4) == 0)
            return this->server.closeAfterAnswers();
        if (choice == 25)
            return this->server.closeIdleConnections();
        if (choice == 26)
            return this->loop.runFor(Millis(1));
        if (choice < 38)
            return this->answerKept();
        if (this->callers.empty())
            return;
        Caller &caller = this->callers[this->random(static_cast<unsigned>(this->callers.size()))];
        if (choice < 61)
            return this->writePiece(caller);
        if (choice == 61 && this->random(4) == 0)
            return caller.stream.endWriting();
        if (choice == 62 && this->random(4) == 0)
            return caller.stream.close();
        if (choice == 63 && this->random(4) == 0)
            return caller.stream.reset();
    }

    void addCaller()
    {
        constexpr unsigned MaxRequests = 6;
        Caller caller;
        const unsigned count = 1 + this->random(MaxRequests);
        for (unsigned number = 0; number < count; ++number) {
            const std::string id = std::to_string(this->requestCount++);
            caller.requests.push_back(id);
            caller.unsent += this->request(id);
        }
        this->callers.push_back(std::move(caller));
    }

    std::string request(const std::string &id)
    {
        const std::string name = " /" + id;
        const std::string last = this->random(10) == 0 ? "Connection: close\r\n" : "";
        switch (this->random(10)) {
        case 0:
            return "POST" + name + " HTTP/1.1\r\n" + last
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        case 1:
            return post("/" + id, MaxBody + 1);
        case 2:
            return this->random(2) == 0 ? "no request\r\n\r\n"
                                        : get("/" + id, "A: " + std::string(70'000, 'x') + "\r\n");
        case 3:
        case 4:
            return post("/" + id, 1 + this->random(MaxBody));
        default:
            return get("/" + id, last);
        }
    }

    void writePiece(Caller &caller)
    {
        constexpr unsigned LongestPiece = 40;
        const std::size_t size
            = this->random(2) == 0 ? caller.unsent.size() : 1 + this->random(LongestPiece);
        caller.unsent.erase(0, caller.stream.write(caller.unsent.substr(0, size)));
    }

    void onRequest(const ExchangePtr &exchange)
    {
        ++this->handled[exchange->request().path.substr(1)];
        if (this->random(2) == 0)
            return this->answer(exchange);
        this->kept.push_back(exchange);
    }

    void answerKept()
    {
        if (this->kept.empty())
            return;
        const auto position = this->random(static_cast<unsigned>(this->kept.size()));
        const ExchangePtr exchange = this->kept[position];
        this->answer(exchange);
        if (this->random(4) > 0) // otherwise it is answered once more
            this->kept.erase(this->kept.begin() + position);
    }

    void answer(const ExchangePtr &exchange)
    {
        Headers headers{{"x-id", exchange->request().path.substr(1)}};
        if (this->random(8) == 0)
            headers.push_back({"connection", "close"});
        switch (this->random(6)) {
        case 0:
            return exchange->abort();
        case 1:
            exchange->begin(200, headers);
            exchange->write("part");
            return;
        case 2:
            exchange->begin(200, headers);
            exchange->write("part");
            return exchange->end();
        default:
            return exchange->respond({this->random(3) == 0 ? 503 : 200, headers, "whole"});
        }
    }

    bool isHandled(const std::string &id) const { return this->handled.contains(id); }

    std::string faultOf(const Caller &caller)
    {
        for (const std::string &id : caller.requests) {
            if (this->isHandled(id) && this->handled.at(id) > 1)
                return "request " + id + " was handled twice";
        }
        const std::vector<Received> answers = answersIn(caller.stream.received);
        if (answers.size() > caller.requests.size())
            return "more answers than requests";
        for (std::size_t number = 0; number < answers.size(); ++number) {
            const std::string &id = caller.requests[number];
            const Received &received = answers[number];
            if (received.id.empty() && this->isHandled(id))
                return "request " + id + " was refused, and handled";
            if (!received.id.empty() && received.id != id)
                return "request " + id + " got the answer to " + received.id;
            ++(received.id.empty() ? this->refused : this->answered);
            if (!received.isLast)
                continue;
            if (number + 1 != answers.size())
                return "an answer behind the last one, to request " + id;
            for (std::size_t next = number + 1; next < caller.requests.size(); ++next) {
                ++this->unhandled;
                if (this->isHandled(caller.requests[next]))
                    return "request " + caller.requests[next]
                        + " was handled behind the last answer";
            }
        }
        return {};
    }

    pcg32 random;
    Loop loop;
    Server server;
    std::vector<Caller> callers;
    std::vector<ExchangePtr> kept;
    std::map<std::string, int> handled; ///< calls of the handler, by the id of the request
    std::size_t requestCount = 0;
};

} // namespace

Test(requestowners, in_random_schedules_no_refused_or_closed_off_request_runs)
{
    constexpr std::uint64_t Schedules = 2000;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unhandled = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        Schedule schedule(seed);
        const std::string fault = schedule.play();
        cr_assert(fault.empty(), "seed %lu: %s", seed, fault.c_str());
        answered += schedule.answered;
        refused += schedule.refused;
        unhandled += schedule.unhandled;
    }
    cr_assert(answered > Schedules, "%zu", answered);
    cr_assert(refused > Schedules / 4, "%zu", refused);
    cr_assert(unhandled > Schedules / 4, "%zu", unhandled);
}

// Guards against a request that runs under another method than its caller's, and against the body
// of CONNECT that runs as the next request.
Test(requestowners, a_request_whose_method_is_not_known_does_not_run)
{
    const std::string inside = get("/inside");
    const std::string length = "Content-Length: " + std::to_string(inside.size()) + "\r\n\r\n";
    for (const std::string start :
         {"CONNECT h.example:80", "TRACE /now", "PROPFIND /now", "LINK /now"}) {
        Fixture fixture;
        fixture.caller.write(start + " HTTP/1.1\r\n" + length + inside);
        fixture.settle();
        cr_assert(fixture.handled.empty(), "%s: %s ran", start.c_str(),
                  fixture.handled.front().c_str());
        cr_assert(fixture.caller.received.starts_with("HTTP/1.1 501 "), "%s: %s", start.c_str(),
                  fixture.caller.received.c_str());
        cr_assert(answerCount(fixture.caller.received) == 1U);
    }
}

// Guards against a refusal that another instance can't tell from the answer to an earlier request,
// as it bears no id.
Test(requestowners, a_refusal_knows_the_headers_of_its_request)
{
    Fixture fixture;
    fixture.server.setRefusal([](int status, std::string_view, const Request &received) {
        return Response{
            status, {{"request-id", std::string(findHeader(received.headers, "request-id"))}}, ""};
    });
    fixture.caller.write("POST /large HTTP/1.1\r\nRequest-Id: r7\r\nContent-Length: 2000\r\n\r\n"
                         + std::string(2000, 'x'));
    fixture.settle();
    cr_assert(fixture.caller.received.find("request-id: r7") != std::string::npos, "%s",
              fixture.caller.received.c_str());
}
