#include "base/outsidetext.h"

#include <cstdint>

namespace lavenderhall {

namespace {

// A byte that is not part of a character becomes a character of the private use area: the byte's
// value added to FirstEscape. Such characters in the text itself are escaped byte by byte, so that
// the encoding can be reversed. Each takes three bytes, the first two of which are one of four.
constexpr std::uint32_t FirstEscape = 0xF700;
constexpr std::uint32_t LastEscape = 0xF7FF;
constexpr std::size_t EscapeBytes = 3;
constexpr std::size_t MaxCharacterBytes = 4;
constexpr std::uint32_t ContinuationBits = 6;
constexpr std::uint32_t ContinuationMask = 0x3F;
constexpr std::uint32_t FirstSurrogate = 0xD800;
constexpr std::uint32_t LastSurrogate = 0xDFFF;
constexpr std::uint32_t LastCharacter = 0x10FFFF;

struct Character
{
    std::size_t bytes = 0; ///< 0 if there is none
    std::uint32_t code = 0;
};

std::uint32_t byteAt(std::string_view text, std::size_t index)
{
    return static_cast<unsigned char>(text[index]);
}

/// Reads the character at the beginning of \a text, which is not empty.
Character readCharacter(std::string_view text)
{
    // The smallest code of each length; smaller ones must use fewer bytes.
    constexpr std::uint32_t SmallestCodes[] = {0, 0, 0x80, 0x800, 0x10000};
    const std::uint32_t first = byteAt(text, 0);
    if (first < 0x80)
        return {1, first};
    std::size_t bytes = 0;
    if ((first & 0xE0) == 0xC0)
        bytes = 2;
    else if ((first & 0xF0) == 0xE0)
        bytes = 3;
    else if ((first & 0xF8) == 0xF0)
        bytes = MaxCharacterBytes;
    if (bytes == 0 || bytes > text.size())
        return {};
    std::uint32_t code = first & (0x7FU >> bytes);
    for (std::size_t index = 1; index < bytes; ++index) {
        const std::uint32_t next = byteAt(text, index);
        if ((next & 0xC0) != 0x80)
            return {};
        code = (code << ContinuationBits) | (next & ContinuationMask);
    }
    const bool isSurrogate = code >= FirstSurrogate && code <= LastSurrogate;
    if (code < SmallestCodes[bytes] || code > LastCharacter || isSurrogate)
        return {};
    return {bytes, code};
}

bool isEscape(const Character &character)
{
    return character.bytes == EscapeBytes && character.code >= FirstEscape
        && character.code <= LastEscape;
}

void appendEscaped(std::string &text, std::uint32_t byte)
{
    const std::uint32_t code = FirstEscape + byte;
    text += static_cast<char>(0xE0 | (code >> (2 * ContinuationBits)));
    text += static_cast<char>(0x80 | ((code >> ContinuationBits) & ContinuationMask));
    text += static_cast<char>(0x80 | (code & ContinuationMask));
}

} // namespace

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const Character character = readCharacter(text);
        if (character.bytes == 0)
            return false;
        text.remove_prefix(character.bytes);
    }
    return true;
}

std::string toUtf8(std::string_view bytes)
{
    std::string text;
    while (!bytes.empty()) {
        const Character character = readCharacter(bytes);
        if (character.bytes == 0 || isEscape(character)) {
            appendEscaped(text, byteAt(bytes, 0));
            bytes.remove_prefix(1);
            continue;
        }
        text += bytes.substr(0, character.bytes);
        bytes.remove_prefix(character.bytes);
    }
    return text;
}

std::string fromUtf8(std::string_view text)
{
    std::string bytes;
    while (!text.empty()) {
        const Character character = readCharacter(text);
        const std::size_t size = character.bytes == 0 ? 1 : character.bytes;
        if (isEscape(character))
            bytes += static_cast<char>(character.code - FirstEscape);
        else
            bytes += text.substr(0, size);
        text.remove_prefix(size);
    }
    return bytes;
}

} // namespace lavenderhall
