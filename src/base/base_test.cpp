#include "base/address.h"
#include "base/log.h"
#include "base/logratelimiter.h"
#include "base/stoplog.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <cstdio>
#include <string>
#include <unistd.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

} // namespace

Test(logratelimiter, lines_over_the_rate_are_dropped_and_counted)
{
    // Within the second that the loop covers, 50 lines of burst and about 100 at the rate pass.
    LogRateLimiter limiter(100, 50);
    int written = 0;
    for (int line = 0; line < 1000; ++line)
        written += limiter.tryAcquire(Start + Millis(line)) ? 1 : 0;
    cr_assert(written >= 145 && written <= 151, "%d lines", written);
    cr_assert(limiter.takeDroppedCount() == static_cast<std::uint64_t>(1000 - written));
    cr_assert(limiter.takeDroppedCount() == 0U);
    limiter.countDropped();
    cr_assert(limiter.takeDroppedCount() == 1U);
}

// Guards against a process that hangs in a write to its log: nobody reads the pipe behind standard
// output, so it fills up. The log must drop lines instead of waiting, and must report their number
// once the pipe is writable again.
Test(log, lines_are_dropped_and_counted_while_the_output_pipe_is_full)
{
    std::array<int, 2> pipeEnds{};
    cr_assert(pipe(pipeEnds.data()) == 0);
    const int savedOutput = dup(STDOUT_FILENO);
    dup2(pipeEnds[1], STDOUT_FILENO);
    openLog(LogLevel::Info, "one");
    const std::string filler(1000, 'x');
    for (int line = 0; line < 300; ++line)
        logEvent(LogLevel::Info, "many", {{"number", line}, {"filler", filler}});
    std::array<char, 65536> text{};
    const ssize_t size = read(pipeEnds[0], text.data(), text.size());
    logEvent(LogLevel::Info, "after");
    const ssize_t restSize = read(pipeEnds[0], text.data() + size / 2, text.size() / 2);
    dup2(savedOutput, STDOUT_FILENO);
    cr_assert(size > 0);
    cr_assert(restSize > 0);
    const std::string first(text.data(), 200);
    cr_assert(first.find("instance=one event=many number=0") != std::string::npos);
    const std::string rest(text.data() + size / 2, static_cast<std::size_t>(restSize));
    cr_assert(rest.find("event=log_lines_lost") != std::string::npos);
    cr_assert(rest.find("event=after") != std::string::npos);
}

// A busy instance has used up the rate of its log when its stop ends hundreds of requests at once.
// Guards against the loss of the lines that tell what became of them and why the process ended, and
// of the number of ordinary lines that were dropped before.
Test(log, lines_on_a_stop_are_written_when_the_rate_of_ordinary_lines_is_used_up)
{
    FILE *output = tmpfile();
    cr_assert(output != nullptr);
    const int savedOutput = dup(STDOUT_FILENO);
    dup2(fileno(output), STDOUT_FILENO);
    openLog(LogLevel::Info, "one");
    for (int line = 0; line < 3000; ++line)
        logEvent(LogLevel::Info, "ordinary", {{"number", line}});
    for (int line = 0; line < 500; ++line)
        logStopEvent(LogLevel::Info, "request_done", {{"number", line}});
    logStopEvent(LogLevel::Info, "stopped");
    dup2(savedOutput, STDOUT_FILENO);
    rewind(output);
    std::array<char, 512> line{};
    int ended = 0;
    bool hasLoss = false;
    std::string last;
    while (fgets(line.data(), static_cast<int>(line.size()), output)) {
        last = line.data();
        ended += last.find("event=request_done") != std::string::npos ? 1 : 0;
        hasLoss = hasLoss || last.find("event=log_lines_lost") != std::string::npos;
    }
    static_cast<void>(fclose(output));
    cr_assert(ended == 500, "%d", ended);
    cr_assert(hasLoss);
    cr_assert(last.find("event=stopped") != std::string::npos, "%s", last.c_str());
}

// What passes the check can be connected to.
Test(address, only_ipv4_addresses_with_a_port_are_accepted)
{
    const Address expected{"10.0.0.1", 80};
    cr_assert(parseAddress("10.0.0.1:80") == expected);
    for (const char *text : {"", ":80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:80x", "10.0.0.1:99999",
                             "host:80", "::1:80", "[::1]:80", "10.0.0.1:-1", "10.0.0:80"})
        cr_assert(not(parseAddress(text).has_value()), "%s", text);
    cr_assert(not(isIpAddress("::1")));
}
