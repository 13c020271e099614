#include "base/failurereport.h"
#include "base/processstate.h"
#include "http/loop.h"

#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <functional>
#include <new>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace lavenderhall;

namespace {

/// How a process ended, and what it wrote to its standard output.
struct Ending
{
    int signal = 0;
    std::string output;
};

/// Runs \a fault in a process of its own that reports its failures.
Ending runInChild(const std::function<void()> &fault)
{
    std::array<int, 2> ends{};
    cr_assert(pipe(ends.data()) == 0);
    const pid_t child = fork();
    if (child == 0) {
        const rlimit noCoreDump{};
        setrlimit(RLIMIT_CORE, &noCoreDump);
        dup2(ends[1], STDOUT_FILENO);
        reportFailures("loom-1");
        fault();
        _exit(0);
    }
    close(ends[1]);
    Ending ending;
    std::array<char, 1024> buffer{};
    for (ssize_t size = 0; (size = read(ends[0], buffer.data(), buffer.size())) > 0;)
        ending.output.append(buffer.data(), static_cast<std::size_t>(size));
    close(ends[0]);
    int status = 0;
    cr_assert(waitpid(child, &status, 0) == child);
    ending.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return ending;
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(failurereport, an_uncaught_exception_leaves_a_line)
{
    // The thread has no handler for it, as in a callback of a C library.
    const Ending ending = runInChild(
        [] { std::thread([] { throw std::runtime_error("no \"room\"\nleft"); }).join(); });
    cr_assert(ending.signal == SIGABRT);
    cr_assert(has(ending.output, "level=ERROR instance=loom-1 event=process_failed"));
    cr_assert(has(ending.output, "cause=exception signal=6 uptime_ms="));
    cr_assert(has(ending.output, "detail=\"no _room__left\"\n"));
    cr_assert(ending.output.find('\n') == ending.output.size() - 1);
}

// Guards against a process that neither ends nor serves once its memory is used up.
Test(failurereport, an_exception_in_a_callback_ends_the_process_at_once)
{
    const Ending ending = runInChild([] {
        try {
            http::Loop loop;
            const http::Timer timer = loop.after(Millis(1), [] { throw std::bad_alloc(); });
            loop.run();
        } catch (...) {
            _exit(1);
        }
    });
    cr_assert(ending.signal == SIGABRT);
    cr_assert(has(ending.output, "cause=exception signal=6"));
    cr_assert(has(ending.output, "bad_alloc"));
}

Test(failurereport, a_fault_signal_leaves_a_line_and_ends_the_process)
{
    for (const int signal : {SIGABRT, SIGSEGV, SIGBUS}) {
        const Ending ending = runInChild([signal] { raise(signal); });
        cr_assert(ending.signal == signal);
        cr_assert(has(ending.output, "cause=signal signal=" + std::to_string(signal)));
    }
}

Test(processstate, counts_descriptors)
{
    const ProcessState before = readProcessState();
    std::array<int, 2> ends{};
    cr_assert(pipe(ends.data()) == 0);
    const ProcessState after = readProcessState();
    cr_assert(after.openDescriptors == before.openDescriptors + 2);
    cr_assert(after.maxDescriptors >= after.openDescriptors);
    cr_assert(after.residentBytes > 0);
}
