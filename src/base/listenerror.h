#pragma once

#include "base/address.h"

#include <cerrno>
#include <stdexcept>
#include <string>

/// A listening socket that cannot be opened.
namespace lavenderhall {

class ListenError : public std::runtime_error
{
public:
    /// \a code is the errno value, and \a reason its text.
    ListenError(const std::string &step, const Address &address, int code,
                const std::string &reason)
        : std::runtime_error(step + ": cannot bind " + address.toString() + ": " + reason)
        , failedAddress(address)
        , errorCode(code)
    { }

    const Address &address() const { return this->failedAddress; }
    int code() const { return this->errorCode; }
    /// Returns whether a later attempt may succeed with the same settings.
    bool isTransient() const
    {
        return this->errorCode == EADDRINUSE || this->errorCode == ENFILE
            || this->errorCode == ENOBUFS || this->errorCode == ENOMEM;
    }

private:
    Address failedAddress;
    int errorCode = 0;
};

} // namespace lavenderhall
