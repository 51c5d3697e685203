#include "gateway/link_prober.h"

#include "base/connect.h"
#include "poplarspool/gateway/limits.h"

namespace poplarspool::gateway {

void link_prober::start()
{
    thread = startNamedThread("link_prober", [this] { run(); });
}

void link_prober::wake()
{
    const std::lock_guard lock(guard);
    isAwake = true;
    changed.notify_all();
}

void link_prober::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopping = true;
        changed.notify_all();
    }
    if (thread.joinable())
        thread.join();
}

void link_prober::run()
{
    while (waitForWork())
        runLoggingExceptions(dependencies.faults, [this] { runOnce(); });
}

/// @returns False if the thread is to end.
bool link_prober::waitForWork()
{
    const auto isDue = [this] { return isAwake || isStopping; };
    const bool hasWork = dependencies.connector.links().brokenCount() > 0 || isCutOffAnnounced;
    std::unique_lock lock(guard);
    if (hasWork)
        changed.wait_for(lock, config::linkProbeInterval, isDue);
    else
        changed.wait(lock, isDue);
    isAwake = false;
    return !isStopping;
}

void link_prober::runOnce()
{
    link_table &links = dependencies.connector.links();
    for (const probe &one : probeLinks(links.takeSilentRunners())) {
        if (one.end == connect_end::Connected)
            dependencies.connector.recordReached(one.target.id);
        else
            dependencies.connector.checkLink(one.target, one.end);
    }
    announceChanges();
    bool isAnyReached = true;
    while (isAnyReached) {
        isAnyReached = false;
        for (const probe &one : probeLinks(links.takeDueProbes())) {
            if (one.end != connect_end::Connected)
                continue;
            dependencies.connector.recordReached(one.target.id);
            isAnyReached = true;
        }
    }
    announceChanges();
}

/// Runners that are no longer listed are forgotten.
std::vector<link_prober::probe> link_prober::probeLinks(const std::vector<runner_id> &ids)
{
    const auto listed = dependencies.publisher.current();
    std::vector<probe> probes;
    std::vector<endpoint> addresses;
    for (const runner_id &id : ids) {
        const runner_entry target = listed->runners->find(id);
        if (!target) {
            dependencies.connector.links().remove(id);
            continue;
        }
        probes.push_back({*target, connect_end::Silent});
        addresses.push_back(target->address);
    }
    const auto ends = probeAll(addresses, socket_clock::now() + config::runnerConnectTimeout);
    for (std::size_t i = 0; i < probes.size(); ++i)
        probes[i].end = ends[i];
    return probes;
}

void link_prober::announceChanges()
{
    const bool isCutOff = dependencies.connector.links().isCutOff();
    const mono_time now = dependencies.clock.mono();
    const bool isRenewalDue = isCutOff && now - announcedAt >= config::cutOffAnnounceInterval;
    if (isCutOff == isCutOffAnnounced && !isRenewalDue)
        return;
    isCutOffAnnounced = isCutOff;
    announcedAt = now;
    dependencies.announce(isCutOff);
}

} // namespace poplarspool::gateway
