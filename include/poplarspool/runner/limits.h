#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of calls to targets.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Maximum length of one line of an engine's stream, in bytes.
inline constexpr std::size_t maxStreamLineBytes = 256 * 1024;
/// Time limit of a short call to a target: load report, cancellation, cache events.
inline constexpr std::chrono::milliseconds targetCallTimeout = 1s;
/// Time limit for transferring one stream's KV cache to or from an engine.
inline constexpr std::chrono::milliseconds kvTransferTimeout = 10s;
/// Maximum number of bytes read of a target's error reply.
inline constexpr std::size_t maxTargetErrorBytes = 16 * 1024;

} // namespace poplarspool::config
