#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

/// Parsing of numbers.
namespace lavenderhall {

/// Parses a decimal integer. Returns std::nullopt if \a text contains anything else or the number
/// does not fit into 64 bits.
inline std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace lavenderhall
