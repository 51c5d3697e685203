#include "gateway/runner_table.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::gateway {

namespace {

constexpr double maxPercent = config::maxSpeedSample * 100;

} // namespace

/// @attention The caller must hold `guard`.
void runner_table::recordSpeed(runner_record &entry, double ratio)
{
    entry.speed = engine_model::withSample(entry.speed, ratio);
    entry.speedSampledAt = clock.mono();
}

/// Most of the time of a short prompt is not spent on its prefill.
/// @attention The caller must hold `guard`.
void runner_table::sampleSpeed(const open_send &sent, const engine_pace &pace, double tookMs)
{
    if (!learnsSpeeds || sent.medianMs < config::minPaceSampleMs)
        return;
    const double ratio = std::max(tookMs - pace.firstTokenMs, 0.0) / sent.medianMs;
    const double percent = std::clamp(std::round(ratio * 100), 1.0, maxPercent);
    recordSpeed(records[sent.target], percent / 100);
    // What waits longest is the least useful. Without a bound, an instance alone in its zone would
    // queue samples until it runs out of memory.
    pendingSamples.push_back({sent.target, static_cast<std::uint32_t>(percent)});
    if (pendingSamples.size() > config::maxPendingSamples)
        pendingSamples.pop_front();
}

/// Each sample is sent once: repeated ones would count as new ones.
/// @attention The caller must hold `guard`.
std::vector<peer::engine_sample> runner_table::takeSamples()
{
    const auto count =
            static_cast<std::ptrdiff_t>(std::min(pendingSamples.size(), config::maxEngineSamples));
    std::vector<peer::engine_sample> taken(pendingSamples.begin(), pendingSamples.begin() + count);
    pendingSamples.erase(pendingSamples.begin(), pendingSamples.begin() + count);
    return taken;
}

/// Samples of runners that are not known here are ignored: they may be of runners that have gone.
/// @attention The caller must hold `guard`.
void runner_table::applySamples(const peer::load_update &update)
{
    if (!learnsSpeeds)
        return;
    for (const peer::engine_sample &one : update.samples) {
        const auto found = records.find(one.runner);
        if (found != records.end())
            recordSpeed(found->second, std::min<double>(one.pacePercent, maxPercent) / 100);
    }
}

/// Looks at all engines of a service and stage, so it is done rarely.
/// @attention The caller must hold `guard`.
void runner_table::updateSpeeds(const runner_ring &group, stage_speeds &speeds, mono_time now)
{
    if (speeds.computedAt != mono_time{} && now - speeds.computedAt < config::speedMedianInterval)
        return;
    std::vector<runner_record *> members;
    std::vector<double> known;
    group.forEach([&](const runner_entry &one) {
        const auto found = records.find(peer::runnerKey(one->id));
        if (found == records.end())
            return;
        runner_record &entry = found->second;
        entry.beginIncarnation(one->startedAtMs);
        if (now - entry.speedSampledAt > config::speedExpiry)
            entry.speed = {};
        members.push_back(&entry);
        if (engine_model::isKnown(entry.speed))
            known.push_back(entry.speed.logPace);
    });
    speeds = {now, engine_model::medianLogOf(known), {}};
    for (runner_record *entry : members) {
        entry->speed = engine_model::withPrior(entry->speed, speeds.medianLog);
        const double factor = engine_model::factorOf(entry->speed, speeds.medianLog);
        speeds.counts.slow += factor > 1 ? 1 : 0;
        speeds.counts.fast += factor < 1 ? 1 : 0;
    }
}

speed_counts runner_table::speedCounts()
{
    speed_counts sum;
    const std::lock_guard lock(guard);
    for (const auto &[service, stages] : speeds) {
        for (const auto &[stage, one] : stages) {
            sum.slow += one.counts.slow;
            sum.fast += one.counts.fast;
        }
    }
    return sum;
}

} // namespace poplarspool::gateway
