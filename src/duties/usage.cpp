#include "poplarspool/duties/usage.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/duties/limits.h"

#include <algorithm>

namespace poplarspool::duties {

namespace {

using nlohmann::json;

constexpr char epochKey[] = "epoch";
constexpr char settledKey[] = "settled";
constexpr char reportsKey[] = "reports";
constexpr char windowKey[] = "window";
constexpr char countsKey[] = "counts";

/// Maximum encoded size of a count, without the workspace's name.
constexpr std::size_t countBytes = 12;

std::uint64_t numberOf(const json &value)
{
    if (!value.is_number_unsigned())
        throw json::other_error::create(501, "expected a non-negative integer", &value);
    return value.get<std::uint64_t>();
}

usage_report reportOf(const json &entry)
{
    usage_report made;
    made.window = numberOf(entry.at(windowKey));
    for (const auto &[name, count] : entry.at(countsKey).items())
        made.counts[{name}] = numberOf(count);
    return made;
}

} // namespace

window_number windowAt(wall_time at, milliseconds length)
{
    const auto since = std::max(at.time_since_epoch(), milliseconds(0));
    return static_cast<window_number>(since / length);
}

wall_time endOf(window_number window, milliseconds length)
{
    return wall_time(length * (static_cast<std::int64_t>(window) + 1));
}

void usage_table::recordRequestStart(window_number window, const workspace_id &workspace)
{
    const std::lock_guard lock(guard);
    own_count &counted = own[window][workspace];
    ++counted.count;
    counted.changedInUpdate = updateNumber;
}

void usage_table::merge(const incarnation_usage &received)
{
    const std::lock_guard lock(guard);
    const bool isNew = !others[received.window].contains(received.incarnation);
    if (received.incarnation == self
        || (isNew && others[received.window].size() >= config::maxUsageIncarnations))
        return;
    usage_counts &known = others[received.window][received.incarnation];
    for (const auto &[workspace, count] : received.counts) {
        std::uint64_t &highest = known[workspace];
        highest = std::max(highest, count);
    }
    if (!received.counts.empty()) {
        window_number &last = incarnations[received.incarnation].lastWindow;
        last = std::max(last, received.window);
    }
}

void usage_table::recordReceivedUpTo(std::uint64_t incarnation, wall_time at, bool isLast)
{
    const std::lock_guard lock(guard);
    if (incarnation == self
        || (!incarnations.contains(incarnation)
            && incarnations.size() >= config::maxUsageIncarnations))
        return;
    incarnation_state &known = incarnations[incarnation];
    known.receivedUpTo = std::max(known.receivedUpTo, at);
    known.hasEnded = known.hasEnded || isLast;
}

std::vector<incarnation_usage> usage_table::collect(bool sendsAll)
{
    const std::lock_guard lock(guard);
    const std::uint64_t current = updateNumber++;
    std::vector<incarnation_usage> parts;
    for (const auto &[window, counts] : own) {
        std::size_t bytesLeft = 0;
        for (const auto &[workspace, counted] : counts) {
            if (!sendsAll && counted.changedInUpdate + config::usageUpdateRepeats <= current)
                continue;
            const std::size_t bytes = workspace.text.size() + countBytes;
            if (bytes > bytesLeft || parts.back().counts.size() >= config::maxCountsPerUpdate) {
                parts.push_back({self, window, {}});
                bytesLeft = std::max(config::usageBytesPerDatagram, bytes);
            }
            parts.back().counts.emplace_back(workspace, counted.count);
            bytesLeft -= bytes;
        }
    }
    return parts;
}

usage_counts usage_table::totalOf(window_number window) const
{
    const std::lock_guard lock(guard);
    usage_counts total;
    const auto mine = own.find(window);
    if (mine != own.end()) {
        for (const auto &[workspace, counted] : mine->second)
            total[workspace] += counted.count;
    }
    const auto theirs = others.find(window);
    if (theirs == others.end())
        return total;
    for (const auto &incarnation : theirs->second) {
        for (const auto &[workspace, count] : incarnation.second)
            total[workspace] += count;
    }
    return total;
}

bool usage_table::isComplete(window_number since, wall_time end) const
{
    const std::lock_guard lock(guard);
    return std::ranges::all_of(incarnations, [&](const auto &entry) {
        const incarnation_state &progress = entry.second;
        return progress.hasEnded || progress.lastWindow < since || progress.receivedUpTo >= end;
    });
}

void usage_table::forgetBefore(window_number window)
{
    const std::lock_guard lock(guard);
    own.erase(own.begin(), own.lower_bound(window));
    others.erase(others.begin(), others.lower_bound(window));
    std::erase_if(incarnations,
                  [window](const auto &entry) { return entry.second.lastWindow < window; });
}

std::string encode(const usage_checkpoint &checkpoint)
{
    json reports = json::array();
    for (const usage_report &one : checkpoint.reports) {
        json counts = json::object();
        for (const auto &[workspace, count] : one.counts)
            counts[workspace.text] = count;
        reports.push_back({{windowKey, one.window}, {countsKey, std::move(counts)}});
    }
    return json{{epochKey, checkpoint.epoch},
                {settledKey, checkpoint.settled},
                {reportsKey, std::move(reports)}}
            .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<usage_checkpoint> decodeUsageCheckpoint(std::string_view text)
{
    try {
        const json read = parseJsonOrThrow(text);
        usage_checkpoint made;
        made.epoch = numberOf(read.at(epochKey));
        made.settled = numberOf(read.at(settledKey));
        for (const json &entry : read.at(reportsKey))
            made.reports.push_back(reportOf(entry));
        return made;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

usage_checkpoint nextCheckpoint(const std::optional<usage_checkpoint> &before,
                                const checkpoint_input &state,
                                const std::function<usage_counts(window_number)> &totalOf)
{
    usage_checkpoint made;
    made.epoch = state.epoch;
    if (before) {
        for (const usage_report &one : before->reports) {
            const bool isOld = one.window + config::usageWindowsKept < state.currentWindow;
            if (!isOld && (!state.deliveredUpTo || one.window > *state.deliveredUpTo))
                made.reports.push_back(one);
        }
    }
    // Reports of the windows up to now may have been stored and sent under checkpoints that a store
    // rollback has removed.
    const bool wasRolledBack =
            before ? before->epoch != state.epoch : state.epoch > 0 || !state.isFirst;
    if (wasRolledBack) {
        made.settled = std::max(before ? before->settled : 0, state.currentWindow);
        return made;
    }
    made.settled = before ? std::max(before->settled, state.lastDueWindow) : state.lastDueWindow;
    const window_number oldest =
            state.lastDueWindow - std::min(state.lastDueWindow, config::maxUsageWindowsPerTerm - 1);
    const window_number first =
            before ? std::max(before->settled + 1, oldest) : state.lastDueWindow;
    for (window_number window = first; window <= state.lastDueWindow; ++window)
        made.reports.push_back({window, totalOf(window)});
    return made;
}

} // namespace poplarspool::duties
