#pragma once

#include <boost/leaf.hpp>

#include <functional>
#include <string>
#include <variant>

/// Errors of every duty: what failed, at which step, against which peer.
namespace lavenderhall {

namespace leaf = boost::leaf;

/// Kind of failure, coarse enough to decide on retry and exit code.
enum class ErrorCode {
    BadInput,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    LimitExceeded,
    Unauthorized,
    Internal,
};

/// Returns the name used in logs and answers, e.g. "bad_input".
const char *toString(ErrorCode code);

/// One failure. \c step names the operation, \c peer the other party ("" if local).
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step;
    std::string peer;
    std::string detail;

    bool operator==(const Error &) const = default;
    /// Returns "step: detail (peer)".
    std::string message() const;
};

template <typename T> using Result = leaf::result<T>;

/// Creates the LEAF error for \a error, to be returned from a Result function.
inline leaf::error_id fail(ErrorCode code, std::string step, std::string detail,
                           std::string peer = {})
{
    return leaf::new_error(Error{code, std::move(step), std::move(peer), std::move(detail)});
}

/// Outcome of toOutcome(): the value or the error, as a plain value.
template <typename T> using Outcome = std::variant<T, Error>;

/// Type held by the Result that \a Body returns.
template <typename Body>
using ValueOf = std::decay_t<decltype(std::declval<std::invoke_result_t<Body>>().value())>;

/// Runs \a body, a callable that returns Result<T>, and gives its value or error as data.
template <typename Body> auto toOutcome(Body &&body) -> Outcome<ValueOf<Body>>
{
    using Value = ValueOf<Body>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Outcome<Value>> {
            BOOST_LEAF_AUTO(value, body());
            return Outcome<Value>(std::move(value));
        },
        [](const Error &error) { return Outcome<Value>(error); },
        [] {
            return Outcome<Value>(
                Error{ErrorCode::Internal, "unknown", "", "an error without description"});
        });
}

} // namespace lavenderhall
