#pragma once

#include "bench/answer_check.h"
#include "poplarspool/base/http.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::faults {

/// The result of a call as its caller sees it.
enum class call_outcome {
    Whole,
    NotRun, ///< The last answer was "not run".
    MayHaveRun, ///< Answered "may have run", or the stream ended without an end marker.
    Cut, ///< The answer was marked as complete, but tokens are missing.
    Doubled, ///< A token was received twice.
    Wrong, ///< The answer belongs to another call or is malformed.
};

/// One call with all its attempts.
struct call_record
{
    std::string key; ///< Idempotency key of a service call; empty for a completion.
    call_outcome outcome = call_outcome::NotRun;
    std::vector<std::string> notRunRequestIds; ///< Of the attempts answered "not run".
    bool wasInterrupted = false; ///< The stream broke off after some text.
    std::string detail;
    std::string body; ///< Of a complete answer of a service.
};

/// A call to send: a streamed completion, or a service call with an idempotency key.
struct call_spec
{
    std::string key; ///< Idempotency key of a service call; empty for a completion.
    std::string prompt;
    std::uint32_t tokens = 0;
    milliseconds timeLimit{15000};
};

/// Sends the call once, to that address.
call_record sendAttempt(const call_spec &call, const endpoint &to, http_pool &pool);

/// Sends the call and retries as docs/API.md requires of callers: at the next address after a
/// refused connection or a "not run" answer, until the call's time limit has passed.
call_record callWithRetries(const call_spec &call, const std::vector<endpoint> &addresses,
                            http_pool &pool);

} // namespace poplarspool::faults
