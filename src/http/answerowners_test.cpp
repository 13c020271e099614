#include "http/client.h"
#include "http/rawstream.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>
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

namespace {

constexpr std::size_t MaxOpenCalls = 3;

/// An answer that the server of a schedule gives, or half gives.
struct PlayedAnswer
{
    std::string bytes; ///< on the wire
    std::string body;
    bool isUnframed = false; ///< ends with the connection
    std::size_t written = 0;
    std::size_t requestsBefore = 0; ///< that had arrived before its first byte was written
};

/// The server's end of one connection.
struct PlayedStream
{
    explicit PlayedStream(RawStream accepted)
        : stream(std::move(accepted))
    { }

    /// Reads the requests that have arrived, and counts each in \a arrivals.
    void readRequests(std::map<std::string, int> &arrivals)
    {
        constexpr std::string_view End = "\r\n\r\n";
        this->stream.read();
        std::string &text = this->stream.received;
        for (std::size_t end = text.find(End); end != std::string::npos; end = text.find(End)) {
            const std::size_t start = text.find('/') + 1;
            this->requests.push_back(text.substr(start, text.find(' ', start) - start));
            ++arrivals[this->requests.back()];
            text.erase(0, end + End.size());
        }
    }

    RawStream stream;
    std::vector<std::string> requests; ///< ids of the calls, in the order of their arrival
    std::deque<std::size_t> due; ///< answers whose bytes are still to be written
    std::size_t answersBegun = 0;
    bool hasUnframedAnswer = false;
};

/// Random calls, and a server that answers them at random: never, once or several times, with
/// interim answers and refusals, in pieces of any size, and ends its connections at any point.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random(seed)
    { }

    /// Returns what has gone wrong, or an empty string.
    std::string play()
    {
        constexpr int Steps = 150;
        for (int step = 0; step < Steps; ++step)
            this->step();
        this->finish();
        for (const auto &[id, outcome] : this->outcomes) {
            const std::string fault = this->faultOf(id, *outcome);
            if (!fault.empty())
                return "call " + id + ": " + fault;
        }
        return {};
    }

    std::size_t completeCalls = 0;
    std::size_t reusedStreams = 0;

private:
    void step()
    {
        constexpr unsigned Choices = 32;
        const unsigned choice = this->random(Choices);
        if (choice < 5)
            return this->startCall();
        if (choice < 11)
            return this->fixture.turn();
        if (choice < 14)
            return this->acceptAndRead();
        if (choice == 14)
            return this->random(4) == 0 ? this->cancelCall() : void();
        if (choice < 17)
            return this->setReading(choice == 15);
        if (this->streams.empty())
            return;
        PlayedStream &chosen = this->streams[this->streams.size() - 1
                                             - this->random(static_cast<unsigned>(
                                                 std::min(this->streams.size(), MaxOpenCalls)))];
        if (choice < 22)
            return this->beginAnswer(chosen);
        if (choice < 30)
            return this->writePiece(chosen);
        if (choice == 30 && this->random(4) == 0)
            return chosen.stream.close();
        if (choice == 31 && this->random(8) == 0)
            return chosen.stream.reset();
    }

    void startCall()
    {
        std::erase_if(this->calls, [](const auto &entry) { return entry.second->isFinished(); });
        if (this->calls.size() >= MaxOpenCalls)
            return;
        const std::string id = std::to_string(this->outcomes.size());
        Outcome &outcome = *(this->outcomes[id] = std::make_unique<Outcome>());
        // The next call may start before the loop reads on.
        const bool isFollowed = this->random(3) == 0;
        this->calls.emplace_back(id, this->fixture.start("/" + id, outcome, [this, isFollowed] {
            if (isFollowed && !this->isOver)
                this->startCall();
        }));
    }

    void acceptAndRead()
    {
        while (auto accepted = this->fixture.listener.accept())
            this->streams.emplace_back(std::move(*accepted));
        for (PlayedStream &played : this->streams)
            played.readRequests(this->arrivals);
    }

    void cancelCall()
    {
        if (this->calls.empty())
            return;
        const auto position = this->random(static_cast<unsigned>(this->calls.size()));
        const auto &[id, call] = this->calls[position];
        if (call->isFinished())
            return;
        this->cancelled.insert(id);
        call->cancel();
    }

    void setReading(bool on)
    {
        for (const auto &[id, call] : this->calls)
            call->setReading(on);
    }

    /// An answer to the last request, a copy of one, or one that nothing has asked for.
    void beginAnswer(PlayedStream &played)
    {
        played.readRequests(this->arrivals);
        const bool isAsked = played.answersBegun < played.requests.size();
        constexpr unsigned CopyOneIn = 6;
        if (played.hasUnframedAnswer || (!isAsked && this->random(CopyOneIn) > 0))
            return;
        ++played.answersBegun;
        const std::string id = std::to_string(this->answers.size());
        PlayedAnswer made;
        made.body = "answer " + id + " " + std::string(this->random(40), 'x');
        const bool isRefusal = this->random(4) == 0;
        std::string head
            = isRefusal ? "HTTP/1.1 503 Service Unavailable\r\n" : "HTTP/1.1 200 OK\r\n";
        head += "X-Answer: " + id + "\r\n";
        if (this->random(5) == 0)
            head.insert(0, "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\n");
        const unsigned framing = this->random(8);
        if (framing == 0) {
            made.isUnframed = played.hasUnframedAnswer = true;
            made.bytes = head + "\r\n" + made.body;
        } else if (framing < 4) {
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx", made.body.size());
            made.bytes = head + "Transfer-Encoding: chunked\r\n\r\n" + size.data() + "\r\n"
                + made.body + "\r\n0\r\n\r\n";
        } else {
            made.bytes = head + "Content-Length: " + std::to_string(made.body.size()) + "\r\n\r\n"
                + made.body;
        }
        played.due.push_back(this->answers.size());
        this->answers.push_back(made);
    }

    /// Writes some of the bytes that are due, perhaps of several answers at once.
    void writePiece(PlayedStream &played)
    {
        constexpr unsigned LongestPiece = 30;
        std::size_t left = this->random(2) == 0 ? 10'000 : 1 + this->random(LongestPiece);
        played.readRequests(this->arrivals);
        std::string piece;
        while (left > 0 && !played.due.empty()) {
            PlayedAnswer &answer = this->answers[played.due.front()];
            if (answer.written == 0)
                answer.requestsBefore = played.requests.size();
            const std::string part = answer.bytes.substr(answer.written, left);
            piece += part;
            left -= part.size();
            answer.written += part.size();
            if (answer.written == answer.bytes.size())
                played.due.pop_front();
        }
        played.stream.write(piece);
    }

    /// Ends all connections, so that each call ends.
    void finish()
    {
        constexpr int Turns = 40;
        this->isOver = true;
        for (int count = 0; count < Turns; ++count) {
            this->setReading(true);
            this->fixture.turn();
            this->acceptAndRead();
            for (PlayedStream &played : this->streams)
                played.stream.reset();
        }
        for (const PlayedStream &played : this->streams)
            this->reusedStreams += played.requests.size() > 1 ? 1 : 0;
    }

    std::string faultOf(const std::string &id, const Outcome &outcome)
    {
        const auto arrived = this->arrivals.find(id);
        const int arrivalCount = arrived == this->arrivals.end() ? 0 : arrived->second;
        if (arrivalCount > 1)
            return "sent twice";
        if (outcome.ends == 0)
            return this->cancelled.contains(id) ? "" : "has not ended";
        if (outcome.ends > 1)
            return "ended twice";
        if (!outcome.isComplete)
            return arrivalCount > 0 && !outcome.failure.mayHaveBeenSent ? "was sent, and denied it"
                                                                        : "";
        ++this->completeCalls;
        const PlayedAnswer &answer = this->answers.at(std::stoul(outcome.answer));
        // An end of the connection, not a reset, also completes an unframed answer that is cut.
        const bool isWhole = outcome.body == answer.body
            || (answer.isUnframed && answer.body.starts_with(outcome.body));
        if (!isWhole)
            return "another body than that of answer " + outcome.answer + ": " + outcome.body;
        for (const PlayedStream &played : this->streams) {
            const auto place = std::find(played.requests.begin(), played.requests.end(), id);
            if (place == played.requests.end())
                continue;
            const auto number = static_cast<std::size_t>(place - played.requests.begin()) + 1;
            if (answer.requestsBefore >= number)
                return {};
            return "request " + std::to_string(number) + " of its connection, answer "
                + outcome.answer + " began after " + std::to_string(answer.requestsBefore);
        }
        return "answered without having arrived";
    }

    pcg32 random;
    std::map<std::string, std::unique_ptr<Outcome>> outcomes; ///< by the id of the call
    std::map<std::string, int> arrivals; ///< of requests, by the id of the call
    std::vector<PlayedAnswer> answers;
    std::vector<PlayedStream> streams;
    std::vector<std::pair<std::string, CallPtr>> calls;
    std::set<std::string> cancelled;
    bool isOver = false;
    Fixture fixture; ///< destroyed first
};

} // namespace

Test(answerowners, in_random_schedules_no_call_takes_an_answer_that_began_before_it)
{
    constexpr std::uint64_t Schedules = 2000;
    std::size_t completeCalls = 0;
    std::size_t reusedStreams = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        Schedule schedule(seed);
        const std::string fault = schedule.play();
        cr_assert(fault.empty(), "seed %lu: %s", seed, fault.c_str());
        completeCalls += schedule.completeCalls;
        reusedStreams += schedule.reusedStreams;
    }
    cr_assert(completeCalls > Schedules, "%zu", completeCalls);
    cr_assert(reusedStreams > Schedules / 4, "%zu", reusedStreams);
}
