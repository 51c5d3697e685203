#pragma once

#include "caller/reply_tracker.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/caller/caller_server.h"

#include <array>
#include <string_view>

namespace poplarspool::caller {

/// Routes of the caller API, as labels of metrics and events.
enum class route_kind { Addresses, Models, Completions, Services, Health, Other };

std::string_view nameOf(route_kind route);

/// Outcome of a request.
struct request_outcome
{
    int status = 0;
    std::optional<error> failure; ///< Empty: complete reply.
    std::uint32_t tokens = 0;
};

/// Records metrics and events of requests. Looks up every metric once at construction, so that
/// requests don't take the registry's lock.
class request_observer
{
public:
    request_observer(clock_source clock, metrics_registry &metrics, journal &events);

    void onRequestStarted(route_kind route, const request_head &head);
    void onRequestFinished(route_kind route, const request_head &head,
                           const request_outcome &outcome, std::optional<mono_time> firstByteAt);
    /// Records an exception that a handler threw.
    void onHandlerThrew(const request_head &head, std::string_view what);

    std::uint32_t openRequests() const;

private:
    static constexpr std::size_t routeCount = static_cast<std::size_t>(route_kind::Other) + 1;
    static constexpr std::size_t codeCount = static_cast<std::size_t>(error_code::Internal) + 1;
    /// One counter per error code, and the last one for successful requests.
    using code_counters = std::array<counter *, codeCount + 1>;

    clock_source clock;
    journal &events;
    gauge &openGauge;
    std::array<code_counters, routeCount> requests{};
    std::array<latency_histogram *, routeCount> firstByteTime{};
    std::array<latency_histogram *, routeCount> totalTime{};
};

} // namespace poplarspool::caller
