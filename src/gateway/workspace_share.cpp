#include "gateway/request_proxy.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace poplarspool::gateway {

namespace {

/// Makes the selection of requests above the share independent of other uses of the secret seed,
/// without which callers could choose ids that are within the share.
constexpr std::uint64_t shareSeed = 0x5348415245;

std::string textOfShare(const share_state &state)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.2f/%.2f age_ms=%lld", state.verdict.share,
                  state.verdict.fairShare, static_cast<long long>(state.age.count()));
    return text.data();
}

} // namespace

/// Requests without a workspace share one key.
std::uint32_t request_proxy::shareKey() const
{
    return peer::workspaceKey(owner != nullptr ? owner->id.text : std::string());
}

bool request_proxy::hasShares() const
{
    return context.shares != nullptr && engine != nullptr && view->table->needsKeys;
}

void request_proxy::recordAsked()
{
    if (hasShares())
        context.shares->recordAsked(service, shareKey());
}

void request_proxy::recordSent(const placement &place)
{
    if (!hasShares())
        return;
    const std::uint64_t prefill =
            metadata.promptTokens - std::min(place.cachedTokens, metadata.promptTokens);
    const std::uint64_t output = metadata.outputTokens;
    context.shares->recordSent(service, shareKey(), prefill + output * config::workPerOutputToken);
}

void request_proxy::recordShortage(const placement_query &query,
                                   const std::variant<placement, no_placement> &found)
{
    if (hasShares() && isShortage(query, found))
        context.shares->recordShortage(service);
}

/// What has begun or is prefilled goes on: the work for it has been done.
void request_proxy::applyShare(placement_query &query)
{
    if (!hasShares() || hasBegun || query.isPrefilled)
        return;
    const std::uint64_t draw = hashOf(metadata.id, context.digestSeed ^ shareSeed);
    const auto above = context.shares->findAboveShare(service, shareKey(), toUnitInterval(draw));
    query.isAboveShare = above.has_value();
    if (!above)
        return;
    if (shareText.empty())
        context.metrics.aboveShare.add();
    shareText = textOfShare(*above);
}

} // namespace poplarspool::gateway
