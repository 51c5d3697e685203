#include "peer/prober.h"

#include "poplarspool/config.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

/// Part of the time to suspicion in which the member itself may answer; the rest is for the others.
constexpr int directShare = 3;

} // namespace

prober::prober(milliseconds suspectTime, std::uint64_t seed)
    : suspectTime(suspectTime), random(seed), lastCall(random())
{ }

std::uint64_t prober::open(open_probe probe)
{
    probes[++lastCall] = std::move(probe);
    return lastCall;
}

std::uint64_t prober::relay(relayed_probe probe)
{
    // Bounded by dropping the oldest: whoever asked will suspect a little earlier, and be refuted.
    if (relays.size() >= config::maxMembers)
        relays.erase(relays.begin());
    relays[++lastCall] = std::move(probe);
    return lastCall;
}

std::optional<relayed_probe> prober::onAck(std::uint64_t callId, std::uint64_t handle)
{
    const auto relayed = relays.find(callId);
    if (relayed != relays.end() && relayed->second.handle == handle) {
        relayed_probe origin = std::move(relayed->second);
        relays.erase(relayed);
        return origin;
    }
    const auto probe = probes.find(callId);
    if (probe != probes.end() && probe->second.handle == handle)
        probes.erase(probe);
    return std::nullopt;
}

void prober::onHeard(std::uint64_t handle)
{
    std::erase_if(probes, [&](const auto &entry) { return entry.second.handle == handle; });
}

std::vector<std::pair<std::uint64_t, open_probe>> prober::takeUnanswered(mono_time now)
{
    std::vector<std::pair<std::uint64_t, open_probe>> result;
    for (auto &[callId, probe] : probes) {
        if (probe.isIndirect || now - probe.sentAt < suspectTime / directShare)
            continue;
        probe.isIndirect = true;
        result.emplace_back(callId, probe);
    }
    return result;
}

std::vector<open_probe> prober::takeFailed(mono_time now)
{
    std::vector<open_probe> result;
    std::erase_if(probes, [&](const auto &entry) {
        const bool isFailed = now - entry.second.sentAt >= suspectTime;
        if (isFailed)
            result.push_back(entry.second);
        return isFailed;
    });
    std::erase_if(relays,
                  [&](const auto &entry) { return now - entry.second.sentAt >= suspectTime; });
    return result;
}

void prober::reset()
{
    probes.clear();
    relays.clear();
}

} // namespace poplarspool::peer
