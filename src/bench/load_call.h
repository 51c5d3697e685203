#pragma once

#include "bench/address_book.h"
#include "bench/answer_check.h"

#include <cstdint>
#include <string>

namespace poplarspool::bench {

/// One request of a caller: a completion, or a call of a plain service.
struct load_call
{
    std::string model; ///< Empty for a service.
    std::string service;
    std::string servicePath; ///< Without its last part.
    std::string prompt; ///< Of a service call: its path's last part, and its body.
    std::uint32_t maxTokens = 0;
    bool isStreamed = false;
    std::string workspace;
    std::string idempotencyKey; ///< Empty: none is sent.
    milliseconds timeLimit{60000};

    bool operator==(const load_call &) const = default;
};

/// How a request ended for its caller; each request ends in one of these.
enum class call_end {
    Whole,
    Refused, ///< The last word was "not run".
    MayHaveRun, ///< Failed before any of its answer came.
    Doubled,
    Cut, ///< Its answer began and did not end whole, whatever was said then.
    Wrong,
};

struct call_outcome
{
    call_end end = call_end::MayHaveRun;
    std::chrono::nanoseconds firstByte{0}; ///< From when it was due; only where whole.
    std::uint32_t notRunAnswers = 0; ///< Of all its tries.
    std::string detail; ///< What was said of a failure.
};

/// Sends a call as docs/API.md tells callers to: to the best address, to the next one where the
/// connection is refused, and again, with the same key, only where the verdict is "not run".
/// @param due When it should have been sent: time spent waiting for a free stream counts.
call_outcome performCall(const load_call &call, const caller_identity &who, address_book &book,
                         http_pool &pool, mono_time due);

} // namespace poplarspool::bench
