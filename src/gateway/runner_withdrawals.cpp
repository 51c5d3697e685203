#include "gateway/request_proxy.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

/// A rest that has been asked for is kept also where a permit is held, and where no other runner is
/// left.
void request_proxy::markWithdrawn(std::vector<placement_candidate> &candidates) const
{
    if (context.withdrawalRegistry.isEmpty())
        return;
    for (placement_candidate &one : candidates) {
        const auto known = context.withdrawalRegistry.find(lifeOf(*one.target));
        if (known.kind == withdrawals::withdrawal_kind::Leaves)
            one.isLeaving = true;
        else if (forbidsSends(known))
            one.restsForMs = std::max(1.0, static_cast<double>(known.remaining.count()));
    }
}

/// Between the choice of the runner and the send lie the prefill of the prompt, a permit and a
/// connection: the runner may have said meanwhile that it leaves, or that it wants rest.
bool request_proxy::beginSend(const runner &target, const runner_connection &connection)
{
    lastCarrier = connection.carrierAddress;
    sentAt = context.clock.mono();
    lastWithdrawal = context.withdrawalRegistry.admit(lifeOf(target));
    const bool isWithheld = forbidsSends(lastWithdrawal);
    context.metrics.withheldSends.add(isWithheld ? 1 : 0);
    return !isWithheld;
}

request_proxy::try_end request_proxy::withhold(runner_call &call, sending &current)
{
    lastFault = nameOf(lastWithdrawal.kind);
    current.connection.connection = call.takeUnused();
    context.connections.releaseUnused(*current.place.serving, std::move(current.connection));
    return try_end::NotRun;
}

bool request_proxy::recordHead(const runner &target, const reply_head &head)
{
    const bool isRefused = !headerOf(head.headers, context.names.notRun).empty();
    const auto kind =
            isRefused ? withdrawals::answer_kind::Refused : withdrawals::answer_kind::Accepted;
    const auto reading = context.withdrawalRegistry.recordAnswer(
            {lifeOf(target), head.status, head.headers, kind, sentAt, metadata.id, lastCarrier});
    return reading.isLeaving || reading.rest;
}

} // namespace poplarspool::gateway
