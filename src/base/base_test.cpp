#include "base/log.h"
#include "base/logbudget.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string>
#include <unistd.h>

using namespace lavenderhall;

namespace {

constexpr MonoTime Start{std::chrono::seconds(1000)};

} // namespace

Test(logbudget, lines_over_the_rate_are_counted_and_left_out)
{
    LogBudget budget(100, 50);
    int written = 0;
    for (int line = 0; line < 1000; ++line)
        written += budget.take(Start + Millis(line)) ? 1 : 0;
    cr_assert(written >= 145 && written <= 151, "%d lines", written);
    cr_assert(budget.takeLost() == static_cast<std::uint64_t>(1000 - written));
    cr_assert(budget.takeLost() == 0U);
    budget.countLost();
    cr_assert(budget.takeLost() == 1U);
}

// Nobody reads the pipe: the log must not wait for it, and must tell later what it left out.
Test(log, lines_reach_standard_output_and_a_full_pipe_blocks_nothing)
{
    std::array<int, 2> ends{};
    cr_assert(pipe(ends.data()) == 0);
    const int before = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    openLog(LogLevel::Info, "one");
    const std::string filler(1000, 'x');
    for (int line = 0; line < 300; ++line)
        logEvent(LogLevel::Info, "many", {{"number", line}, {"filler", filler}});
    std::array<char, 65536> text{};
    const ssize_t size = read(ends[0], text.data(), text.size());
    logEvent(LogLevel::Info, "after");
    const ssize_t more = read(ends[0], text.data() + size / 2, text.size() / 2);
    dup2(before, STDOUT_FILENO);
    cr_assert(size > 0);
    cr_assert(more > 0);
    const std::string first(text.data(), 200);
    cr_assert(first.find("instance=one event=many number=0") != std::string::npos);
    const std::string rest(text.data() + size / 2, static_cast<std::size_t>(more));
    cr_assert(rest.find("event=log_lines_lost") != std::string::npos);
    cr_assert(rest.find("event=after") != std::string::npos);
}
