#pragma once

#include <boost/leaf.hpp>

#include <functional>
#include <string>
#include <variant>

/// Errors as values, transported by Boost.LEAF: what failed, at which step, with which peer.
namespace lavenderhall {

namespace leaf = boost::leaf;

/// Kind of failure. Callers decide by it whether to retry and which exit code to return.
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

/// Returns the name of \a code in logs and answers, e.g. "bad_input".
const char *toString(ErrorCode code);

/// One failure.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step; ///< the operation that failed
    std::string peer; ///< the other process that took part, "" if none
    std::string detail;

    bool operator==(const Error &) const = default;
    /// Returns "step: detail (peer)", or "step: detail" if there is no peer.
    std::string message() const;
};

/// Return type of functions that may fail. Convert it with toOutcome() to inspect the error.
template <typename T> using Result = leaf::result<T>;

/// Creates a LEAF error from the fields of an Error, to be returned from a Result function.
inline leaf::error_id fail(ErrorCode code, std::string step, std::string detail,
                           std::string peer = {})
{
    return leaf::new_error(Error{code, std::move(step), std::move(peer), std::move(detail)});
}

/// A Result as a plain value: either the value or the error.
template <typename T> using Outcome = std::variant<T, Error>;

/// Type of the value in the Result that \a Body returns.
template <typename Body>
using ValueOf = std::decay_t<decltype(std::declval<std::invoke_result_t<Body>>().value())>;

/// Runs \a body, a callable that returns Result<T>, and returns its value or error. An error that
/// is not an Error becomes ErrorCode::Internal.
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
