#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

/// Numbers in texts of other systems.
namespace lavenderhall {

/// Reads a whole number that is all of \a text; nothing if it is none or too large.
inline std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc{} || read.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace lavenderhall
