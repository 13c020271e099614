#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured log: one line of key=value pairs for each event, written through log4cxx.
namespace lavenderhall {

enum class LogLevel { Debug, Info, Warning, Error };

/// What a line is about. The lines of each class have a rate of their own, so that the many lines
/// of one class do not displace those of another.
enum class LineClass {
    Routine,
    Refusal, ///< the end of a request that was sent nowhere
    Failure, ///< on a request that failed, was sent more than once, or was relayed
    Stop, ///< on the stop of this process, or on a request that the stop ends
};

inline constexpr std::array LineClasses{LineClass::Routine, LineClass::Refusal, LineClass::Failure,
                                        LineClass::Stop};

/// Returns the name in metrics and log lines.
const char *toString(LineClass lineClass);

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

/// Sends the log to standard output. Lines below \a level are not written. Lines that exceed the
/// steady rate of their class, or that standard output cannot accept at once, are dropped, and a
/// line "event=log_lines_lost" reports how many. \a instance names the process in each line.
void openLog(LogLevel level, std::string_view instance);

/// Writes one line: time, level, instance, event=\a event and \a fields. Does nothing before
/// openLog().
void logEvent(LogLevel level, LineClass lineClass, std::string_view event,
              const std::vector<LogField> &fields = {});
/// The same for a line of the class Routine.
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

/// Returns the number of lines of \a lineClass that were dropped since the start.
std::uint64_t lostLogLines(LineClass lineClass);

/// Returns \a fields as "key=value key2=value2", with quotes where a value needs them.
std::string formatFields(const std::vector<LogField> &fields);

} // namespace lavenderhall
