#include "base/address.h"

#include <arpa/inet.h>
#include <array>

namespace lavenderhall {

bool isIpAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

} // namespace lavenderhall
