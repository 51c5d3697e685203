#include "gateway/link_table.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

bool link_table::isBroken(const runner_id &target) const
{
    if (brokenCount() == 0)
        return false;
    if (isCutOff())
        return true;
    const std::lock_guard lock(guard);
    return broken.contains(target);
}

bool link_table::isSilent(const runner_id &target) const
{
    if (brokenCount() == 0)
        return false;
    const std::lock_guard lock(guard);
    if (const auto found = broken.find(target); found != broken.end())
        return found->second.end == connect_end::Silent;
    return isCutOff() && std::ranges::all_of(broken, [](const auto &one) {
               return one.second.end == connect_end::Silent;
           });
}

bool link_table::recordReached(const runner_id &target)
{
    if (brokenCount() == 0)
        return false;
    const std::lock_guard lock(guard);
    inRow.clear();
    const bool wasBroken = broken.erase(target) > 0;
    updateState();
    return wasBroken;
}

bool link_table::recordBroken(const runner_id &target, connect_end end)
{
    const std::lock_guard lock(guard);
    if (broken.size() >= config::maxBrokenLinks && !broken.contains(target))
        return false;
    const bool isNew = broken.insert_or_assign(target, broken_link{end, clock.mono()}).second;
    inRow.insert(target);
    updateState();
    return isNew;
}

void link_table::remove(const runner_id &target)
{
    const std::lock_guard lock(guard);
    broken.erase(target);
    inRow.erase(target);
    updateState();
}

/// @attention The caller must hold `guard`.
void link_table::updateState()
{
    const bool wasCutOff = isCutOff();
    // Once cut off, an instance stays so until it reaches a runner, or until no link is left to
    // probe.
    cutOff = inRow.size() >= config::minBrokenLinks || (wasCutOff && !inRow.empty());
    count = broken.size();
}

bool link_table::recordSilentCall(const runner_id &target)
{
    const std::lock_guard lock(guard);
    silentRunners.insert(target);
    silentCount = silentRunners.size();
    return silentRunners.size() >= config::minBrokenLinks;
}

void link_table::recordHeard()
{
    if (silentCount.load(std::memory_order_relaxed) == 0)
        return;
    const std::lock_guard lock(guard);
    silentRunners.clear();
    silentCount = 0;
}

std::vector<runner_id> link_table::takeSilentRunners()
{
    const std::lock_guard lock(guard);
    if (silentRunners.size() < config::minBrokenLinks)
        return {};
    std::vector<runner_id> taken(silentRunners.begin(), silentRunners.end());
    taken.resize(std::min(taken.size(), config::maxLinkProbes));
    silentRunners.clear();
    silentCount = 0;
    return taken;
}

std::vector<runner_id> link_table::takeDueProbes()
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    std::vector<std::pair<mono_time, runner_id>> due;
    for (const auto &[id, link] : broken) {
        if (now - link.probedAt >= config::linkProbeInterval)
            due.emplace_back(link.probedAt, id);
    }
    std::ranges::sort(due);
    due.resize(std::min(due.size(), config::maxLinkProbes));
    std::vector<runner_id> taken;
    for (const auto &[probedAt, id] : due) {
        broken.at(id).probedAt = now;
        taken.push_back(id);
    }
    return taken;
}

} // namespace poplarspool::gateway
