#include "base/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace lavenderhall {

std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Address address;
    address.host = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    const bool isPort = parsed.ec == std::errc{} && parsed.ptr == end && address.port > 0;
    if (!isPort || !isIpAddress(address.host))
        return std::nullopt;
    return address;
}

bool isIpAddress(const std::string &text)
{
    in_addr binary{};
    const bool hasNullByte = text.find('\0') != std::string::npos;
    return !hasNullByte && inet_pton(AF_INET, text.c_str(), &binary) == 1;
}

} // namespace lavenderhall
