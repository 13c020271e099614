#include "forwarderfixture.h"
#include "rawendpoint.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>

/// An endpoint may repeat a refusal later. The copy bears the id of the refused request, which its
/// caller may have sent again by then, on the same connection.
using namespace lavenderhall;

namespace {

constexpr int RefusalStatuses[] = {503, 429, 421};

std::string refusalBytes(int status, const std::string &id)
{
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\nNot-Executed: 1\r\nRequest-Id: " + id
        + "\r\nContent-Length: 4\r\n\r\nfull";
}

/// The answer to a request that has run; a stream of one event if \a isStream.
std::string answerBytes(const std::string &id, bool isStream)
{
    const std::string body = isStream ? "id: 1\ndata: done " + id + "\n\n" : "done " + id;
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + id
        + (isStream ? "\r\nContent-Type: text/event-stream" : "")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// How often each request has run, by its id.
using Runs = std::map<std::string, int>;

/// Refuses each request when it arrives for the first time and runs it when it comes again. On a
/// connection that has carried a refusal, its copy comes where the next answer is due.
class RefusingEndpoint
{
public:
    RefusingEndpoint(Fixture &fixture, std::uint16_t port, int status, bool isStream, Runs &runs)
        : status(status)
        , isStream(isStream)
        , runs(runs)
        , endpoint(
              fixture.loop, Address{TestHost, port},
              [this](const RawEndpoint::ConnectionPtr &connection) { this->answer(connection); })
    {
        const std::string service = isStream ? "models" : "desk";
        fixture.selector.onChange(
            {EndpointChange::Kind::Joined,
             this->endpoint.entry("raw" + std::to_string(port), service, Zone)});
    }

private:
    void answer(const RawEndpoint::ConnectionPtr &connection)
    {
        const std::string id = connection->requestId();
        std::string &copy = this->copies[connection.get()];
        if (this->arrived.insert(id).second) {
            copy = refusalBytes(this->status, id);
            connection->socket->write(copy);
            return;
        }
        ++this->runs[id];
        connection->socket->write(std::exchange(copy, {}) + answerBytes(id, this->isStream));
    }

    const int status;
    const bool isStream;
    Runs &runs;
    std::set<std::string> arrived; ///< ids of requests
    std::map<const RawEndpoint::Connection *, std::string> copies;
    RawEndpoint endpoint;
};

constexpr Millis AvoidanceTime{650}; ///< after which all endpoints that have refused are used again

/// Sends a request on \a route to \a endpointCount endpoints, which refuse it, and once more.
void playSentAgain(const std::string &route, int status, int endpointCount)
{
    Fixture fixture;
    Runs runs;
    const bool isStream = route == "once";
    std::deque<RefusingEndpoint> endpoints;
    for (int number = 0; number < endpointCount; ++number)
        endpoints.emplace_back(fixture, static_cast<std::uint16_t>(18135 + number), status,
                               isStream, runs);
    const http::SyncResult refused = fixture.call(route);
    cr_assert(isNotRunPromise(refused.response.status));
    cr_assert(runs.empty());
    fixture.loop.runFor(AvoidanceTime);
    const http::SyncResult served = fixture.callAgain(route);
    const int runCount = runs[fixture.lastRequestId()];
    cr_assert(runCount == 1, "%s ran %d times after refusals with %d", route.c_str(), runCount,
              status);
    cr_assert(served.response.status == 200, "%s ran and was answered %d", route.c_str(),
              served.response.status);
}

/// Runs or refuses requests at random. It repeats refusals in several ways, whatever is under way
/// on the connection then; the bytes of two answers are never mixed.
class RepeatingEndpoint
{
public:
    RepeatingEndpoint(Fixture &fixture, std::uint16_t port, bool isStream, std::uint64_t seed,
                      Runs &runs)
        : fixture(fixture)
        , isStream(isStream)
        , random(seed)
        , runs(runs)
        , endpoint(
              fixture.loop, Address{TestHost, port},
              [this](const RawEndpoint::ConnectionPtr &connection) { this->answer(connection); })
        , entry(this->endpoint.entry("raw" + std::to_string(port), isStream ? "models" : "desk",
                                     Zone))
    {
        fixture.selector.onChange({EndpointChange::Kind::Joined, this->entry});
    }

    /// Starts again as a new incarnation at the same address, so that it is not avoided.
    void renew()
    {
        ++this->entry.startMillis;
        this->fixture.selector.onChange({EndpointChange::Kind::Restarted, this->entry});
    }

private:
    /// A copy that waits until a number of further answers have been sent.
    struct HeldCopy
    {
        unsigned answersUntil = 0;
        std::string bytes;
    };

    struct State
    {
        std::deque<std::string> due; ///< bytes to write, in this order
        std::deque<HeldCopy> held;
        http::Timer writeTimer;
        std::vector<http::Timer> copyTimers;
    };

    void answer(const RawEndpoint::ConnectionPtr &connection)
    {
        State &state = this->states[connection.get()];
        this->releaseHeld(state);
        const std::string id = connection->requestId();
        if (this->random(2) == 0) {
            const int status = RefusalStatuses[this->random(std::size(RefusalStatuses))];
            const std::string bytes = refusalBytes(status, id);
            state.due.push_back(bytes);
            for (unsigned count = this->random(3); count > 0; --count)
                this->repeat(connection, bytes);
        } else {
            ++this->runs[id];
            state.due.push_back(answerBytes(id, this->isStream));
        }
        this->writeLater(connection);
    }

    void releaseHeld(State &state)
    {
        if (state.held.empty() || state.held.front().answersUntil-- > 0)
            return;
        state.due.push_back(std::move(state.held.front().bytes));
        state.held.pop_front();
    }

    /// Sends \a bytes once more: behind what is due, where a later answer is due, or after a time.
    void repeat(const RawEndpoint::ConnectionPtr &connection, const std::string &bytes)
    {
        constexpr unsigned MaxAnswersUntil = 3;
        constexpr unsigned MaxDelayMillis = 12;
        State &state = this->states[connection.get()];
        const unsigned manner = this->random(8);
        if (manner == 0)
            return state.due.push_back(bytes);
        if (manner < 5)
            return state.held.push_back({this->random(MaxAnswersUntil), bytes});
        state.copyTimers.push_back(this->fixture.loop.after(
            Millis(1 + this->random(MaxDelayMillis)), [this, connection, bytes] {
                this->states[connection.get()].due.push_back(bytes);
                this->writeLater(connection);
            }));
    }

    /// Writes what is due, piece by piece, after some milliseconds.
    void writeLater(const RawEndpoint::ConnectionPtr &connection)
    {
        constexpr unsigned MaxDelayMillis = 4;
        State &state = this->states[connection.get()];
        state.writeTimer
            = this->fixture.loop.after(Millis(this->random(MaxDelayMillis)), [this, connection] {
                  State &current = this->states[connection.get()];
                  if (current.due.empty() || connection->socket->isClosed())
                      return;
                  std::string &bytes = current.due.front();
                  const std::size_t size = this->random(3) == 0
                      ? 1 + this->random(static_cast<unsigned>(bytes.size()))
                      : bytes.size();
                  connection->socket->write(bytes.substr(0, size));
                  bytes.erase(0, size);
                  if (bytes.empty())
                      current.due.pop_front();
                  this->writeLater(connection);
              });
    }

    Fixture &fixture;
    const bool isStream;
    pcg32 random;
    Runs &runs;
    std::map<const RawEndpoint::Connection *, State> states;
    RawEndpoint endpoint;
    RegisteredEndpoint entry;
};

/// Sends requests on \a route, and those that are refused again, and returns how many were served
/// when they came again.
int playSchedule(const std::string &route, std::uint64_t seed)
{
    constexpr int RequestCount = 25;
    constexpr int MaxSends = 4;
    Fixture fixture;
    Runs runs;
    const bool isStream = route == "once";
    RepeatingEndpoint first(fixture, 18135, isStream, seed, runs);
    RepeatingEndpoint second(fixture, 18136, isStream, seed + 1000, runs);
    std::map<std::string, int> lastStatus;
    int servedAgain = 0;
    for (int count = 0; count < RequestCount; ++count) {
        http::SyncResult result = fixture.call(route);
        const std::string id = fixture.lastRequestId();
        for (int sends = 1; sends < MaxSends && isNotRunPromise(result.response.status); ++sends) {
            cr_assert(runs[id] == 0, "seed %lu: %s ran and was answered %d", seed, id.c_str(),
                      result.response.status);
            first.renew();
            second.renew();
            result = fixture.callAgain(route);
            servedAgain += result.response.status == 200 ? 1 : 0;
        }
        lastStatus[id] = result.response.status;
        cr_assert(result.response.status != 200
                      || result.response.body.find("done " + id) != std::string::npos,
                  "seed %lu: %s got %s", seed, id.c_str(), result.response.body.c_str());
    }
    for (const auto &[id, runCount] : runs) {
        cr_assert(runCount <= 1, "seed %lu: %s ran %d times", seed, id.c_str(), runCount);
        cr_assert(runCount == 0 || not(isNotRunPromise(lastStatus[id])),
                  "seed %lu: %s ran and was answered %d", seed, id.c_str(), lastStatus[id]);
    }
    return servedAgain;
}

} // namespace

// Guards against a second run, at another endpoint, of a request that its caller sends again: the
// copy of its refusal counted as the answer to it.
Test(repeatedrefusals, a_request_that_is_sent_again_runs_twice)
{
    for (const char *route : {"book", "once"}) {
        for (const int status : RefusalStatuses)
            playSentAgain(route, status, 2);
    }
}

// Guards against the same where no other endpoint is left: the caller was told "not run".
Test(repeatedrefusals, a_request_that_is_sent_again_runs_and_is_refused)
{
    for (const char *route : {"book", "once"}) {
        for (const int status : RefusalStatuses)
            playSentAgain(route, status, 1);
    }
}

// Guards against a request that runs twice after one arrival: the address of an endpoint belongs to
// its successor, to which the request is sent next, on the connection that carried the 421.
Test(repeatedrefusals, a_request_that_goes_to_the_successor_at_an_address_runs_twice)
{
    constexpr int RequestCount = 30;
    Fixture fixture;
    Runs runs;
    std::map<const RawEndpoint::Connection *, std::string> copies;
    std::vector<std::string> targets; ///< of one request, in the order of its attempts
    const RawEndpoint shared(fixture.loop, Address{TestHost, 18135}, [&](const auto &connection) {
        const std::string id = connection->requestId();
        std::string &copy = copies[connection.get()];
        targets.emplace_back(http::findHeader(connection->headers, "target-instance"));
        if (targets.back() != "successor") {
            copy = refusalBytes(421, id);
            connection->socket->write(copy);
            return;
        }
        ++runs[id];
        connection->socket->write(std::exchange(copy, {}) + answerBytes(id, false));
    });
    const RawEndpoint other(fixture.loop, Address{TestHost, 18136}, [&](const auto &connection) {
        ++runs[connection->requestId()];
        connection->socket->write(answerBytes(connection->requestId(), false));
    });
    for (const char *id : {"old", "successor"})
        fixture.selector.onChange({EndpointChange::Kind::Joined, shared.entry(id, "desk", Zone)});
    fixture.selector.onChange({EndpointChange::Kind::Joined, other.entry("third", "desk", Zone)});
    int sentToBoth = 0;
    for (int count = 0; count < RequestCount; ++count) {
        targets.clear();
        const http::SyncResult result = fixture.call("book");
        const std::string id = fixture.lastRequestId();
        sentToBoth += targets == std::vector<std::string>{"old", "successor"} ? 1 : 0;
        cr_assert(runs[id] == 1, "%s ran %d times", id.c_str(), runs[id]);
        cr_assert(result.response.status == 200, "%s ran and was answered %d", id.c_str(),
                  result.response.status);
    }
    cr_assert(sentToBoth > 0);
}

// The same with any mix of refusals, copies and delays.
Test(repeatedrefusals, requests_that_are_sent_again_run_twice_or_are_refused_at_random)
{
    int servedAgain = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        servedAgain += playSchedule("book", seed);
        servedAgain += playSchedule("once", seed);
    }
    cr_assert(servedAgain > 100, "%d", servedAgain);
}
