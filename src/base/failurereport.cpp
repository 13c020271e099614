#include "base/failurereport.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstring>
#include <ctime>
#include <exception>
#include <unistd.h>

namespace lavenderhall {

namespace {

constexpr std::array FaultSignals{SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL};
constexpr std::size_t MaxInstanceBytes = 128;
constexpr std::size_t MaxLineBytes = 512; ///< written at once, so that it is not interleaved
constexpr std::size_t HandlerStackBytes = 64 << 10; ///< a stack overflow leaves no other stack

/// Text in a buffer of fixed size. A signal handler must not allocate memory.
class FixedLine
{
public:
    FixedLine &add(std::string_view text)
    {
        const std::size_t taken = std::min(text.size(), this->bytes.size() - this->size);
        std::memcpy(this->bytes.data() + this->size, text.data(), taken);
        this->size += taken;
        return *this;
    }

    FixedLine &add(std::int64_t number)
    {
        std::array<char, 24> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        return this->add({digits.data(), static_cast<std::size_t>(end - digits.data())});
    }

    /// Adds \a text, with a "_" for each character that would need an escape.
    FixedLine &addQuoted(std::string_view text)
    {
        this->add("\"");
        for (const char c : text) {
            const bool isPlain = c >= ' ' && c != '"' && c != '\\';
            this->add(isPlain ? std::string_view(&c, 1) : "_");
        }
        return this->add("\"");
    }

    void write() const
    {
        // A failed write cannot be reported anywhere, so the result is ignored.
        [[maybe_unused]] const auto written
            = ::write(STDOUT_FILENO, this->bytes.data(), this->size);
    }

private:
    std::array<char, MaxLineBytes> bytes{};
    std::size_t size = 0;
};

std::array<char, MaxInstanceBytes> instanceName{};
std::array<char, HandlerStackBytes> handlerStack{};
std::int64_t startedAtMillis = 0;
std::atomic_flag isReported = ATOMIC_FLAG_INIT;

std::int64_t nowMillis(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000;
}

/// Writes the line; further calls do nothing.
void report(std::string_view cause, std::string_view detail, int signal)
{
    if (isReported.test_and_set())
        return;
    FixedLine line;
    line.add("unix_ms=").add(nowMillis(CLOCK_REALTIME)).add(" level=ERROR instance=");
    line.add(std::string_view(instanceName.data())).add(" event=process_failed cause=").add(cause);
    line.add(" signal=").add(std::int64_t{signal});
    line.add(" uptime_ms=").add(nowMillis(CLOCK_MONOTONIC) - startedAtMillis);
    line.add(" detail=").addQuoted(detail.substr(0, MaxLineBytes / 2)).add("\n");
    line.write();
}

// The handler is reset before it runs, so that the repeated signal ends the process as it would
// have without the report.
void onFaultSignal(int signal)
{
    report("signal", strsignal(signal), signal);
    raise(signal);
}

[[noreturn]] void onTerminate()
{
    const std::exception_ptr thrown = std::current_exception();
    try {
        if (thrown)
            std::rethrow_exception(thrown);
        report("terminated", "no exception", SIGABRT);
    } catch (const std::exception &error) {
        report("exception", error.what(), SIGABRT);
    } catch (...) {
        report("exception", "of an unknown type", SIGABRT);
    }
    std::abort();
}

} // namespace

void reportFailures(std::string_view instance)
{
    const std::size_t size = std::min(instance.size(), instanceName.size() - 1);
    std::memcpy(instanceName.data(), instance.data(), size);
    startedAtMillis = nowMillis(CLOCK_MONOTONIC);
    std::set_terminate(onTerminate);
    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    sigaltstack(&stack, nullptr);
    for (const int signal : FaultSignals) {
        struct sigaction action
        { };
        action.sa_handler = onFaultSignal;
        action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
        sigaction(signal, &action, nullptr);
    }
}

} // namespace lavenderhall
