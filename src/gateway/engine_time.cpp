#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/placing.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::gateway {

namespace {

/// How an engine of one stage reads prompts.
struct reading_pace
{
    double tokensPerMs;
    double chunkTokens; ///< Read in one step.
};

reading_pace paceOf(engine_stage stage)
{
    if (stage == engine_stage::Prefill)
        return {config::prefillTokensPerMs, config::prefillChunkTokens};
    return {config::prefillTokensPerMs * config::decodeStagePrefillShare,
            config::prefillChunkTokens * config::decodeStageChunkShare};
}

} // namespace

double readingTimeMs(engine_stage stage, std::uint32_t promptTokens, std::uint32_t cached)
{
    const double before = std::min(cached, promptTokens);
    const double left = promptTokens - before;
    const reading_pace pace = paceOf(stage);
    const double steps = std::ceil(left / pace.chunkTokens);
    // Each token attends to all before it.
    const double millionPairs = left * (before + left / 2) / 1e6;
    return config::promptSetupMs + left / pace.tokensPerMs + steps * config::engineStepMs
            + millionPairs * config::attentionMsPerMillionPairs;
}

/// A quantile is followed, step by step: single prompts take many times as long as expected, where
/// another instance's came before them or a cache was gone, and a mean would follow these. Of the
/// requests that are expected to be just on time, four in five then are.
engine_pace learnPace(const engine_pace &pace, double expectedMs, double tookMs)
{
    engine_pace next = pace;
    const bool isSlower = tookMs > expectedMs + pace.firstMs;
    const double step =
            isSlower ? 1 + config::paceStep * config::onTimeOdds : 1 / (1 + config::paceStep);
    if (expectedMs > config::tellingReadMs)
        next.scale =
                std::clamp(pace.scale * step, 1 / config::mostPaceScale, config::mostPaceScale);
    else
        next.firstMs = std::clamp(pace.firstMs * step, config::leastFirstMs, config::mostFirstMs);
    return next;
}

double transferTimeMs(const engine_traits &traits, std::uint32_t tokens)
{
    const double bits = 8.0 * static_cast<double>(traits.kvBytesPerToken) * tokens;
    const double bitsPerMs = std::max(traits.linkMbps, 1.0) * 1000;
    return config::kvTransferSetupMs + bits / bitsPerMs;
}

} // namespace poplarspool::gateway
