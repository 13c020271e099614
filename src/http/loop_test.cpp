#include "http/loop.h"

#include "http/rawstream.h"
#include "http/server.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <csignal>
#include <optional>
#include <thread>

using namespace lavenderhall;
using namespace lavenderhall::http;

namespace {

constexpr Millis Stall{60}; ///< of a busy loop

} // namespace

// The platform's time runs from the signal. Guards against a drain that counts from the moment at
// which a busy loop comes to handle it.
Test(loop, a_signal_that_is_handled_late_has_the_time_at_which_it_may_have_been_sent)
{
    holdSignals();
    Loop loop;
    MonoTime sentAt{};
    MonoTime sentSince{};
    MonoTime handledAt{};
    const auto onSignal = [&](int) {
        sentSince = loop.signalSentSince();
        handledAt = monoNow();
        loop.stop();
    };
    loop.onStopSignals(onSignal);
    const Timer busy = loop.after(Millis(20), [&] {
        sentAt = monoNow();
        kill(getpid(), SIGTERM);
        std::this_thread::sleep_for(Stall);
    });
    loop.runFor(Millis(1000));
    cr_assert(handledAt - sentAt >= Stall);
    cr_assert(sentSince <= sentAt);
    cr_assert(sentSince > MonoTime{});
}

// Guards against a drain that ends a process which has not read what came while it was held up.
Test(loop, work_after_events_finds_requests_read_that_came_while_the_loop_was_busy)
{
    const Address address{"127.0.0.1", 18118};
    Loop loop;
    int handled = 0;
    Server server(loop, address, limitsWithMaxBody(100), [&](const ExchangePtr &exchange) {
        ++handled;
        exchange->respond({200, {}, "x"});
    });
    int handledBeforeWork = -1;
    const Timer work = loop.afterEvents(Millis(30), [&] { handledBeforeWork = handled; });
    std::optional<RawStream> caller;
    const Timer busy = loop.after(Millis(5), [&] {
        caller.emplace(RawStream::connect(address));
        caller->write("GET /a HTTP/1.1\r\n\r\n");
        std::this_thread::sleep_for(Stall);
    });
    loop.runFor(Millis(200));
    cr_assert(handledBeforeWork == 1, "%d", handledBeforeWork);
}
