#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the model of engines.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Samples that an estimate is made of. With the quantile below, a change of speed shows after 34
/// samples if the engine became slower and after 15 if it became faster. With 16 or 32, noise
/// made single engines of a uniform fleet fast.
inline constexpr std::size_t speedWindow = 48;
/// Quantile of these samples. Waits for prompts that this instance did not know of only lengthen a
/// sample, so the low ones tell the speed; the lowest may be of a prompt that was cached.
inline constexpr double speedQuantile = 0.3;
/// Samples from which an estimate counts.
inline constexpr std::uint32_t minSpeedSamples = 5;
/// Maximum factor by which one sample moves the estimate: a stall must not make an engine slow.
inline constexpr double maxSpeedStep = 1.1;
/// Bounds of a sample, against invalid ones.
inline constexpr double minSpeedSample = 0.01;
inline constexpr double maxSpeedSample = 100;
/// Bounds of a factor: placement must neither flood an engine nor never try it again.
inline constexpr double minSpeedFactor = 0.3;
inline constexpr double maxSpeedFactor = 4;
/// Factors between these are the noise of samples and count as 1.
inline constexpr double maxFastFactor = 0.85;
inline constexpr double minSlowFactor = 1.2;
/// Interval at which the median of a service and stage is computed again.
inline constexpr std::chrono::milliseconds speedMedianInterval = 500ms;
/// Time without samples after which an estimate is forgotten. An engine that is chosen less often
/// because it was slow would otherwise not be tried again at low load.
inline constexpr std::chrono::milliseconds speedExpiry = 30s;

} // namespace poplarspool::config
