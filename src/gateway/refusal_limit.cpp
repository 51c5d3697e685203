#include "gateway/refusal_limit.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

std::optional<double> limitAfterRefusals(double acceptedPerSecond, bool hadLimit)
{
    if (hadLimit)
        return limitAfterRefusal(config::maxInferredLimit);
    if (acceptedPerSecond >= config::maxInferredLimit)
        return std::nullopt;
    return std::max(acceptedPerSecond, config::minFirstInferredLimit);
}

double limitAfterRefusal(double perSecond)
{
    return std::max(perSecond * config::inferredLimitDecrease, config::minInferredLimit);
}

std::optional<double> limitAfterAcceptance(double perSecond)
{
    const double next = perSecond * config::inferredLimitIncrease;
    return next < config::maxInferredLimit ? std::optional(next) : std::nullopt;
}

} // namespace poplarspool::gateway
