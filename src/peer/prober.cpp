#include "peer/prober.h"

#include "poplarspool/peer/limits.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

/// Divisor of the probe timeout: after this part of it without an answer, other members probe as
/// well.
constexpr int indirectProbeDivisor = 3;

} // namespace

prober::prober(milliseconds probeTimeout, std::uint64_t seed)
    : probeTimeout(probeTimeout), random(seed), lastCallId(random())
{ }

std::uint64_t prober::open(open_probe probe)
{
    probes[++lastCallId] = std::move(probe);
    return lastCallId;
}

std::uint64_t prober::forward(forwarded_probe probe)
{
    // Bounded by dropping the oldest. The instance that requested that probe may suspect the
    // member without cause; the member then refutes the suspicion.
    if (forwarded.size() >= config::maxMembers)
        forwarded.erase(forwarded.begin());
    forwarded[++lastCallId] = std::move(probe);
    return lastCallId;
}

std::optional<forwarded_probe> prober::onAck(std::uint64_t callId, std::uint64_t handle)
{
    const auto found = forwarded.find(callId);
    if (found != forwarded.end() && found->second.handle == handle) {
        forwarded_probe origin = std::move(found->second);
        forwarded.erase(found);
        return origin;
    }
    const auto probe = probes.find(callId);
    if (probe != probes.end() && probe->second.handle == handle)
        probes.erase(probe);
    return std::nullopt;
}

void prober::onReceived(std::uint64_t handle)
{
    std::erase_if(probes, [&](const auto &entry) { return entry.second.handle == handle; });
}

std::vector<std::pair<std::uint64_t, open_probe>> prober::takeUnanswered(mono_time now)
{
    std::vector<std::pair<std::uint64_t, open_probe>> result;
    for (auto &[callId, probe] : probes) {
        if (probe.isIndirect || now - probe.sentAt < probeTimeout / indirectProbeDivisor)
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
        const bool isFailed = now - entry.second.sentAt >= probeTimeout;
        if (isFailed)
            result.push_back(entry.second);
        return isFailed;
    });
    std::erase_if(forwarded,
                  [&](const auto &entry) { return now - entry.second.sentAt >= probeTimeout; });
    return result;
}

void prober::reset()
{
    probes.clear();
    forwarded.clear();
}

} // namespace poplarspool::peer
