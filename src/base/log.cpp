#include "base/log.h"

#include "base/clock.h"
#include "base/logbudget.h"

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

std::string quotedText(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string::npos)
        return value;
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n' || c == '\r') {
            text += "\\n";
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

constexpr double LinesPerSecond = 400;
constexpr double BurstLines = 1000;
// A pipe that reports room takes at least so many bytes without blocking.
constexpr std::size_t MaxLineBytes = 4096;

/// Writes lines to standard output as long as it takes them at once. What it does not take, or
/// what is over the rate, is counted and told with the next line that gets through.
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
        if (!this->budget.take(monoNow()))
            return;
        log4cxx::LogString line;
        this->layout->format(line, event, pool);
        if (line.size() > MaxLineBytes) {
            line.resize(MaxLineBytes);
            line.back() = '\n';
        }
        if (!hasRoom())
            return this->budget.countLost();
        this->tellLost();
        writeLine(line);
    }

private:
    static bool hasRoom()
    {
        pollfd room{STDOUT_FILENO, POLLOUT, 0};
        return poll(&room, 1, 0) == 1 && (room.revents & POLLOUT) != 0;
    }

    static void writeLine(const std::string &line)
    {
        // Nothing can be done about a log that takes no bytes.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    }

    void tellLost()
    {
        const std::uint64_t lost = this->budget.takeLost();
        if (lost == 0)
            return;
        writeLine("level=WARN instance=" + quotedText(instanceName())
                  + " event=log_lines_lost lines=" + std::to_string(lost) + "\n");
    }

    log4cxx::LayoutPtr layout;
    LogBudget budget{LinesPerSecond, BurstLines};
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

void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    static const log4cxx::LoggerPtr Root = log4cxx::Logger::getRootLogger();
    const log4cxx::LevelPtr target = toLog4cxx(level);
    if (Root->getAllAppenders().empty() || !Root->isEnabledFor(target))
        return;
    std::string line = "instance=" + quotedText(instanceName()) + " event=" + std::string(event);
    if (!fields.empty())
        line += " " + formatFields(fields);
    Root->forcedLog(target, line, LOG4CXX_LOCATION);
}

std::string formatFields(const std::vector<LogField> &fields)
{
    std::string line;
    for (const LogField &field : fields) {
        if (!line.empty())
            line += ' ';
        line += field.key + '=' + quotedText(field.value);
    }
    return line;
}

} // namespace lavenderhall
