#include "http/client.h"
#include "http/rawstream.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <uv.h>

/// Which call an answer counts for. An answer whose first byte arrived before the request was sent
/// answers no request of this connection that is still open.
using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

/// What a call has come to.
struct Outcome
{
    int ends = 0; ///< calls of onEnd and onFailed
    bool isComplete = false;
    bool hasEndedByClose = false;
    CallFailure failure;
    std::string answer; ///< its id
    std::string body;
};

/// A client and the other end of its connections, which a test plays step by step.
struct Fixture
{
    Loop loop;
    Client client{loop};
    RawListener listener;
    std::vector<RawStream> streams;

    void turn() { uv_run(this->loop.handle(), UV_RUN_NOWAIT); }
    /// As many turns as a call needs to connect, to send and to take an answer.
    void settle()
    {
        constexpr int Turns = 10;
        for (int count = 0; count < Turns; ++count) {
            this->turn();
            while (auto stream = this->listener.accept())
                this->streams.push_back(std::move(*stream));
        }
    }

    CallPtr start(const std::string &path, Outcome &outcome,
                  const std::function<void()> &onFinished = {})
    {
        CallRequest request;
        request.to = this->listener.address;
        request.path = path;
        CallHandlers handlers;
        handlers.onHead = [&outcome](int, const Headers &headers) {
            outcome.answer = findHeader(headers, "x-answer");
        };
        handlers.onData = [&outcome](std::string_view data) { outcome.body.append(data); };
        handlers.onEnd = [&outcome, onFinished] {
            ++outcome.ends;
            outcome.isComplete = true;
            if (onFinished)
                onFinished();
        };
        handlers.onFailed = [&outcome, onFinished](const CallFailure &failure) {
            ++outcome.ends;
            outcome.failure = failure;
            if (onFinished)
                onFinished();
        };
        return this->client.start(std::move(request), std::move(handlers));
    }
};

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Answer: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// The copy is in the kernel's buffer, unread, when the next call takes the connection.
Test(answerowners, a_second_answer_that_waits_unread_does_not_answer_the_next_call)
{
    Fixture fixture;
    Outcome first;
    Outcome second;
    fixture.start("/1", first);
    fixture.settle();
    fixture.streams[0].write(answer("1", "one"));
    fixture.settle();
    cr_assert(first.isComplete);
    fixture.streams[0].write(answer("1", "one"));
    fixture.start("/2", second);
    fixture.settle();
    cr_assert(second.ends == 0, "answered by %s", second.answer.c_str());
    cr_assert(fixture.streams.size() == 2U);
    fixture.streams[1].write(answer("2", "two"));
    fixture.settle();
    cr_assert(second.body == "two", "%s", second.failure.reason.c_str());
}

// Also an interim answer, an end and a reset tell that the connection is of no use.
Test(answerowners, a_call_does_not_take_a_connection_that_has_ended_unnoticed)
{
    const std::vector<std::function<void(RawStream &)>> signs{
        [](RawStream &stream) { stream.close(); }, [](RawStream &stream) { stream.reset(); },
        [](RawStream &stream) { stream.endWriting(); },
        [](RawStream &stream) { stream.write("HTTP/1.1 100 Continue\r\n\r\n"); },
        [](RawStream &stream) { stream.write("\r"); }};
    for (const auto &sign : signs) {
        Fixture fixture;
        Outcome first;
        Outcome second;
        fixture.start("/1", first);
        fixture.settle();
        fixture.streams[0].read();
        fixture.streams[0].write(answer("1", "one"));
        fixture.settle();
        sign(fixture.streams[0]);
        fixture.start("/2", second);
        fixture.settle();
        cr_assert(second.ends == 0, "%s", second.failure.reason.c_str());
        cr_assert(fixture.streams.size() == 2U);
        fixture.streams[1].write(answer("2", "two"));
        fixture.settle();
        cr_assert(second.body == "two", "%s", second.failure.reason.c_str());
    }
}

// The server answers whoever connects, or resets the connection, before it has read a request.
Test(answerowners, a_connection_that_brings_bytes_or_ends_before_the_request_carries_none)
{
    const std::vector<std::function<void(RawStream &)>> signs{
        [](RawStream &stream) { stream.write(answer("0", "none")); },
        [](RawStream &stream) { stream.close(); }, [](RawStream &stream) { stream.reset(); }};
    for (const auto &sign : signs) {
        Fixture fixture;
        Outcome outcome;
        fixture.start("/1", outcome);
        auto stream = fixture.listener.accept();
        cr_assert(stream.has_value());
        sign(*stream);
        fixture.settle();
        cr_assert(outcome.ends == 1);
        cr_assert(not(outcome.isComplete), "answered by %s", outcome.answer.c_str());
        cr_assert(not(outcome.failure.mayHaveBeenSent), "%s", outcome.failure.reason.c_str());
        stream->read();
        cr_assert(stream->received.empty());
    }
}

// A call that waits for a slow caller stops reading, perhaps at the last part of its answer.
Test(answerowners, a_call_that_pauses_at_the_end_of_its_answer_leaves_a_connection_that_reads)
{
    Fixture fixture;
    CallRequest request;
    request.to = fixture.listener.address;
    CallPtr paused;
    CallHandlers handlers;
    handlers.onData = [&paused](std::string_view) { paused->setReading(false); };
    paused = fixture.client.start(std::move(request), std::move(handlers));
    fixture.settle();
    fixture.streams[0].write(answer("1", "one"));
    fixture.settle();
    cr_assert(paused->isFinished());
    Outcome next;
    fixture.start("/2", next);
    fixture.settle();
    cr_assert(fixture.streams.size() == 1U);
    fixture.streams[0].write(answer("2", "two"));
    fixture.settle();
    cr_assert(next.body == "two");
}
