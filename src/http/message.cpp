#include "http/message.h"

#include <charconv>

namespace lavenderhall::http {

namespace {

constexpr std::string_view PathCharacters
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
constexpr std::string_view Unreserved = PathCharacters.substr(0, PathCharacters.size() - 1);

/// Appends \a text to \a encoded, with escapes for all but the \a plain characters.
void appendEncoded(std::string &encoded, std::string_view text, std::string_view plain)
{
    constexpr std::string_view HexDigits = "0123456789ABCDEF";
    constexpr unsigned BitsPerDigit = 4;
    constexpr unsigned DigitMask = 0xF;
    for (const char c : text) {
        if (plain.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += HexDigits[byte >> BitsPerDigit];
        encoded += HexDigits[byte & DigitMask];
    }
}

} // namespace

const char *toString(Method method)
{
    switch (method) {
    case Method::Get:
        return "GET";
    case Method::Head:
        return "HEAD";
    case Method::Post:
        return "POST";
    case Method::Put:
        return "PUT";
    case Method::Patch:
        return "PATCH";
    case Method::Delete:
        return "DELETE";
    case Method::Options:
        return "OPTIONS";
    case Method::Other:
        return "OTHER";
    }
    return "OTHER";
}

std::string_view findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t pairEnd = query.find('&');
        const std::string_view pair = query.substr(0, pairEnd);
        query = pairEnd == std::string_view::npos ? std::string_view{} : query.substr(pairEnd + 1);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        return equals == std::string_view::npos ? "" : percentDecoded(pair.substr(equals + 1));
    }
    return {};
}

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    appendEncoded(encoded, text, Unreserved);
    return encoded;
}

std::string percentEncodedPath(std::string_view path)
{
    std::string encoded;
    appendEncoded(encoded, path, PathCharacters);
    return encoded;
}

std::string percentDecoded(std::string_view text)
{
    constexpr std::size_t EscapeLength = 3;
    constexpr int HexBase = 16;
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned byte = 0;
        const std::string_view digits = text.substr(index, EscapeLength).substr(1);
        const auto parsed
            = std::from_chars(digits.data(), digits.data() + digits.size(), byte, HexBase);
        const bool isEscape = text[index] == '%' && digits.size() == EscapeLength - 1
            && parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
        decoded += isEscape ? static_cast<char>(byte) : text[index];
        index += isEscape ? EscapeLength - 1 : 0;
    }
    return decoded;
}

} // namespace lavenderhall::http
