#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <malloc.h>

using namespace lavenderhall;

namespace {

/// Returns the bytes that the process has allocated.
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// Guards against several copies of the body of each request that waits for its answer.
Test(forwarder, a_request_that_waits_for_its_answer_holds_its_body_once)
{
    constexpr std::size_t Requests = 100;
    constexpr std::size_t BodyBytes = 72'000;
    Fixture fixture;
    fixture.join(fixture.first, "desk");
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) { exchange->discardBody(); };
    const std::size_t before = allocatedBytes();
    for (std::size_t number = 0; number < Requests; ++number) {
        http::CallRequest request;
        request.to = RouterAddress;
        request.method = http::Method::Post;
        request.path = "/book/x";
        request.body = std::string(BodyBytes, 'x');
        request.headers = {{"host", "h.example"},
                           {"request-id", "r" + std::to_string(number)},
                           {"deadline-ms", "4000"}};
        http::startBuffered(fixture.caller, std::move(request),
                            [](const http::Response *, const http::CallFailure &) {});
    }
    fixture.loop.runFor(Millis(1000));
    cr_assert(fixture.first.exchanges.size() == Requests, "%zu", fixture.first.exchanges.size());
    const std::size_t copies = (allocatedBytes() - before) / (Requests * BodyBytes / 10);
    for (const http::ExchangePtr &exchange : fixture.first.exchanges)
        answerPlain(exchange);
    fixture.loop.runFor(Millis(500));
    cr_assert(copies < 15, "%zu tenths of a body for each request", copies);
}
