#include "caller/request_observer.h"

#include <algorithm>

namespace poplarspool::caller {

namespace {

constexpr std::string_view okCode = "ok";

std::string withLabels(std::string_view name, std::string_view labels)
{
    return std::string(name) + "{" + std::string(labels) + "}";
}

/// Only completions and service calls are logged. Address lookups and health checks are so frequent
/// that their events would displace those of real requests from the journal's ring buffer.
bool isLogged(route_kind route)
{
    return route == route_kind::Completions || route == route_kind::Services;
}

} // namespace

std::string_view nameOf(route_kind route)
{
    switch (route) {
    case route_kind::Addresses:
        return "addresses";
    case route_kind::Models:
        return "models";
    case route_kind::Completions:
        return "completions";
    case route_kind::Services:
        return "services";
    case route_kind::Health:
        return "healthz";
    case route_kind::Other:
        break;
    }
    return "other";
}

request_observer::request_observer(clock_source clock, metrics_registry &metrics, journal &events)
    : clock(std::move(clock)), events(events),
      openGauge(metrics.gaugeOf("poplarspool_requests_open"))
{
    for (std::size_t route = 0; route < routeCount; ++route) {
        const std::string label =
                "route=\"" + std::string(nameOf(static_cast<route_kind>(route))) + "\"";
        for (std::size_t code = 0; code <= codeCount; ++code) {
            const std::string_view name =
                    code < codeCount ? nameOf(static_cast<error_code>(code)) : okCode;
            const std::string labels = label + ",code=\"" + std::string(name) + "\"";
            requests[route][code] =
                    &metrics.counterOf(withLabels("poplarspool_requests_total", labels));
        }
        firstByteTime[route] =
                &metrics.latencyOf(withLabels("poplarspool_request_first_byte_seconds", label));
        totalTime[route] =
                &metrics.latencyOf(withLabels("poplarspool_request_whole_seconds", label));
    }
}

void request_observer::onRequestStarted(route_kind route, const request_head &head)
{
    openGauge.add(1);
    if (!isLogged(route))
        return;
    events.emit("request_in",
                {{"request", head.request.text},
                 {"workspace", head.workspace.text},
                 {"route", std::string(nameOf(route))}});
}

void request_observer::onRequestFinished(route_kind route, const request_head &head,
                                         const request_outcome &outcome,
                                         std::optional<mono_time> firstByteAt)
{
    openGauge.add(-1);
    const mono_time now = clock.mono();
    const auto elapsed = now - head.arrivedAt;
    const auto routeIndex = static_cast<std::size_t>(route);
    const std::size_t codeIndex =
            outcome.failure ? static_cast<std::size_t>(outcome.failure->code) : codeCount;
    requests[routeIndex][codeIndex]->add();
    firstByteTime[routeIndex]->record(firstByteAt.value_or(now) - head.arrivedAt);
    totalTime[routeIndex]->record(elapsed);
    if (!isLogged(route))
        return;
    const auto ms = std::chrono::duration_cast<milliseconds>(elapsed).count();
    std::vector<event_field> fields{
            {"request", head.request.text},
            {"workspace", head.workspace.text},
            {"route", std::string(nameOf(route))},
            {"status", std::to_string(outcome.status)},
            {"code", std::string(outcome.failure ? nameOf(outcome.failure->code) : okCode)},
            {"ms", std::to_string(ms)},
            {"tokens", std::to_string(outcome.tokens)}};
    if (outcome.failure)
        fields.push_back({"verdict", std::string(nameOf(outcome.failure->ran))});
    events.emit("request_out", std::move(fields));
}

void request_observer::onHandlerThrew(const request_head &head, std::string_view what)
{
    events.emit("handler_threw",
                {{"request", head.request.text},
                 {"workspace", head.workspace.text},
                 {"what", std::string(what)}});
}

std::uint32_t request_observer::openRequests() const
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(openGauge.get(), 0));
}

} // namespace poplarspool::caller
