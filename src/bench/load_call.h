#pragma once

#include "bench/address_cache.h"
#include "bench/answer_check.h"

#include <cstdint>
#include <string>

namespace poplarspool::bench {

/// One request of a caller: a completion, or a call to a plain service.
struct load_call
{
    std::string model; ///< Empty for a service.
    std::string service;
    std::string servicePath; ///< Without its last segment.
    std::string prompt; ///< For a service call: the last path segment and the body.
    std::uint32_t maxTokens = 0;
    bool isStreamed = false;
    std::string workspace;
    std::string idempotencyKey; ///< Not sent if empty.
    milliseconds timeLimit{60000};

    bool operator==(const load_call &) const = default;
};

/// Final outcome of a request as its caller sees it.
enum class call_end {
    Whole,
    Refused, ///< The last attempt failed with the verdict "not run".
    MayHaveRun, ///< Failed before any part of the answer, with the verdict "may have run".
    Doubled,
    Cut, ///< The answer began and did not end completely, whatever error was reported.
    Wrong,
};

struct call_outcome
{
    call_end end = call_end::MayHaveRun;
    std::chrono::nanoseconds firstByte{0}; ///< Counted from `due`; only set for Whole.
    /// Number of attempts that were not run. Moving on to another address after a failed connection
    /// does not count; a round in which no address could be reached counts as one.
    std::uint32_t notRunAnswers = 0;
    std::string detail; ///< Error message of a failure.
};

/// Sends a call as docs/API.md requires of callers: to the best address, to the next one if no
/// connection can be made, and again with the same key only if the verdict is "not run".
/// @param due Scheduled time of the call; time spent waiting for a free stream counts as latency.
call_outcome performCall(const load_call &call, const caller_identity &identity,
                         address_cache &addressCache, http_pool &pool, mono_time due);

} // namespace poplarspool::bench
