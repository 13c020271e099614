#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured log: one line of key=value pairs for each event, written through log4cxx.
namespace lavenderhall {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line. The value is quoted if it is empty or contains white space, a
/// quote, a backslash or "=".
struct LogField
{
    std::string key;
    std::string value;

    LogField(std::string key, std::string value)
        : key(std::move(key))
        , value(std::move(value))
    { }
    LogField(std::string key, const char *value)
        : key(std::move(key))
        , value(value)
    { }
    LogField(std::string key, std::string_view value)
        : key(std::move(key))
        , value(value)
    { }
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string key, Number value)
        : key(std::move(key))
        , value(std::to_string(value))
    { }
};

/// Sends the log to standard output. Lines below \a level are not written. Lines that exceed a
/// steady rate, or that standard output cannot accept at once, are dropped, and a line
/// "event=log_lines_lost" reports how many. \a instance names the process in each line.
void openLog(LogLevel level, std::string_view instance);

/// Writes one line: time, level, instance, event=\a event and \a fields. Does nothing before
/// openLog().
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

/// Returns \a fields as "key=value key2=value2", with quotes where a value needs them.
std::string formatFields(const std::vector<LogField> &fields);

} // namespace lavenderhall
