#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Numeric network addresses. Host names are not supported, as the router makes no DNS queries, nor
/// is IPv6, which its sockets do not speak.
namespace lavenderhall {

/// Numeric IPv4 address and TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
    std::string toString() const { return this->host + ":" + std::to_string(this->port); }
};

/// Parses "IP:PORT". Returns std::nullopt if \a text does not have that form or the port is 0.
std::optional<Address> parseAddress(const std::string &text);

/// Returns whether \a text is a numeric IPv4 address.
bool isIpAddress(const std::string &text);

} // namespace lavenderhall
