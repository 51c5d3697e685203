#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/placement.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::gateway {

namespace {

/// Prefill speed of an engine of one stage.
struct prefill_speed
{
    double tokensPerMs;
    double chunkTokens; ///< Prefilled in one step.
};

prefill_speed prefillSpeedOf(engine_stage stage)
{
    if (stage == engine_stage::Prefill)
        return {config::prefillTokensPerMs, config::prefillChunkTokens};
    return {config::prefillTokensPerMs * config::decodeStagePrefillShare,
            config::prefillChunkTokens * config::decodeStageChunkShare};
}

} // namespace

double prefillTimeMs(engine_stage stage, std::uint32_t promptTokens, std::uint32_t cached)
{
    const double cachedTokens = std::min(cached, promptTokens);
    const double tokensLeft = promptTokens - cachedTokens;
    const prefill_speed speed = prefillSpeedOf(stage);
    const double steps = std::ceil(tokensLeft / speed.chunkTokens);
    // Each token attends to all tokens before it.
    const double millionPairs = tokensLeft * (cachedTokens + tokensLeft / 2) / 1e6;
    return config::promptSetupMs + tokensLeft / speed.tokensPerMs + steps * config::engineStepMs
            + millionPairs * config::attentionMsPerMillionPairs;
}

/// Tracks a quantile by small steps instead of a mean: single prompts take many times as long as
/// expected if another instance's prompts came before them or if a cache entry was evicted, and
/// would distort a mean. With this quantile, four in five of the requests that are expected to be
/// just on time are on time.
engine_pace updatePace(const engine_pace &pace, double expectedMs, double tookMs)
{
    engine_pace next = pace;
    const bool isSlower = tookMs > expectedMs + pace.firstTokenMs;
    const double step =
            isSlower ? 1 + config::paceStep * config::slowPromptWeight : 1 / (1 + config::paceStep);
    if (expectedMs > config::minPaceSampleMs)
        next.scale = std::clamp(pace.scale * step, 1 / config::maxPaceScale, config::maxPaceScale);
    else
        next.firstTokenMs = std::clamp(pace.firstTokenMs * step, config::minFirstTokenMs,
                                       config::maxFirstTokenMs);
    return next;
}

double transferTimeMs(const engine_traits &traits, std::uint32_t tokens)
{
    const double bits = 8.0 * static_cast<double>(traits.kvBytesPerToken) * tokens;
    const double bitsPerMs = std::max(traits.linkMbps, 1.0) * 1000;
    return config::kvTransferSetupMs + bits / bitsPerMs;
}

} // namespace poplarspool::gateway
