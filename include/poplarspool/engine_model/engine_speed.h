#pragma once

#include "poplarspool/engine_model/limits.h"

#include <array>
#include <cstdint>
#include <span>

/// Speed of each engine relative to the others of its service and stage, learnt from measured
/// prefill times. It is meant for fleets whose engines differ in speed for longer than a few
/// requests, by their hardware or by other users of it: chosen evenly, the slow ones would answer
/// late while the fast ones are idle. Only measured times count, never what a runner reports about
/// itself. Pure functions over plain values: no I/O, no clock, no threads.
namespace poplarspool::engine_model {

/// What is known of one engine. Logarithms, so that twice as slow and twice as fast weigh the same.
struct speed_estimate
{
    std::array<float, config::speedWindow> window{}; ///< Logarithms of the last samples.
    std::uint32_t samples = 0; ///< Since the prior.
    double logPace = 0; ///< Logarithm of measured by expected time; without samples the prior.

    bool operator==(const speed_estimate &) const = default;
};

/// @returns The estimate of an engine that nothing is known of.
/// @param medianLog Result of medianLogOf() for its service and stage.
speed_estimate priorEstimate(double medianLog);

/// @param ratio Measured by expected prefill time; invalid values are ignored.
speed_estimate withSample(const speed_estimate &estimate, double ratio);

/// @returns The estimate, with its few samples counted from that prior; the same if it has enough
/// samples to count.
speed_estimate withPrior(const speed_estimate &estimate, double medianLog);

/// @returns Whether the estimate has enough samples to count.
bool isKnown(const speed_estimate &estimate);

/// @param logPaces Those of all estimates of a service and stage that count; reordered.
/// @returns Their median; 0 if there are none.
double medianLogOf(std::span<double> logPaces);

/// @returns The factor by which the engine's prefill time differs from the median's: 1 if it is
/// unknown or about equal; above 1: it is slower.
double factorOf(const speed_estimate &estimate, double medianLog);

} // namespace poplarspool::engine_model
