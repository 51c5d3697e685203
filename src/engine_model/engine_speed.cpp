#include "poplarspool/engine_model/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::engine_model {

namespace {

/// Quantile of the samples in the window.
double quantileOf(const speed_estimate &estimate)
{
    auto sorted = estimate.window;
    const std::size_t count = std::min<std::size_t>(estimate.samples, sorted.size());
    const auto rank =
            static_cast<std::ptrdiff_t>(config::speedQuantile * static_cast<double>(count));
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(sorted.begin(), sorted.begin() + rank, end);
    return sorted[static_cast<std::size_t>(rank)];
}

speed_estimate withLogSample(const speed_estimate &estimate, float logSample)
{
    static const double maxStep = std::log(config::maxSpeedStep);
    speed_estimate next = estimate;
    next.window[next.samples % next.window.size()] = logSample;
    ++next.samples;
    next.logPace += std::clamp(quantileOf(next) - next.logPace, -maxStep, maxStep);
    return next;
}

} // namespace

speed_estimate priorEstimate(double medianLog)
{
    speed_estimate prior;
    prior.logPace = medianLog;
    return prior;
}

speed_estimate withSample(const speed_estimate &estimate, double ratio)
{
    if (!std::isfinite(ratio) || ratio <= 0)
        return estimate;
    const double bounded = std::clamp(ratio, config::minSpeedSample, config::maxSpeedSample);
    return withLogSample(estimate, static_cast<float>(std::log(bounded)));
}

speed_estimate withPrior(const speed_estimate &estimate, double medianLog)
{
    if (isKnown(estimate))
        return estimate;
    speed_estimate made = priorEstimate(medianLog);
    for (std::uint32_t i = 0; i < estimate.samples; ++i)
        made = withLogSample(made, estimate.window[i]);
    return made;
}

bool isKnown(const speed_estimate &estimate)
{
    return estimate.samples >= config::minSpeedSamples;
}

double medianLogOf(std::span<double> logPaces)
{
    if (logPaces.empty())
        return 0;
    const auto middle = logPaces.begin() + static_cast<std::ptrdiff_t>(logPaces.size() / 2);
    std::nth_element(logPaces.begin(), middle, logPaces.end());
    // Of two engines, neither is the usual one.
    return logPaces.size() % 2 == 1 ? *middle
                                    : (*middle + *std::max_element(logPaces.begin(), middle)) / 2;
}

double factorOf(const speed_estimate &estimate, double medianLog)
{
    if (!isKnown(estimate))
        return 1;
    const double factor = std::exp(estimate.logPace - medianLog);
    const bool isUsual = factor > config::maxFastFactor && factor < config::minSlowFactor;
    return isUsual ? 1 : std::clamp(factor, config::minSpeedFactor, config::maxSpeedFactor);
}

} // namespace poplarspool::engine_model
