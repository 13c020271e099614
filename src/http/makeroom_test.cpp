#include "http/client.h"
#include "http/server.h"
#include "http/socket.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

/// What a full server closes to make room for others.
using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

const Address ServerAddress{"127.0.0.1", 18176};

/// A caller that sends \a text once it is connected, and may stop reading.
struct RawCaller
{
    std::string received;
    bool hasEnded = false;
    Socket::Ptr socket;

    RawCaller(Loop &loop, const std::string &text, bool reads)
    {
        SocketHandlers handlers;
        handlers.onConnected = [this, text, reads] {
            this->socket->setReading(reads);
            this->socket->write(text);
        };
        handlers.onData = [this](std::string_view data) { this->received.append(data); };
        handlers.onEnd = [this](SocketEnd, const std::string &) { this->hasEnded = true; };
        this->socket = Socket::connect(loop, ServerAddress, std::move(handlers));
    }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;
    ~RawCaller() { this->socket->close(); }
};

std::string post(std::size_t announcedBytes)
{
    return "POST /a HTTP/1.1\r\ncontent-length: " + std::to_string(announcedBytes) + "\r\n\r\n";
}

} // namespace

Test(makeroom, an_answer_that_the_caller_still_reads_is_not_cut)
{
    constexpr std::size_t AnswerBytes = 6U << 20U;
    Loop loop;
    ServerLimits limits;
    limits.maxConnections = 1;
    const Server server(loop, ServerAddress, limits, [&](const ExchangePtr &exchange) {
        exchange->respond({200, {}, std::string(AnswerBytes, 'x')});
    });
    RawCaller slow(loop, "GET /a HTTP/1.1\r\n\r\n", false);
    loop.runFor(Millis(200));
    const RawCaller next(loop, "GET /a HTTP/1.1\r\n\r\n", true);
    loop.runFor(Millis(200));
    slow.socket->setReading(true);
    loop.runFor(Millis(500));
    cr_assert(slow.received.size() > AnswerBytes, "%zu", slow.received.size());
    cr_assert(next.hasEnded);
}

// Callers that announce bodies and send nothing must not keep the memory from those that do.
Test(makeroom, requests_that_no_longer_arrive_give_up_their_memory)
{
    constexpr std::size_t BodyBytes = 5000;
    Loop loop;
    std::size_t served = 0;
    Server server(loop, ServerAddress, {}, [&](const ExchangePtr &exchange) {
        ++served;
        exchange->respond({200, {}, "done"});
    });
    server.setMemoryBudget(std::make_shared<MemoryBudget>(100'000));
    std::vector<std::unique_ptr<RawCaller>> holders;
    for (int number = 0; number < 20; ++number)
        holders.push_back(std::make_unique<RawCaller>(loop, post(BodyBytes), true));
    loop.runFor(Millis(2500));
    const std::string whole = post(BodyBytes) + std::string(BodyBytes, 'x');
    const RawCaller caller(loop, whole, true);
    loop.runFor(Millis(300));
    cr_assert(served == 1);
    cr_assert(caller.received.starts_with("HTTP/1.1 200"), "%s", caller.received.c_str());
}
