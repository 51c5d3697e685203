#pragma once

#include <chrono>
#include <cstddef>

/// Limits of the records of who began a stream.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Instances that keep the record of a stream, besides the one that passes it on. If six in ten
/// instances are killed at once, one stream in twenty loses its record.
inline constexpr std::size_t originHolders = 6;
/// Instances that are asked for a record: more than keep it, since some may have joined since it
/// was sent.
inline constexpr std::size_t askedOriginHolders = 8;
/// Time-out for their replies, about ten round trips.
inline constexpr std::chrono::milliseconds originReplyTimeout = 25ms;
/// Queries that wait for replies at the same time.
inline constexpr std::size_t maxOriginQueries = 256;
/// Records that one instance keeps, of about 100 bytes each; beyond that, the oldest are evicted.
inline constexpr std::size_t maxStreamOrigins = 32'768;
/// Time for which a record outlasts its caller's time limit, for the caller's last attempt to
/// arrive; and the longest time for which one is kept.
inline constexpr std::chrono::milliseconds originMargin = 2s;
inline constexpr std::chrono::milliseconds maxOriginRetention = 10min;
/// Time for which a take-up without a record waits for a confirmation of the runners that is as of
/// its arrival, and the interval at which it looks for one. Relays get a confirmation from the
/// store at least every 1.3 s, which counts as of 0.3 s before its arrival; callers leave after 2
/// s.
inline constexpr std::chrono::milliseconds takeUpProofTimeout = 1800ms;
inline constexpr std::chrono::milliseconds takeUpProofInterval = 10ms;
/// Time without a confirmation after which runners of other versions may have come and gone unseen;
/// in normal operation confirmations are at most 2.4 s apart.
inline constexpr std::chrono::milliseconds maxUnseenRunnerTime = 2500ms;
/// Interval at which the exchange wakes up without datagrams.
inline constexpr std::chrono::milliseconds idleOriginInterval = 5s;

} // namespace poplarspool::config
