#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"
#include "poplarspool/gateway/runner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Datagrams in which instances tell each other runners' rate limits, and share what a limit
/// permits. Their receivers are on instances of the same fleet; any of them may be lost.
namespace poplarspool::gateway {

/// What one instance knows of the limit of a runner.
struct limit_notice
{
    std::uint32_t runner = 0; ///< peer::runnerKey() of its id.
    std::uint64_t startedAtMs = 0; ///< Of its incarnation.
    std::optional<double> perSecond; ///< Empty: it has no limit any more.
    bool isInferred = false; ///< See rate_limit_observation, as for `stage`.
    engine_stage stage = engine_stage::None;
    /// When the reply that says so was asked for and heard, before the sending of this datagram.
    std::uint32_t askedAgoMs = 0;
    std::uint32_t heardAgoMs = 0;

    bool operator==(const limit_notice &) const = default;
};

/// Tells limits to others.
struct limit_update
{
    std::vector<limit_notice> notices;
    std::vector<endpoint> forwardTo; ///< Instances to which the receiver forwards the notices.

    bool operator==(const limit_update &) const = default;
};

/// Asks the issuer of a runner's permits for some of them.
struct permit_request
{
    std::uint64_t number = 0; ///< Matches the reply to the request.
    limit_notice known; ///< The limit, as the asker knows it.
    std::uint32_t count = 1;
    bool isUrgent = true;
    /// Requests that the asker sent to the runner in the second before it knew of the limit; 0 once
    /// the issuer has answered.
    std::uint32_t sentBefore = 0;

    bool operator==(const permit_request &) const = default;
};

struct permit_reply
{
    std::uint64_t number = 0;
    std::uint32_t granted = 0;
    std::uint32_t retryInMs = 0; ///< If none is granted: when asking again may help; 0: now.
    limit_notice known; ///< The limit, as the issuer knows it.

    bool operator==(const permit_reply &) const = default;
};

using limit_message = std::variant<limit_update, permit_request, permit_reply>;

/// @returns TooLarge if a list exceeds its bound, or an address is not numeric IPv4.
result<std::string> encode(const limit_message &message);
result<limit_message> decodeLimitMessage(std::string_view payload);

} // namespace poplarspool::gateway
