#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace poplarspool {

/// Whether a failed request may have run on a target. `NotRun` is a promise: no target has begun it
/// and none will. Where that can't be proved the verdict is `MayHaveRun`.
enum class verdict { NotRun, MayHaveRun };

/// What went wrong, from the view of whoever has to react to it.
enum class error_code {
    BadRequest, ///< Malformed or not allowed by the protocol.
    Unauthorized, ///< No or an unknown key.
    Forbidden, ///< Known, but not allowed this.
    NotFound, ///< No such model, service, object or route.
    TooLarge, ///< Above a limit of size.
    Conflict, ///< Conditional update lost, or idempotency key used with another body.
    Duplicate, ///< Same idempotency key: the first run's answer is gone; it may have run.
    Overloaded, ///< Refused early: can't be done in time.
    Throttled, ///< A budget or rate limit is used up.
    TimedOut, ///< The time limit has passed.
    Unavailable, ///< Nobody there to do it now (no runner, store down, connection refused).
    Broken, ///< The other side answered nonsense, or stopped in the middle.
    Stale, ///< Old fencing number, incarnation or version.
    Cancelled, ///< Given up by whoever asked.
    Internal, ///< A fault of ours.
};

/// A failure as a value.
struct error
{
    error_code code = error_code::Internal;
    std::string message;
    verdict ran = verdict::MayHaveRun;
    /// When another try makes sense; none where it doesn't.
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt;

    bool operator==(const error &) const = default;
};

/// A value or a failure.
template <class T>
using result = std::variant<T, error>;

/// The value of a success that has nothing to say.
struct unit
{
    bool operator==(const unit &) const = default;
};

template <class T>
bool succeeded(const result<T> &outcome)
{
    return std::holds_alternative<T>(outcome);
}

/// @attention Only where succeeded() holds; otherwise throws std::bad_variant_access.
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

/// @attention Only where succeeded() does not hold.
template <class T>
const error &errorOf(const result<T> &outcome)
{
    return std::get<error>(outcome);
}

/// @returns The name used in answers, logs and metrics, such as "not_run".
std::string_view nameOf(verdict ran);

/// @returns The name used in answers, logs and metrics, such as "overloaded".
std::string_view nameOf(error_code code);

/// @returns The code with that name; Internal where there is none.
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
