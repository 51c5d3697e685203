#include "gateway/request_proxy.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <algorithm>
#include <thread>

namespace poplarspool::gateway {

/// A request that has begun, here or by a prefill elsewhere, may wait for a permit or for the end
/// of a rest: refused, that work would be lost. Others are refused at once.
std::optional<placement> request_proxy::findPermittedPlacement(const runner *prefillEngine)
{
    const bool mayWait = hasBegun || isTakeUp() || prefillEngine != nullptr;
    const mono_time waitEndsAt = std::min(
            endsAt, context.clock.mono() + (mayWait ? config::maxPermitWait : milliseconds(0)));
    const std::string faultBefore = lastFault;
    while (true) {
        lastFault = faultBefore;
        auto place = findPlacement(prefillEngine);
        if (place && acquirePermits(*place))
            return place;
        // Denied: the runners that are left are tried.
        if (place)
            continue;
        if (!isWaitUseful || isCallerGone()
            || context.clock.mono() + config::minPermitRetryTime >= waitEndsAt)
            return std::nullopt;
        std::this_thread::sleep_for(config::minPermitRetryTime);
        deniedRunners.clear();
    }
}

/// The permit for the engine that is to serve the request is acquired before its prompt is
/// prefilled elsewhere: without it, the prefill would be in vain.
bool request_proxy::acquirePermits(const placement &place)
{
    for (const runner_entry &target : {place.serving, place.prefill}) {
        if (!target || holdsPermit(*target))
            continue;
        const auto acquired = context.rateLimiter.acquire(*target, place.urgency);
        const auto *permit = std::get_if<rate_permit>(&acquired);
        if (permit == nullptr) {
            deniedRunners.push_back(target->id);
            return false;
        }
        if (permit->isLimited)
            heldPermits.push_back(*permit);
    }
    return true;
}

bool request_proxy::holdsPermit(const runner &target)
{
    const mono_time now = context.clock.mono();
    std::erase_if(heldPermits, [now](const rate_permit &one) { return one.expiresAt <= now; });
    return std::ranges::find(heldPermits, peer::runnerKey(target.id), &rate_permit::runner)
            != heldPermits.end();
}

void request_proxy::usePermit(const runner &target)
{
    const auto held =
            std::ranges::find(heldPermits, peer::runnerKey(target.id), &rate_permit::runner);
    if (held != heldPermits.end())
        heldPermits.erase(held);
}

void request_proxy::releasePermits()
{
    for (const rate_permit &one : heldPermits)
        context.rateLimiter.release(one);
    heldPermits.clear();
}

void request_proxy::markLimited(std::vector<placement_candidate> &candidates)
{
    context.rateLimiter.markLimited(candidates);
    for (placement_candidate &one : candidates) {
        if (holdsPermit(*one.target))
            one.limitedForMs = 0;
        else if (std::ranges::find(deniedRunners, one.target->id) != deniedRunners.end())
            one.limitedForMs = std::max(one.limitedForMs,
                                        static_cast<double>(config::minPermitRetryTime.count()));
    }
}

} // namespace poplarspool::gateway
