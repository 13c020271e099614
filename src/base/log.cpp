#include "base/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

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

} // namespace

void openLog(LogLevel level, std::string_view instance)
{
    using namespace log4cxx;
    instanceName() = std::string(instance);
    const LayoutPtr layout(new PatternLayout(
        LOG4CXX_STR("time=%d{yyyy-MM-dd}{GMT}T%d{HH:mm:ss.SSS}{GMT}Z level=%p %m%n")));
    const AppenderPtr appender(new ConsoleAppender(layout, ConsoleAppender::getSystemErr()));
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
