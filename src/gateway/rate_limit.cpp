#include "poplarspool/gateway/rate_limit.h"

#include "base/http_text.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace poplarspool::gateway {

namespace {

std::optional<double> parseLimit(std::string_view text)
{
    if (text.size() > config::maxRateLimitDigits)
        return std::nullopt;
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (text.empty() || fault != std::errc{} || stop != end || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return std::clamp(value, config::minRateLimit, config::maxRateLimit);
}

bool isLimitLower(const std::optional<double> &one, const std::optional<double> &other)
{
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    return one.value_or(unlimited) < other.value_or(unlimited);
}

} // namespace

rate_limit_reading readRateLimit(const http_headers &headers, std::string_view name)
{
    rate_limit_reading reading;
    for (const auto &[header, value] : headers) {
        if (name.empty() || !equalsIgnoringCase(header, name))
            continue;
        const auto limit = parseLimit(trimmed(value));
        if (reading.kind == rate_limit_kind::None)
            reading.kind = rate_limit_kind::Unreadable;
        if (!limit)
            continue;
        const bool isFirst = reading.kind != rate_limit_kind::Limited;
        reading = {rate_limit_kind::Limited,
                   isFirst ? *limit : std::min(reading.perSecond, *limit)};
    }
    return reading;
}

const rate_limit_observation &validOf(const rate_limit_observation &known,
                                      const rate_limit_observation &next)
{
    const bool areIncarnationsKnown = known.startedAtMs != 0 && next.startedAtMs != 0;
    if (areIncarnationsKnown && known.startedAtMs != next.startedAtMs)
        return known.startedAtMs < next.startedAtMs ? next : known;
    if (next.askedAt >= known.heardAt)
        return next;
    if (known.askedAt >= next.heardAt)
        return known;
    return isLimitLower(next.perSecond, known.perSecond) ? next : known;
}

} // namespace poplarspool::gateway
