#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/gateway/runner.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// Rate limits that runners name in their replies: how many requests per second a runner takes from
/// all instances together. Pure functions over plain values.
namespace poplarspool::gateway {

enum class rate_limit_kind {
    None, ///< The reply names no limit.
    Limited,
    Unreadable, ///< It names something that is no limit: neither begins nor ends one.
};

/// What one reply says about the runner's rate limit.
struct rate_limit_reading
{
    rate_limit_kind kind = rate_limit_kind::None;
    double perSecond = 0; ///< In [config::minRateLimit, config::maxRateLimit] if limited.

    bool operator==(const rate_limit_reading &) const = default;
};

/// @param name Name of the header. If a reply has it more than once, the lowest readable value
///             counts.
rate_limit_reading readRateLimit(const http_headers &headers, std::string_view name);

/// What was heard about the limit of one incarnation of a runner.
struct rate_limit_observation
{
    std::uint64_t startedAtMs = 0; ///< Of the incarnation; 0 if not reported.
    std::optional<double> perSecond; ///< Empty: it has no limit.
    /// The runner has not named the limit: it follows from its refusals.
    bool isInferred = false;
    engine_stage stage = engine_stage::None; ///< An inferred limit holds in this stage only.
    /// The runner wrote the reply between these two times: after the request was sent, and before
    /// the reply arrived.
    mono_time askedAt{};
    mono_time heardAt{};

    bool operator==(const rate_limit_observation &) const = default;
};

/// Replies on different connections overtake each other, and the head of a long answer may have
/// been written long before it is read. Only an observation that was asked for after the other was
/// heard is certainly newer; of two that overlap, the stricter one holds.
/// @returns The one of the two observations of a runner that holds.
const rate_limit_observation &validOf(const rate_limit_observation &known,
                                      const rate_limit_observation &next);

} // namespace poplarspool::gateway
