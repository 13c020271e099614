#include "http/carriedids.h"
#include "http/client.h"
#include "http/rawstream.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string>
#include <uv.h>
#include <vector>

/// A connection carries each id of a request once, so that a second copy of an answer is never
/// taken for the answer to a later request.
using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

/// A client and a server that answers every request at once, and counts its connections.
struct Fixture
{
    Loop loop;
    Client client{loop};
    RawListener listener;
    std::vector<RawStream> streams;

    void turn()
    {
        uv_run(this->loop.handle(), UV_RUN_NOWAIT);
        while (auto stream = this->listener.accept())
            this->streams.push_back(std::move(*stream));
        for (RawStream &stream : this->streams)
            this->answer(stream);
    }

    /// Sends a request under \a id and returns the connection that it used.
    UsedConnection call(const std::string &id)
    {
        constexpr int MaxTurns = 1000;
        CallRequest request;
        request.to = this->listener.address;
        request.requestId = id;
        bool isComplete = false;
        CallHandlers handlers;
        handlers.onEnd = [&isComplete] { isComplete = true; };
        const CallPtr call = this->client.start(std::move(request), std::move(handlers));
        for (int count = 0; count < MaxTurns && !call->isFinished(); ++count)
            this->turn();
        cr_assert(isComplete);
        return call->usedConnection();
    }

private:
    static void answer(RawStream &stream)
    {
        stream.read();
        if (stream.received.find("\r\n\r\n") == std::string::npos)
            return;
        stream.received.clear();
        stream.write("HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n");
    }
};

} // namespace

Test(carriedids, an_id_is_remembered_until_no_more_fit)
{
    CarriedIds ids;
    int added = 0;
    for (; !ids.isFull(); ++added) {
        const std::string id = "r" + std::to_string(added);
        cr_assert(not(ids.contains(id)));
        ids.add(id);
    }
    for (int number = 0; number < added; ++number)
        cr_assert(ids.contains("r" + std::to_string(number)));
}

Test(carriedids, a_request_without_an_id_is_not_remembered)
{
    CarriedIds ids;
    ids.add("");
    cr_assert(not(ids.contains("")));
}

// Guards against an answer to a request that was taken for the answer to the same request when it
// came again.
Test(carriedids, a_request_takes_a_connection_twice)
{
    Fixture fixture;
    const UsedConnection first = fixture.call("x");
    cr_assert(fixture.call("y").number == first.number);
    const UsedConnection again = fixture.call("x");
    cr_assert(again.number != first.number);
    cr_assert(again.skippedConnections == 1);
}

// Guards against connections that pile up while a caller sends one request again and again.
Test(carriedids, a_request_that_comes_many_times_leaves_a_connection_each_time)
{
    Fixture fixture;
    constexpr int Sends = 20;
    for (int count = 0; count < Sends; ++count)
        fixture.call("x");
    cr_assert(fixture.client.connectionsTo(fixture.listener.address) == 1U);
}

// Guards against a connection that forgets ids, and against one that is not used again at all.
Test(carriedids, a_connection_that_remembers_no_more_ids_is_used_again)
{
    Fixture fixture;
    std::uint64_t lastNumber = 0;
    int uses = 0;
    for (int count = 0; lastNumber <= 1; ++count) {
        const UsedConnection used = fixture.call("r" + std::to_string(count));
        uses += used.number == 1 ? 1 : 0;
        lastNumber = used.number;
    }
    constexpr int MinUses = 100;
    cr_assert(uses >= MinUses);
    cr_assert(fixture.client.connectionsTo(fixture.listener.address) == 1U);
}
