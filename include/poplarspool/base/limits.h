#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits and defaults that several libraries share, and those of the base library. Values that an
/// operator may change have their defaults here; docs/SETTINGS.md lists the settings keys that
/// override them.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Maximum size of one request's headers, in bytes.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;
/// Maximum size of one request's body, in bytes.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Maximum size of a request that may use the whole memory budget, in bytes, and the part of the
/// budget that is kept for such requests: one in so many.
inline constexpr std::size_t smallRequestBytes = 128 * 1024;
inline constexpr std::size_t smallRequestReserveDivisor = 4;
/// Share of a process's memory that requests and answers may hold together. The rest is for the
/// configuration, the threads and what the kernel has received for the process.
inline constexpr double requestMemoryShare = 0.4;
/// Default memory limit of a process, in MiB.
inline constexpr double defaultMemoryMb = 256;
/// Minimum Retry-After of a request that the memory budget can't take: about the time of one.
inline constexpr std::chrono::milliseconds memoryRetryAfter = 300ms;
/// Receive buffer of a connection, in bytes, of which the kernel reserves twice as many. By default
/// it grows to megabytes, and what is unread counts as memory of the process.
inline constexpr int receiveBufferBytes = 64 * 1024;
/// Size from which a block of memory is mapped by itself, in bytes, and returned when it is freed.
inline constexpr int mappedBlockBytes = 128 * 1024;
/// Number of the allocator's arenas. Each retains what its threads have freed, and with one thread
/// per connection there would be many.
inline constexpr int mallocArenas = 2;
/// Maximum nesting depth of JSON received from outside. JSON values are copied and destroyed
/// recursively, on thread stacks of connectionStackBytes.
inline constexpr std::size_t maxJsonDepth = 64;
/// Maximum number of open caller connections of one instance. Each takes one thread.
inline constexpr std::uint32_t maxCallerConnections = 1200;
/// Time limit for receiving a whole request from a caller.
inline constexpr std::chrono::milliseconds requestReadTimeout = 10s;
/// Time for which one write to a caller may block before its connection is closed.
inline constexpr std::chrono::milliseconds callerWriteTimeout = 10s;
/// Idle time after which the server closes a keep-alive connection.
inline constexpr std::chrono::milliseconds keepAliveTimeout = 15s;
/// Maximum number of requests served on one keep-alive connection.
inline constexpr std::size_t keepAliveRequests = 10000;
/// Backlog of a listening socket: connections the kernel queues until the server accepts them.
inline constexpr int listenBacklog = 4096;
/// Stack size of a connection thread. Only the pages it touches take up memory.
inline constexpr std::size_t connectionStackBytes = 512 * 1024;
/// Time for which an idle connection thread waits for another connection before it ends.
inline constexpr std::chrono::milliseconds idleThreadTimeout = 2s;
/// Time for which a connection stays half-closed after an early reply, so that the caller can read
/// the reply before the connection is closed.
inline constexpr std::chrono::milliseconds lingeringCloseTimeout = 1s;
/// Time for which callers may cache the reply of /v1/addresses, in seconds.
inline constexpr std::chrono::seconds addressKeepTime = 10s;
/// Maximum time limit that a request may set.
inline constexpr std::chrono::milliseconds maxTimeLimit = 10min;
/// Maximum length of an idempotency key, request id, workspace or caller name, in bytes.
inline constexpr std::size_t maxNameBytes = 128;
/// Maximum length of the version of a runner's software; of a longer one, its SHA-256 is kept.
inline constexpr std::size_t maxSoftwareVersionBytes = 64;
/// Time limit for connecting to a target or peer.
inline constexpr std::chrono::milliseconds connectTimeout = 500ms;
/// Idle time after which a pooled connection is closed. Shorter than keepAliveTimeout and than the
/// 5 s that are the default of many servers, so that a request is rarely sent on a connection that
/// its server is closing.
inline constexpr std::chrono::milliseconds idleConnectionTimeout = 4s;
/// Interval at which expired idle connections are closed.
inline constexpr std::chrono::milliseconds poolSweepInterval = 1s;
/// Maximum size of a reply body collected in memory, and of the headers of any reply, in bytes.
inline constexpr std::size_t maxReplyBytes = 16 * 1024 * 1024;
inline constexpr std::size_t maxReplyHeaderBytes = 64 * 1024;
/// Interval at which load reports are polled from a runner.
inline constexpr std::chrono::milliseconds loadPollInterval = 250ms;
/// Maximum size of one object in bytes, as set by the platform.
inline constexpr std::size_t maxObjectBytes = 1024 * 1024;
/// Time limit of one call to the object API.
inline constexpr std::chrono::milliseconds storeCallTimeout = 2s;
/// Rate limit of one instance's store calls: sustained rate in calls per second, and burst size.
inline constexpr double storeCallsPerSecond = 20.0;
inline constexpr double storeCallBurst = 40.0;
/// Interval between two gossip rounds of one instance.
inline constexpr std::chrono::milliseconds gossipInterval = 200ms;
/// Interval between two iterations of the planner of a pool.
inline constexpr std::chrono::milliseconds planInterval = 500ms;
/// Pause of a long-lived thread after a failed step.
inline constexpr std::chrono::milliseconds failedStepPause = 200ms;
/// Number of events in one instance's ring buffer.
inline constexpr std::size_t eventRingSize = 4096;
/// Maximum number of log lines that one process writes per second. Further lines are dropped and
/// counted.
inline constexpr std::uint64_t maxLogLinesPerSecond = 500;
/// Time limit for writing the last log line of a process, which reports the exception that ends it.
inline constexpr std::chrono::milliseconds finalLogLineTimeout = 1s;
/// Maximum lead of a peer's wall clock over the local one. Timestamps further ahead don't advance
/// the local hybrid clock.
inline constexpr std::chrono::milliseconds maxClockLead = 10min;

} // namespace poplarspool::config
