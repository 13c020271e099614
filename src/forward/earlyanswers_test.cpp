#include "forward/forwarderfixture.h"
#include "http/rawstream.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <memory>
#include <optional>
#include <vector>

using namespace lavenderhall;

namespace {

// More than a connection on the loopback interface holds on its way.
constexpr std::size_t UploadBytes = 8'000'000;
constexpr std::size_t SmallUploadBytes = 900'000;
constexpr int SmallReceiveBuffer = 4096; ///< bytes
constexpr int DefaultReceiveBuffer = 0; ///< as the kernel chooses it
constexpr Millis StepInterval{1};
constexpr Millis LateReset{1000};

/// What an endpoint does with one upload.
struct Behaviour
{
    std::string framing = ""; ///< header lines that state the length; "" for none
    std::string body = "half of";
    bool readsUpload = false; ///< before the answer
    bool endsWriting = false; ///< closes its sending side behind the answer
    std::optional<Millis> resetAfter{}; ///< from the answer on; otherwise nothing more happens

    bool operator==(const Behaviour &) const = default;
};

/// An endpoint that answers an upload as soon as the request's head has arrived, or once it has
/// read the whole request.
class UploadEndpoint
{
public:
    UploadEndpoint(http::Loop &loop, std::vector<Behaviour> behaviours,
                   int receiveBuffer = SmallReceiveBuffer)
        : loop(loop)
        , behaviours(std::move(behaviours))
        , listener(receiveBuffer)
    {
        this->step();
    }

    RegisteredEndpoint entry(const std::string &id) const
    {
        RegisteredEndpoint registered;
        registered.id = id;
        registered.startMillis = 1;
        registered.service = "desk";
        registered.address = this->listener.address;
        registered.zone = Zone;
        registered.slots = 4;
        return registered;
    }

    std::size_t attempts = 0; ///< uploads that have been answered

private:
    struct Connection
    {
        http::RawStream stream;
        bool hasAnswered = false;
        http::Timer reset{};
    };

    void step()
    {
        if (auto stream = this->listener.accept())
            this->connections.push_back(
                std::make_unique<Connection>(Connection{std::move(*stream)}));
        for (const auto &connection : this->connections) {
            if (!connection->hasAnswered)
                this->serve(*connection);
        }
        this->timer = this->loop.after(StepInterval, [this] { this->step(); });
    }

    void serve(Connection &connection)
    {
        constexpr std::size_t HeadPiece = 256;
        const Behaviour &behaviour
            = this->behaviours.at(std::min(this->attempts, this->behaviours.size() - 1));
        http::RawStream &stream = connection.stream;
        stream.read(behaviour.readsUpload ? UploadBytes : HeadPiece);
        const std::size_t headEnd = stream.received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        if (behaviour.readsUpload && !stream.received.ends_with("END"))
            return;
        connection.hasAnswered = true;
        ++this->attempts;
        stream.write(answerTo(stream.received, behaviour));
        if (behaviour.endsWriting)
            stream.endWriting();
        if (!behaviour.resetAfter)
            return;
        if (*behaviour.resetAfter == Millis(0))
            return stream.reset();
        connection.reset
            = this->loop.after(*behaviour.resetAfter, [&connection] { connection.stream.reset(); });
    }

    static std::string answerTo(const std::string &request, const Behaviour &behaviour)
    {
        constexpr std::string_view IdHeader = "request-id: ";
        const std::size_t start = request.find(IdHeader);
        cr_assert(start != std::string::npos);
        const std::string id = request.substr(
            start + IdHeader.size(), request.find("\r\n", start) - start - IdHeader.size());
        return "HTTP/1.1 200 OK\r\nresponse-seal: seal\r\nrequest-id: " + id + "\r\n"
            + behaviour.framing + "\r\n" + behaviour.body;
    }

    http::Loop &loop;
    std::vector<Behaviour> behaviours; ///< of the uploads in their order; the last one is repeated
    http::RawListener listener;
    std::vector<std::unique_ptr<Connection>> connections;
    http::Timer timer;
};

/// A forwarder in front of one endpoint. A test may let others join.
struct UploadFixture : Fixture
{
    UploadEndpoint endpoint;

    explicit UploadFixture(std::vector<Behaviour> behaviours,
                           int receiveBuffer = SmallReceiveBuffer)
        : endpoint(this->loop, std::move(behaviours), receiveBuffer)
    {
        this->selector.onChange({EndpointChange::Kind::Joined, this->endpoint.entry("e1")});
    }

    http::SyncResult upload(const std::string &routeName, std::size_t bytes)
    {
        return this->call(routeName, "", std::string(bytes, 'u') + "END");
    }
};

void expectCut(const Behaviour &behaviour, std::size_t bytes, int receiveBuffer)
{
    UploadFixture fixture({behaviour}, receiveBuffer);
    const http::SyncResult result = fixture.upload("book", bytes);
    const auto resetMillis = static_cast<long>(behaviour.resetAfter.value_or(Millis(-1)).count());
    cr_expect(result.ok && result.response.status == 502,
              "status %d, upload of %zu bytes, ends writing: %d, reset after %ld ms, framing: %s",
              result.response.status, bytes, behaviour.endsWriting ? 1 : 0, resetMillis,
              behaviour.framing.c_str());
    cr_expect(result.response.body.find("half") == std::string::npos);
    cr_expect(fixture.endpoint.attempts == 1U);
}

} // namespace

// What callers saw: the part of a body as a complete answer, as the end of the connection was taken
// for the end of the answer although the request was still being written.
Test(earlyanswers, an_answer_that_ends_with_its_connection_before_the_upload_does_is_cut)
{
    for (const int receiveBuffer : {SmallReceiveBuffer, DefaultReceiveBuffer}) {
        for (const std::size_t bytes : {SmallUploadBytes, UploadBytes}) {
            for (const std::optional<Millis> resetAfter :
                 {std::optional<Millis>(), std::optional(Millis(10)), std::optional(LateReset)})
                expectCut({"", "half of", false, true, resetAfter}, bytes, receiveBuffer);
        }
    }
}

// A request that may run again gets a whole answer instead.
Test(earlyanswers, a_cut_answer_to_an_upload_that_may_be_repeated_is_replaced)
{
    const Behaviour cut{"", "half of", false, true, Millis(10)};
    const Behaviour sound{"content-length: 4\r\n", "done", true, false, {}};
    UploadFixture fixture({cut, sound});
    UploadEndpoint other(fixture.loop, {sound});
    fixture.selector.onChange({EndpointChange::Kind::Joined, other.entry("e2")});
    for (int request = 0; request < 3; ++request) {
        const http::SyncResult result = fixture.upload("read", SmallUploadBytes);
        cr_expect(result.response.status == 200, "%d", result.response.status);
        cr_expect(result.response.body == "done", "%s", result.response.body.c_str());
    }
    cr_expect(fixture.endpoint.attempts + other.attempts > 3U);
}

Test(earlyanswers, an_answer_whose_connection_is_reset_during_the_upload_is_cut)
{
    const std::vector<std::string> framings{"", "content-length: 300\r\n",
                                            "transfer-encoding: chunked\r\n"};
    for (const std::string &framing : framings) {
        const bool isChunked = framing.starts_with("transfer");
        const std::string body = isChunked ? "7\r\nhalf of\r\n" : "half of";
        for (const Millis resetAfter : {Millis(0), Millis(5), Millis(100)}) {
            const Behaviour behaviour{framing, body, false, false, resetAfter};
            for (const int receiveBuffer : {SmallReceiveBuffer, DefaultReceiveBuffer})
                expectCut(behaviour, UploadBytes, receiveBuffer);
            expectCut(behaviour, SmallUploadBytes, SmallReceiveBuffer);
        }
    }
}

// Guards against whole answers that are discarded.
Test(earlyanswers, an_answer_that_ends_with_its_connection_after_the_upload_is_whole)
{
    for (const std::size_t bytes : {std::size_t{0}, SmallUploadBytes, UploadBytes}) {
        for (const std::optional<Millis> resetAfter :
             {std::optional<Millis>(), std::optional(LateReset)}) {
            UploadFixture fixture({{"", "done", true, true, resetAfter}});
            const http::SyncResult result = fixture.upload("book", bytes);
            cr_expect(result.response.status == 200, "%zu bytes: %d", bytes,
                      result.response.status);
            cr_expect(result.response.body == "done");
        }
    }
}

Test(earlyanswers, an_answer_with_a_length_is_whole_before_the_upload_is_read)
{
    UploadFixture fixture({{"content-length: 4\r\n", "done", false, false, {}}});
    const http::SyncResult result = fixture.upload("book", SmallUploadBytes);
    cr_expect(result.response.status == 200);
    cr_expect(result.response.body == "done");
}
