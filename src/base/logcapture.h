#pragma once

#include "base/log.h"

#include <array>
#include <cstddef>
#include <cstdio>
#include <string>
#include <unistd.h>

/// Test helper that collects what this process logs.
namespace lavenderhall {

/// Opens the log and sends standard output to a file until it is destroyed or text() is called.
class LogCapture
{
public:
    LogCapture()
        : output(tmpfile())
        , savedOutput(dup(STDOUT_FILENO))
    {
        dup2(fileno(this->output), STDOUT_FILENO);
        openLog(LogLevel::Info, "one");
    }
    ~LogCapture()
    {
        this->restore();
        static_cast<void>(fclose(this->output));
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;
    LogCapture(LogCapture &&) = delete;
    LogCapture &operator=(LogCapture &&) = delete;

    /// Ends the capture and returns all lines.
    std::string text()
    {
        this->restore();
        rewind(this->output);
        std::string all;
        std::array<char, 4096> part{};
        while (const std::size_t size = fread(part.data(), 1, part.size(), this->output))
            all.append(part.data(), size);
        return all;
    }

private:
    void restore()
    {
        if (this->savedOutput < 0)
            return;
        dup2(this->savedOutput, STDOUT_FILENO);
        close(this->savedOutput);
        this->savedOutput = -1;
    }

    FILE *output;
    int savedOutput; ///< descriptor; -1 once the capture has ended
};

/// Returns how often \a part stands in \a text.
inline std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += part.size())
        ++count;
    return count;
}

/// Uses up the rate of the log's lines of \a lineClass.
inline void useUpRate(LineClass lineClass)
{
    constexpr int Lines = 3000;
    for (int line = 0; line < Lines; ++line)
        logEvent(LogLevel::Info, lineClass, "filler", {{"number", line}});
}

} // namespace lavenderhall
