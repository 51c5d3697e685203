#pragma once

#include "poplarspool/base/metrics.h"
#include "poplarspool/gateway/catalogue.h"

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace poplarspool::gateway {

/// What the caller of a request received.
enum class route_outcome {
    InTime, ///< An answer within the route's latency objective.
    Late, ///< An answer after that.
    Refused, ///< An error with the guarantee that the request has not run.
    Failed, ///< Another error, or an answer that broke off.
    CallerGone, ///< The caller left before the end of its answer.
};

/// Fault with which a request ends whose caller has left.
inline constexpr std::string_view callerGoneFault = "caller_gone";

/// A request at its end.
struct ended_request
{
    int status = 0; ///< Of the complete reply; 0 if there is none, or a stream was passed on.
    bool isRunnersReply = false; ///< The complete reply is that of a runner.
    std::string_view fault; ///< Of the last send; empty if it had none.
    /// Time from arrival to the runner's first byte; the same as untilEnd if there was none.
    std::chrono::nanoseconds untilFirstByte{0};
    std::chrono::nanoseconds untilEnd{0}; ///< Time from arrival to the end of the answer.

    bool operator==(const ended_request &) const = default;
};

/// The latency objective applies to the first byte of a stream, and to the complete answer of a
/// plain request.
route_outcome outcomeOf(const route &owner, const ended_request &ended);

/// Counts by route what callers received.
class route_outcomes
{
public:
    explicit route_outcomes(metrics_registry &registry);

    /// @param owner Null if the request has no route; it is not counted then.
    void record(const route *owner, const ended_request &ended);

private:
    struct route_counters
    {
        counter *asked = nullptr;
        std::array<counter *, 4> answers{}; ///< By route_outcome; callers that left have none.
    };

    route_counters countersFor(const std::string &name);
    route_counters createCounters(std::string_view name);

    metrics_registry &registry;
    const route_counters others; ///< Of all routes beyond the limit.
    std::mutex mutex;
    std::map<std::string, route_counters> countersByName;
};

} // namespace poplarspool::gateway
