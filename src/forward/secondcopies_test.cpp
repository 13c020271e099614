#include "forwarderfixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <map>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

/// How an endpoint states that it has not run a request.
struct Refusal
{
    int status = 503;
    bool isMarked = true; ///< has the header that says so; status 421 says it by itself
    std::string body;

    bool operator==(const Refusal &) const = default;
};

const std::vector<Refusal> Refusals{
    {503, true, ""}, {503, true, "full"},        {429, true, ""},
    {421, true, ""}, {421, false, "other here"}, {400, true, "no id"},
};

http::Response refusalTo(const std::string &requestId, const Refusal &refusal)
{
    http::Response response{refusal.status, {{"request-id", requestId}}, refusal.body};
    if (refusal.isMarked)
        response.headers.push_back({"not-executed", "1"});
    return response;
}

std::string requestIdOf(const http::ExchangePtr &exchange)
{
    return std::string(http::findHeader(exchange->request().headers, "request-id"));
}

/// Lets an endpoint send some of its answers twice: the second copy comes in the place of the
/// answer to a later request, which it runs all the same.
class CopyingEndpoint
{
public:
    CopyingEndpoint(TestEndpoint &endpoint, std::uint64_t seed, std::map<std::string, int> &runs)
        : random(seed)
        , runs(runs)
    {
        endpoint.onRequest = [this](const http::ExchangePtr &exchange) { this->answer(exchange); };
    }

private:
    struct Copy
    {
        unsigned requestsUntil = 0; ///< requests that still get their own answers before it
        http::Response response;
    };

    void answer(const http::ExchangePtr &exchange)
    {
        const std::string id = requestIdOf(exchange);
        if (!this->copies.empty() && this->copies.front().requestsUntil-- == 0) {
            ++this->runs[id];
            exchange->respond(this->copies.front().response);
            this->copies.pop_front();
            return;
        }
        const http::Response response = this->ownAnswer(exchange, id);
        if (this->random(2) == 0)
            this->copies.push_back({this->random(3), response});
        exchange->respond(response);
    }

    http::Response ownAnswer(const http::ExchangePtr &exchange, const std::string &id)
    {
        if (this->random(2) == 0)
            return refusalTo(id, Refusals.at(this->random(static_cast<unsigned>(Refusals.size()))));
        ++this->runs[id];
        http::Headers headers = sealedHeaders(exchange);
        if (http::findHeader(exchange->request().headers, "model").empty())
            return {200, headers, "done " + id};
        headers.push_back({"content-type", "text/event-stream"});
        return {200, headers, "id: 1\ndata: done " + id + "\n\n"};
    }

    pcg32 random;
    std::map<std::string, int> &runs;
    std::deque<Copy> copies;
};

/// Sends requests on both routes of a service whose endpoints send answers twice, and checks what
/// their callers are told.
void playCopies(const std::string &service, const std::vector<std::string> &routes,
                const std::string &singleRunRoute, std::uint64_t seed)
{
    constexpr int RequestCount = 40;
    Fixture fixture;
    std::map<std::string, int> runs;
    const CopyingEndpoint first(fixture.first, seed, runs);
    const CopyingEndpoint second(fixture.second, seed + 1, runs);
    fixture.join(fixture.first, service);
    fixture.join(fixture.second, service);
    for (int count = 0; count < RequestCount; ++count) {
        const std::string &route = routes.at(static_cast<std::size_t>(count) % routes.size());
        const http::Response response = fixture.call(route).response;
        const std::string id = fixture.lastRequestId();
        const int ran = runs.contains(id) ? runs.at(id) : 0;
        cr_assert(route != singleRunRoute || ran <= 1, "seed %lu: %s ran %d times", seed,
                  id.c_str(), ran);
        cr_assert(not(route == singleRunRoute && ran > 0 && isNotRunPromise(response.status)),
                  "seed %lu: %s ran and was answered %d", seed, id.c_str(), response.status);
        cr_assert(response.status != 200 || response.body.find("done " + id) != std::string::npos,
                  "seed %lu: %s got %s", seed, id.c_str(), response.body.c_str());
    }
}

} // namespace

// Guards against a request that runs twice, or whose caller is told that it has not run, because
// the second copy of the refusal of another request came where its answer was expected.
Test(secondcopies, a_refusal_of_another_request_does_not_count)
{
    for (const Refusal &refusal : Refusals) {
        Fixture fixture;
        int runs = 0;
        fixture.join(fixture.first, "desk");
        fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
            ++runs;
            exchange->respond(refusalTo("of-another", refusal));
        };
        cr_assert(not(isNotRunPromise(fixture.call("book").response.status)));
        cr_assert(runs == 1);
        cr_assert(fixture.replaced.empty());
    }
}

// Guards against the same where the copy bears no id, as the answer to a call that had none.
Test(secondcopies, a_refusal_without_an_id_does_not_count)
{
    for (const Refusal &refusal : Refusals) {
        Fixture fixture;
        fixture.join(fixture.first, "desk");
        fixture.first.onRequest = [&](const http::ExchangePtr &exchange) {
            http::Response response = refusalTo("", refusal);
            std::erase(response.headers, http::Header{"request-id", ""});
            exchange->respond(response);
        };
        cr_assert(not(isNotRunPromise(fixture.call("book").response.status)));
        cr_assert(fixture.first.exchanges.size() == 1U);
        cr_assert(fixture.replaced.empty());
    }
}

// Guards against requests on one connection that each get the answer to the one before, once an
// answer without a body has come twice.
Test(secondcopies, a_connection_on_which_an_answer_came_twice_is_closed)
{
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        exchange->respond(refusalTo("of-another", {503, true, ""}));
    };
    fixture.call("book");
    cr_assert(fixture.context.client.connectionsTo(fixture.first.address) == 0U);
}

// The same with any mix of answers, copies and delays, for plain requests.
Test(secondcopies, plain_requests_run_once_beside_answers_that_come_twice)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
        playCopies("desk", {"book", "read"}, "book", seed);
}

// The same for streams.
Test(secondcopies, streams_run_once_beside_answers_that_come_twice)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
        playCopies("models", {"once", "stream"}, "once", seed);
}
