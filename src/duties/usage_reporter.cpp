#include "poplarspool/duties/usage_reporter.h"

#include "poplarspool/duties/limits.h"

#include <algorithm>

namespace poplarspool::duties {

usage_reporter::usage_reporter(usage_reporter_dependencies given, lease_store store,
                               instance_id self, milliseconds leaseBound)
    : dependencies(std::move(given)),
      lease(std::move(store), std::move(self), leaseBound, dependencies.clock, dependencies.events),
      sent(dependencies.metrics.counterOf("poplarspool_usage_reports_total{end=\"taken\"}")),
      failed(dependencies.metrics.counterOf("poplarspool_usage_reports_total{end=\"failed\"}")),
      skipped(dependencies.metrics.counterOf("poplarspool_usage_reports_total{end=\"skipped\"}")),
      thread("usage", config::dutyInterval,
             stepFailureReporterOf(dependencies.events, dependencies.metrics),
             [this] { runOnce(); })
{ }

/// A window is due once the counts of all instances that counted requests in it have arrived, or
/// once waiting longer for a silent instance could make the report late.
window_number usage_reporter::dueWindow(wall_time now) const
{
    const milliseconds length = dependencies.usage.windowLength;
    const window_number present = windowAt(now, length);
    const milliseconds maxWait(static_cast<std::int64_t>(
            static_cast<double>(dependencies.reportDeadline.count()) * config::usageWaitShare));
    window_number due = present;
    while (due > 0) {
        const wall_time end = endOf(--due, length);
        const window_number before = due - std::min<window_number>(due, 1);
        const bool isComplete = now - end >= config::usageSettleTime
                && dependencies.usage.table.isComplete(before, end);
        if (isComplete || now - end >= maxWait)
            break;
    }
    return due;
}

void usage_reporter::runOnce()
{
    if (!dependencies.isOwner()) {
        reportedUpTo.reset();
        return;
    }
    const mono_time startedAt = dependencies.clock.mono();
    const wall_time now = dependencies.usage.fleetClock.now().at;
    const window_number due = dueWindow(now);
    if ((reportedUpTo && *reportedUpTo >= due) || startedAt < retryAt)
        return;
    retryAt = startedAt + config::dutyRetryInterval;
    const auto present = lease.readIfAvailable();
    if (!present)
        return;
    const auto before = decodeUsageCheckpoint(present->checkpoint);
    const bool isFirst = present->version.revision == 0;
    if (!before && !isFirst)
        dependencies.events.emit("usage_note_unreadable", {{"holder", present->holder.text}});
    const checkpoint_input state{present->version.epoch, isFirst,
                                 windowAt(now, dependencies.usage.windowLength), due,
                                 deliveredUpTo};
    const usage_checkpoint next = nextCheckpoint(before, state, [this](window_number window) {
        return dependencies.usage.table.totalOf(window);
    });
    if (next.reports.empty() && before && next.settled == before->settled) {
        reportedUpTo = due;
        return;
    }
    const auto term = lease.acquire(*present, encode(next));
    if (!term)
        return;
    recordSkipped(before, next);
    if (!sendAll(next, *term))
        return;
    reportedUpTo = deliveredUpTo = next.settled;
    retryAt = {};
}

/// Of the windows between two checkpoints only the most recent ones are reported; logs the others.
void usage_reporter::recordSkipped(const std::optional<usage_checkpoint> &before,
                                   const usage_checkpoint &next) const
{
    if (!before)
        return;
    const auto reported = static_cast<window_number>(
            std::ranges::count_if(next.reports, [&before](const usage_report &one) {
                return one.window > before->settled;
            }));
    const window_number omitted = next.settled - before->settled - reported;
    if (omitted == 0)
        return;
    skipped.add(omitted);
    dependencies.events.emit("usage_windows_skipped",
                             {{"from", std::to_string(before->settled + 1)},
                              {"to", std::to_string(before->settled + omitted)},
                              {"epoch", std::to_string(next.epoch)}});
}

bool usage_reporter::sendAll(const usage_checkpoint &checkpoint, const lease_term &term)
{
    return std::ranges::all_of(checkpoint.reports,
                               [&](const usage_report &one) { return send(one, term); });
}

bool usage_reporter::send(const usage_report &report, const lease_term &term)
{
    const auto taken = dependencies.sink.send(report, term);
    std::uint64_t requests = 0;
    for (const auto &entry : report.counts)
        requests += entry.second;
    const wall_time now = dependencies.usage.fleetClock.now().at;
    const auto age = now - endOf(report.window, dependencies.usage.windowLength);
    dependencies.events.emit(
            "usage_report",
            {{"window", std::to_string(report.window)},
             {"workspaces", std::to_string(report.counts.size())},
             {"requests", std::to_string(requests)},
             {"fence", std::to_string(term.fence)},
             {"age_ms", millisecondsText(age)},
             {"clocks", std::to_string(dependencies.usage.fleetClock.now().clocks)},
             {"fault", succeeded(taken) ? "" : errorOf(taken).message}});
    (succeeded(taken) ? sent : failed).add();
    return succeeded(taken);
}

} // namespace poplarspool::duties
