#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace poplarspool {

/// Whether a failed request may have been executed by a target. `NotRun` guarantees that no target
/// has started it or will start it. Where that isn't certain, the verdict is `MayHaveRun`.
enum class verdict { NotRun, MayHaveRun };

/// Kinds of failures, by how the receiver has to react to them.
enum class error_code {
    BadRequest, ///< Malformed, or not allowed by the protocol.
    Unauthorized, ///< Missing or unknown key.
    Forbidden, ///< The key is known but doesn't permit the request.
    NotFound, ///< No such model, service, object or route.
    TooLarge, ///< Exceeds a size limit.
    Conflict, ///< Conditional update failed, or idempotency key reused with another body.
    /// A request with this idempotency key may already have run, and its answer is no longer
    /// stored.
    Duplicate,
    Overloaded, ///< Rejected early, because it can't be completed in time.
    Throttled, ///< A budget or rate limit is exhausted.
    TimedOut, ///< The time limit has expired.
    Unavailable, ///< Currently not possible: no runner, store down, connection refused.
    Broken, ///< The peer sent an invalid reply, or ended it too early.
    Stale, ///< Outdated fencing token, incarnation or version.
    Cancelled, ///< Cancelled by the sender of the request.
    Internal, ///< A fault of this process.
};

/// A failure as a value.
struct error
{
    error_code code = error_code::Internal;
    std::string message;
    verdict ran = verdict::MayHaveRun;
    /// Time after which a retry may succeed; none if a retry is pointless.
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt;

    bool operator==(const error &) const = default;
};

/// A value or a failure.
template <class T>
using result = std::variant<T, error>;

/// The value of a success without a result.
struct unit
{
    bool operator==(const unit &) const = default;
};

template <class T>
bool succeeded(const result<T> &outcome)
{
    return std::holds_alternative<T>(outcome);
}

/// @throws std::bad_variant_access if the outcome is a failure.
template <class T>
const T &valueOf(const result<T> &outcome)
{
    return std::get<T>(outcome);
}

template <class T>
T &valueOf(result<T> &outcome)
{
    return std::get<T>(outcome);
}

/// @throws std::bad_variant_access if the outcome is a success.
template <class T>
const error &errorOf(const result<T> &outcome)
{
    return std::get<error>(outcome);
}

/// @returns The name used in replies, logs and metrics, such as "not_run".
std::string_view nameOf(verdict ran);

/// @returns The name used in replies, logs and metrics, such as "overloaded".
std::string_view nameOf(error_code code);

/// @returns The code with this name; Internal if there is none.
error_code errorCodeOf(std::string_view name);

inline error notRun(error_code code, std::string message,
                    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt)
{
    return error{code, std::move(message), verdict::NotRun, retryAfter};
}

inline error mayHaveRun(error_code code, std::string message)
{
    return error{code, std::move(message), verdict::MayHaveRun, std::nullopt};
}

} // namespace poplarspool
