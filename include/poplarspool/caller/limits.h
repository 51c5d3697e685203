#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of what callers may ask for.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Maximum number of output tokens that a completion may request.
inline constexpr std::uint32_t maxOutputTokens = 32768;
/// Maximum number of output tokens of a completion that sets no limit.
inline constexpr std::uint32_t defaultOutputTokens = 256;
/// Maximum length of a bearer key, in bytes.
inline constexpr std::size_t maxBearerKeyBytes = 1024;
/// Maximum size of an answer collected for a caller that didn't request streaming, in bytes.
inline constexpr std::size_t maxCollectedAnswerBytes = 4 * 1024 * 1024;
/// Number of tokens of a collected answer between two checks that the caller is still connected.
inline constexpr std::uint32_t callerGoneCheckTokens = 16;

} // namespace poplarspool::config
