#include "base/log.h"

#include "base/clock.h"
#include "base/logratelimiter.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cstdio>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

namespace lavenderhall {

namespace {

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

bool isControl(char c)
{
    return std::iscntrl(static_cast<unsigned char>(c)) != 0;
}

/// Returns "\xNN" for the byte \a c.
std::string hexEscape(char c)
{
    std::array<char, sizeof("\\xNN")> text{};
    std::snprintf(text.data(), text.size(), "\\x%02X",
                  static_cast<unsigned>(static_cast<unsigned char>(c)));
    return text.data();
}

/// Returns \a value in quotes, with escapes, if it would be ambiguous without them. Values may come
/// from other processes: one must not begin a line of its own, nor change how a terminal shows it.
std::string quoteIfNeeded(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\\") == std::string::npos
        && std::none_of(value.begin(), value.end(), isControl))
        return value;
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n' || c == '\r') {
            text += "\\n";
            continue;
        }
        if (isControl(c)) {
            text += hexEscape(c);
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    return text + '"';
}

std::string &instanceName()
{
    static std::string name;
    return name;
}

// Of the line that this thread writes. The logging library passes its appender nothing but the
// level and the text.
thread_local LineClass currentClass = LineClass::Routine;

constexpr std::size_t indexOf(LineClass lineClass)
{
    return static_cast<std::size_t>(lineClass);
}

// Since the start, by class.
std::array<std::atomic<std::uint64_t>, LineClasses.size()> lostLines{};

// Of each class.
constexpr double LinesPerSecond = 400;
constexpr double BurstLines = 1000;
// A pipe that poll() reports as writable accepts at least this many bytes without blocking.
constexpr std::size_t MaxLineBytes = 4096;

/// Writes lines to standard output without blocking. Lines that it cannot accept at once, or that
/// exceed the rate of their class, are dropped, and their number is logged with the next line that
/// is written.
class BoundedAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit BoundedAppender(const log4cxx::LayoutPtr &layout)
        : layout(layout)
    { }
    ~BoundedAppender() override = default;

    void close() override { }
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        LogRateLimiter &limiter = this->limiters.at(indexOf(currentClass));
        if (!limiter.tryAcquire(monoNow())) {
            ++lostLines.at(indexOf(currentClass));
            return;
        }
        log4cxx::LogString line;
        this->layout->format(line, event, pool);
        if (line.size() > MaxLineBytes) {
            line.resize(MaxLineBytes);
            line.back() = '\n';
        }
        if (!isWritable()) {
            ++lostLines.at(indexOf(currentClass));
            return limiter.countDropped();
        }
        this->reportDropped();
        writeLine(line);
    }

private:
    static bool isWritable()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    static void writeLine(const std::string &line)
    {
        // A failed write to the log cannot be reported anywhere, so the result is ignored.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    }

    void reportDropped()
    {
        std::uint64_t dropped = 0;
        std::vector<LogField> droppedByClass;
        for (const LineClass lineClass : LineClasses) {
            const std::uint64_t count = this->limiters.at(indexOf(lineClass)).takeDroppedCount();
            dropped += count;
            droppedByClass.emplace_back(toString(lineClass), count);
        }
        if (dropped == 0)
            return;
        writeLine("level=WARN instance=" + quoteIfNeeded(instanceName())
                  + " event=log_lines_lost lines=" + std::to_string(dropped) + " "
                  + formatFields(droppedByClass) + " unix_ms=" + std::to_string(wallMillis())
                  + "\n");
    }

    log4cxx::LayoutPtr layout;
    std::array<LogRateLimiter, LineClasses.size()> limiters{
        LogRateLimiter{LinesPerSecond, BurstLines}, LogRateLimiter{LinesPerSecond, BurstLines},
        LogRateLimiter{LinesPerSecond, BurstLines}, LogRateLimiter{LinesPerSecond, BurstLines}};
};

} // namespace

void openLog(LogLevel level, std::string_view instance)
{
    using namespace log4cxx;
    instanceName() = std::string(instance);
    const LayoutPtr layout(new PatternLayout(
        LOG4CXX_STR("time=%d{yyyy-MM-dd}{GMT}T%d{HH:mm:ss.SSS}{GMT}Z level=%p %m%n")));
    const AppenderPtr appender(new BoundedAppender(layout));
    const LoggerPtr root = Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toLog4cxx(level));
}

const char *toString(LineClass lineClass)
{
    switch (lineClass) {
    case LineClass::Routine:
        return "routine";
    case LineClass::Refusal:
        return "refusal";
    case LineClass::Failure:
        return "failure";
    case LineClass::Stop:
        return "stop";
    }
    return "";
}

void logEvent(LogLevel level, LineClass lineClass, std::string_view event,
              const std::vector<LogField> &fields)
{
    static const log4cxx::LoggerPtr Root = log4cxx::Logger::getRootLogger();
    const log4cxx::LevelPtr target = toLog4cxx(level);
    if (Root->getAllAppenders().empty() || !Root->isEnabledFor(target))
        return;
    std::string line = "instance=" + quoteIfNeeded(instanceName()) + " event=" + std::string(event);
    if (!fields.empty())
        line += " " + formatFields(fields);
    currentClass = lineClass;
    Root->forcedLog(target, line, LOG4CXX_LOCATION);
}

void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    logEvent(level, LineClass::Routine, event, fields);
}

std::uint64_t lostLogLines(LineClass lineClass)
{
    return lostLines.at(indexOf(lineClass));
}

std::string formatFields(const std::vector<LogField> &fields)
{
    std::string line;
    for (const LogField &field : fields) {
        if (!line.empty())
            line += ' ';
        line += field.key + '=' + quoteIfNeeded(field.value);
    }
    return line;
}

} // namespace lavenderhall
