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

double transferTimeMs(const engine_traits &traits, std::uint32_t tokens)
{
    const double bits = 8.0 * static_cast<double>(traits.kvBytesPerToken) * tokens;
    const double bitsPerMs = std::max(traits.linkMbps, 1.0) * 1000;
    return config::kvTransferSetupMs + bits / bitsPerMs;
}

} // namespace poplarspool::gateway
