#include "poplarspool/duties/usage_keeper.h"

#include "poplarspool/duties/limits.h"

#include <algorithm>

namespace poplarspool::duties {

usage_keeper::usage_keeper(usage_tools given, lease_store store, instance_id self,
                           milliseconds leaseBound)
    : tools(std::move(given)),
      lease(std::move(store), std::move(self), leaseBound, tools.clock, tools.events),
      sent(tools.metrics.counterOf("poplarspool_usage_reports_total{end=\"taken\"}")),
      failed(tools.metrics.counterOf("poplarspool_usage_reports_total{end=\"failed\"}")),
      skipped(tools.metrics.counterOf("poplarspool_usage_reports_total{end=\"skipped\"}")),
      thread("usage", config::dutyLookTime, stepFaultsOf(tools.events, tools.metrics),
             [this] { look(); })
{ }

/// A window is due once the counts of all instances that counted requests in it have arrived, or
/// once waiting longer for a silent instance could make the report late.
window_number usage_keeper::dueWindow(wall_time now) const
{
    const milliseconds length = tools.parts.window;
    const window_number present = windowAt(now, length);
    const milliseconds maxWait(static_cast<std::int64_t>(static_cast<double>(tools.late.count())
                                                         * config::usagePatienceShare));
    window_number due = present;
    while (due > 0) {
        const wall_time end = endOf(--due, length);
        const window_number before = due - std::min<window_number>(due, 1);
        const bool isComplete =
                now - end >= config::usageSettleTime && tools.parts.ledger.isComplete(before, end);
        if (isComplete || now - end >= maxWait)
            break;
    }
    return due;
}

void usage_keeper::look()
{
    if (!tools.isOwner()) {
        done.reset();
        return;
    }
    const mono_time startedAt = tools.clock.mono();
    const wall_time now = tools.parts.time.now().at;
    const window_number due = dueWindow(now);
    if ((done && *done >= due) || startedAt < nextTryAt)
        return;
    nextTryAt = startedAt + config::dutyTryPause;
    const auto present = lease.findFree();
    if (!present)
        return;
    const auto before = decodeUsageNote(present->note);
    const bool isFirst = present->version.revision == 0;
    if (!before && !isFirst)
        tools.events.emit("usage_note_unreadable", {{"holder", present->holder.text}});
    const usage_state state{present->version.epoch, isFirst, windowAt(now, tools.parts.window), due,
                            delivered};
    const usage_note next = nextNote(before, state, [this](window_number window) {
        return tools.parts.ledger.totalOf(window);
    });
    if (next.reports.empty() && before && next.settled == before->settled) {
        done = due;
        return;
    }
    const auto term = lease.take(*present, encode(next));
    if (!term)
        return;
    noteSkipped(before, next);
    if (!sendAll(next, *term))
        return;
    done = delivered = next.settled;
    nextTryAt = {};
}

/// Of the windows between two checkpoints only the most recent ones are reported; logs the others.
void usage_keeper::noteSkipped(const std::optional<usage_note> &before,
                               const usage_note &next) const
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
    tools.events.emit("usage_windows_skipped",
                      {{"from", std::to_string(before->settled + 1)},
                       {"to", std::to_string(before->settled + omitted)},
                       {"epoch", std::to_string(next.epoch)}});
}

bool usage_keeper::sendAll(const usage_note &checkpoint, const lease_term &term)
{
    return std::ranges::all_of(checkpoint.reports,
                               [&](const usage_report &one) { return send(one, term); });
}

bool usage_keeper::send(const usage_report &report, const lease_term &term)
{
    const auto taken = tools.sink.send(report, term);
    std::uint64_t requests = 0;
    for (const auto &entry : report.counts)
        requests += entry.second;
    const wall_time now = tools.parts.time.now().at;
    const auto age = now - endOf(report.window, tools.parts.window);
    tools.events.emit("usage_report",
                      {{"window", std::to_string(report.window)},
                       {"workspaces", std::to_string(report.counts.size())},
                       {"requests", std::to_string(requests)},
                       {"fence", std::to_string(term.fence)},
                       {"age_ms", millisecondsText(age)},
                       {"clocks", std::to_string(tools.parts.time.now().clocks)},
                       {"fault", succeeded(taken) ? "" : errorOf(taken).message}});
    (succeeded(taken) ? sent : failed).add();
    return succeeded(taken);
}

} // namespace poplarspool::duties
