#include "gateway/share_table.h"

#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <limits>

namespace poplarspool::gateway {

bool isShortage(const placement_query &query, const std::variant<placement, no_placement> &found)
{
    if (const auto *none = std::get_if<no_placement>(&found))
        return none->retryInMs > 0 && !none->isResting && !none->isLimited;
    const placement &place = std::get<placement>(found);
    const bool isInTime = place.expectedStartMs <= query.objectiveLeftMs * config::urgentShare;
    return place.urgency == send_class::Late && !(query.isAboveShare && isInTime);
}

share_table::share_table(clock_source clock) : clock(std::move(clock)) { }

void share_table::recordAsked(const service_id &service, std::uint32_t workspace)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    countsSince = countsSince.value_or(now);
    fairness::addCounts(own, {service.text, workspace}, now, {1, 0, 0});
}

void share_table::recordSent(const service_id &service, std::uint32_t workspace, std::uint64_t work)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    fairness::addCounts(own, {service.text, workspace}, now, {0, 1, work});
}

void share_table::recordShortage(const service_id &service)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    shortAt[service] = now;
}

/// @attention The caller must hold `guard`.
void share_table::dropOldReports(mono_time now)
{
    std::erase_if(reports, [now](const auto &one) {
        return now - one.second.receivedAt > config::shareWindow;
    });
}

std::optional<share_state> share_table::findAboveShare(const service_id &service,
                                                       std::uint32_t workspace, double draw)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    const auto last = shortAt.find(service);
    if (last == shortAt.end() || now - last->second > config::shortageTime)
        return std::nullopt;
    dropOldReports(now);
    std::vector<fairness::work_report> current;
    share_state state;
    for (const auto &[sender, report] : reports) {
        current.push_back(report);
        state.age = std::max(state.age,
                             std::chrono::duration_cast<milliseconds>(now - report.receivedAt));
    }
    fairness::count_origin origin;
    origin.countedFor = std::chrono::duration_cast<milliseconds>(now - countsSince.value_or(now));
    origin.instances = 1 + current.size();
    const auto loads = fairness::mergeLoads(own, current, service.text, now);
    state.verdict = fairness::shareOf(loads, workspace, origin);
    return fairness::isAboveShare(state.verdict, draw) ? std::optional(state) : std::nullopt;
}

std::vector<peer::workspace_work> share_table::collectReport()
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    if (now < nextReportAt)
        return {};
    nextReportAt = now + config::shareReportInterval;
    constexpr std::uint64_t maxWork = std::numeric_limits<std::uint32_t>::max();
    std::vector<peer::workspace_work> items;
    for (const auto &total : fairness::heaviestOf(own, now, config::maxWorkspaceItems))
        items.push_back(
                {total.workspace, static_cast<std::uint32_t>(std::min(total.work, maxWork))});
    return items;
}

void share_table::applyReport(std::uint64_t sender, const std::vector<peer::workspace_work> &items)
{
    if (items.empty())
        return;
    const mono_time now = clock.mono();
    fairness::work_report report{now, {}};
    for (const peer::workspace_work &item : items)
        report.totals.push_back({item.workspace, item.work});
    const std::lock_guard lock(guard);
    dropOldReports(now);
    reports[sender] = std::move(report);
}

} // namespace poplarspool::gateway
