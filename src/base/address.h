#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Network addresses in figures: the product looks up no names.
namespace lavenderhall {

/// IP address and TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
    std::string toString() const { return this->host + ":" + std::to_string(this->port); }
};

/// Reads "IP:PORT"; nothing if \a text is not of that form.
std::optional<Address> parseAddress(const std::string &text);

/// Whether \a text is an IPv4 or IPv6 address in figures.
bool isIpAddress(const std::string &text);

} // namespace lavenderhall
