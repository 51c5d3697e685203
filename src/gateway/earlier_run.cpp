#include "gateway/request_proxy.h"
#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <thread>

namespace poplarspool::gateway {

/// A runner may lose its answer to a request and go on working on it: two runners would then write
/// the same stream.
void request_proxy::awaitEndOfRun(const runner &target) const
{
    const mono_time lostAt = context.clock.mono();
    bool hasWaited = false;
    while (timeLeft() >= config::minSendTime && !isCallerGone() && isWorkedOn(target)) {
        hasWaited = true;
        std::this_thread::sleep_for(config::runEndInterval);
    }
    if (hasWaited)
        log("run_awaited",
            {{"runner", target.id.text},
             {"waited_ms", millisecondsText(context.clock.mono() - lostAt)}});
}

/// A runner that this instance doesn't reach itself isn't waited for.
bool request_proxy::isWorkedOn(const runner &target) const
{
    if (context.connections.isBroken(target.id) || context.connections.links().isSilent(target.id)
        || context.quarantineManager.endNoticedAt(observedOf(target)))
        return false;
    const auto report = callRunner(context.connections.direct(), context.names, target,
                                   context.names.reportRequest(), config::witnessCallTimeout);
    if (!succeeded(report))
        return false;
    const auto runs = context.names.parseRuns(valueOf(report).body);
    return runs && runs->contains(metadata.id);
}

} // namespace poplarspool::gateway
