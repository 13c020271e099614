#include "base/address.h"
#include "base/log.h"
#include "base/logcapture.h"
#include "base/logratelimiter.h"

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

// Guards against a name of another writer that looks like a line of this process.
Test(log, a_value_with_control_characters_stays_in_its_line)
{
    const std::string nul("a\0b", 3);
    cr_assert(formatFields({{"name", "a\r\nlevel=ERROR"}}) == R"(name="a\n\nlevel=ERROR")");
    cr_assert(formatFields({{"name", "a\x1B[2J"}}) == R"(name="a\x1B[2J")");
    cr_assert(formatFields({{"name", nul}}) == R"(name="a\x00b")");
    cr_assert(formatFields({{"name", "a\x7F\t"}}) == R"(name="a\x7F\x09")");
    cr_assert(formatFields({{"name", "caf\xC3\xA9"}}) == "name=caf\xC3\xA9");
}

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

// A busy instance has used up the rate of its routine lines when a request fails, or when its stop
// ends hundreds of requests at once. Guards against the loss of the lines that tell what became of
// them, and of the number of lines that were dropped before.
Test(log, lines_of_a_class_are_written_when_the_rates_of_all_others_are_used_up)
{
    for (const LineClass lineClass : LineClasses) {
        LogCapture log;
        std::uint64_t lost = 0;
        for (const LineClass other : LineClasses) {
            if (other == lineClass)
                continue;
            const std::uint64_t lostBefore = lostLogLines(other);
            useUpRate(other);
            cr_assert(lostLogLines(other) > lostBefore);
            lost += lostLogLines(other) - lostBefore;
        }
        for (int line = 0; line < 500; ++line)
            logEvent(LogLevel::Info, lineClass, "request_done", {{"number", line}});
        logEvent(LogLevel::Info, lineClass, "last");
        const std::string text = log.text();
        cr_assert(countOf(text, "event=request_done") == 500U, "%s", toString(lineClass));
        cr_assert(countOf(text, "event=last") == 1U);
        const std::string last = text.substr(text.rfind('\n', text.size() - 2) + 1);
        cr_assert(last.find("event=last") != std::string::npos, "%s", last.c_str());
        std::uint64_t reported = 0;
        const std::string losses = "event=log_lines_lost lines=";
        for (std::size_t at = 0; (at = text.find(losses, at)) != std::string::npos;) {
            at += losses.size();
            reported += std::stoull(text.substr(at));
        }
        cr_assert(reported == lost, "%s", toString(lineClass));
        cr_assert(countOf(text, " " + std::string(toString(lineClass)) + "=0 ") > 0U);
    }
}

// Guards against failures that fill a disk: no class is without a limit.
Test(log, lines_of_each_class_are_limited)
{
    LogCapture log;
    for (const LineClass lineClass : LineClasses)
        useUpRate(lineClass);
    constexpr std::size_t MaxLines = 2000; // of each class, also on a slow machine
    cr_assert(countOf(log.text(), "event=filler") < MaxLines * LineClasses.size());
    for (const LineClass lineClass : LineClasses)
        cr_assert(lostLogLines(lineClass) > 0U, "%s", toString(lineClass));
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
