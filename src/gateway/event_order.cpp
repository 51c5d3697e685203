#include "gateway/event_order.h"

namespace poplarspool::gateway {

event_verdict event_order::add(const std::optional<std::uint64_t> &id)
{
    if (!id)
        return event_verdict::Pass;
    if (lastId && *id <= *lastId && !hasRunPassed)
        return event_verdict::Skip;
    if (lastId && *id <= *lastId) {
        isResumable = false;
        return event_verdict::OutOfOrder;
    }
    // Ids count events or tokens, and each event has a token at least.
    if (maxTokens > 0 && *id - lastId.value_or(0) > maxTokens)
        isResumable = false;
    lastId = id;
    hasRunPassed = true;
    return event_verdict::Pass;
}

} // namespace poplarspool::gateway
