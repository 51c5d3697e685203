#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"
#include "poplarspool/withdrawals/withdrawal.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Datagrams in which instances tell each other what runners have said of themselves. Any of them
/// may be lost.
namespace poplarspool::withdrawals {

/// A runner that leaves, or one that rests.
struct withdrawal_notice
{
    runner_life runner;
    std::uint32_t restMs = 0; ///< What is left of its rest; 0: it leaves.

    bool operator==(const withdrawal_notice &) const = default;
};

struct withdrawal_update
{
    std::vector<withdrawal_notice> notices; ///< At most config::maxWithdrawalNotices.
    std::vector<endpoint> forwardTo; ///< Instances to which the receiver forwards the notices.

    bool operator==(const withdrawal_update &) const = default;
};

/// @returns TooLarge if a list or a name exceeds its bound, or an address is not numeric IPv4.
result<std::string> encode(const withdrawal_update &update);
result<withdrawal_update> decodeWithdrawalUpdate(std::string_view payload);

} // namespace poplarspool::withdrawals
