#include "base/errors.h"

namespace lavenderhall {

const char *toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadInput:
        return "bad_input";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::LimitExceeded:
        return "limit_exceeded";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string Error::message() const
{
    std::string text = this->step + ": " + this->detail;
    if (!this->peer.empty())
        text += " (" + this->peer + ")";
    return text;
}

} // namespace lavenderhall
