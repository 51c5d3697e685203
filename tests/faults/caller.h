#pragma once

#include "bench/answer_check.h"
#include "poplarspool/base/http.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::faults {

/// How a call ended for its caller.
enum class call_end {
    Whole,
    NotRun, ///< The last answer was "not run".
    MayHaveRun, ///< Said so, or broken off visibly.
    Cut, ///< Looked whole and was not.
    Doubled, ///< A token came twice.
    Wrong, ///< Another call's answer, or nonsense.
};

/// One call with all its tries.
struct call_record
{
    std::string key; ///< Of a service call; empty for a completion.
    call_end end = call_end::NotRun;
    std::vector<std::string> notRunRequests; ///< Request ids of the tries answered "not run".
    bool hasBrokenOff = false; ///< Text came and then its end was missing.
    std::string detail;
    std::string body; ///< Of a service's whole answer.
};

/// What a caller wants: a streamed completion, or a keyed call of the service.
struct wanted_call
{
    std::string key; ///< Empty: a completion.
    std::string prompt;
    std::uint32_t tokens = 0;
    milliseconds timeLimit{15000};
};

/// Sends one try to that address.
call_record tryCall(const wanted_call &call, const endpoint &to, http_pool &pool);

/// Sends as docs/API.md tells callers to: on to the next address where a connection is refused, and
/// again after "not run", until the time limit is over.
call_record performCall(const wanted_call &call, const std::vector<endpoint> &addresses,
                        http_pool &pool);

} // namespace poplarspool::faults
