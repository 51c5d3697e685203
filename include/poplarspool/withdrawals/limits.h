#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of what runners say of themselves in their answers.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Longest rest that is kept. A runner that means more says so again, to the one request that it
/// gets then; one whose word is wrong is away for no longer.
inline constexpr std::chrono::milliseconds maxRest = 10min;
/// Maximum length of the text of a rest.
inline constexpr std::size_t maxRestDigits = 32;
/// Time for which a runner counts as leaving after it has said so: longer than runners take to
/// leave, and one whose word is wrong is away for no longer.
inline constexpr std::chrono::milliseconds leaveRetention = 10min;
/// Runners that are remembered, of each kind; beyond that, those heard of first are evicted.
inline constexpr std::size_t maxWithdrawnRunners = 16'384;
/// After a rest, a runner gets one request; each request that it accepts permits this many more at
/// the same time, and after this number of them the rest is over.
inline constexpr std::uint32_t triesPerAcceptance = 3;
inline constexpr std::uint32_t acceptancesToReturn = 5;
/// Time after which another request is sent although the last ones have not been answered: longer
/// than a runner takes to accept a request.
inline constexpr std::chrono::milliseconds returnTryTime = 1s;
/// A rest that ends at most this much later than the one that is known gets no log line.
inline constexpr std::chrono::milliseconds loggedRestStep = 500ms;
/// Runners that one datagram names: it holds as many also with the longest names.
inline constexpr std::size_t maxWithdrawalNotices = 8;
/// How often other instances are told of a runner, against lost datagrams and for instances that
/// have just started; the time between; and the number of runners that they are told of again.
inline constexpr int withdrawalNoticeSends = 3;
inline constexpr std::chrono::milliseconds withdrawalNoticeInterval = 2s;
inline constexpr std::size_t maxPendingWithdrawals = 4096;

} // namespace poplarspool::config
