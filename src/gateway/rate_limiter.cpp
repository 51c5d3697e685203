#include "gateway/rate_limiter.h"

#include "poplarspool/peer/load_exchange.h"

#include <array>
#include <cstdio>

namespace poplarspool::gateway {

std::string textOfLimit(const std::optional<double> &perSecond)
{
    if (!perSecond)
        return "none";
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", *perSecond);
    return text.data();
}

rate_limiter::rate_limiter(std::string headerName, clock_source clock, metrics_registry &metrics,
                           journal &events)
    : headerName(std::move(headerName)), clock(std::move(clock)), events(events),
      limitedRunners(metrics.gaugeOf("poplarspool_gateway_limited_runners"))
{ }

/// A refusal without a limit ends none: a runner that is full may answer before it looks at its
/// limit.
void rate_limiter::recordReply(const runner &target, const http_headers &headers, reply_kind kind,
                               mono_time askedAt)
{
    const rate_limit_reading reading = readRateLimit(headers, headerName);
    if (reading.kind == rate_limit_kind::Unreadable
        || (reading.kind == rate_limit_kind::None && kind == reply_kind::Refused))
        return;
    rate_limit_observation observed{target.startedAtMs, std::nullopt, askedAt, clock.mono()};
    if (reading.kind == rate_limit_kind::Limited)
        observed.perSecond = reading.perSecond;
    if (const auto change = table.record(peer::runnerKey(target.id), observed))
        logChange(target, *change, observed);
}

std::optional<double> rate_limiter::limitOf(const runner &target) const
{
    const auto known = table.limitOf(peer::runnerKey(target.id), target.startedAtMs);
    return known ? known->perSecond : std::nullopt;
}

void rate_limiter::logChange(const runner &target, const rate_limit_change &change,
                             const rate_limit_observation &observed)
{
    limitedRunners.set(static_cast<std::int64_t>(table.limitedCount()));
    events.emit("runner_limit",
                {{"runner", target.id.text},
                 {"born", std::to_string(target.startedAtMs)},
                 {"before", textOfLimit(change.before)},
                 {"per_second", textOfLimit(change.after)},
                 {"asked_ms_ago", millisecondsText(observed.heardAt - observed.askedAt)}});
}

} // namespace poplarspool::gateway
