#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Logs: one line of key=value pairs for each event, written through log4cxx.
namespace lavenderhall {

enum class LogLevel { Debug, Info, Warning, Error };

/// One pair of a log line. The value is quoted when it holds a space, a quote or "=".
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

/// Sends the log to standard output; lines below \a level are left out, and so are lines over a
/// steady rate or that standard output does not take at once. How many is told by a line.
void openLog(LogLevel level, std::string_view instance);

/// Writes one line: time, level, instance, event=\a event and \a fields.
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

/// Returns \a fields as "k=v k2=v2", with quoting where a value needs it.
std::string formatFields(const std::vector<LogField> &fields);

} // namespace lavenderhall
