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

void usage_ledger::noteBegun(window_number window, const workspace_id &workspace)
{
    const std::lock_guard lock(guard);
    own_count &counted = own[window][workspace];
    ++counted.count;
    counted.changedIn = tellings;
}

void usage_ledger::take(const told_usage &received)
{
    const std::lock_guard lock(guard);
    const bool isNew = !others[received.window].contains(received.incarnation);
    if (received.incarnation == self
        || (isNew && others[received.window].size() >= config::maxUsageLives))
        return;
    usage_counts &known = others[received.window][received.incarnation];
    for (const auto &[workspace, count] : received.counts) {
        std::uint64_t &highest = known[workspace];
        highest = std::max(highest, count);
    }
    if (!received.counts.empty()) {
        window_number &last = lives[received.incarnation].lastWindow;
        last = std::max(last, received.window);
    }
}

void usage_ledger::noteTold(std::uint64_t incarnation, wall_time at, bool isLast)
{
    const std::lock_guard lock(guard);
    if (incarnation == self
        || (!lives.contains(incarnation) && lives.size() >= config::maxUsageLives))
        return;
    told_life &known = lives[incarnation];
    known.toldAt = std::max(known.toldAt, at);
    known.isOver = known.isOver || isLast;
}

std::vector<told_usage> usage_ledger::collect(bool sendsAll)
{
    const std::lock_guard lock(guard);
    const std::uint64_t current = tellings++;
    std::vector<told_usage> parts;
    for (const auto &[window, counts] : own) {
        std::size_t bytesLeft = 0;
        for (const auto &[workspace, counted] : counts) {
            if (!sendsAll && counted.changedIn + config::usageRepeats <= current)
                continue;
            const std::size_t bytes = workspace.text.size() + countBytes;
            if (bytes > bytesLeft || parts.back().counts.size() >= config::maxToldCounts) {
                parts.push_back({self, window, {}});
                bytesLeft = std::max(config::usageBytesPerDatagram, bytes);
            }
            parts.back().counts.emplace_back(workspace, counted.count);
            bytesLeft -= bytes;
        }
    }
    return parts;
}

usage_counts usage_ledger::totalOf(window_number window) const
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

bool usage_ledger::isComplete(window_number since, wall_time end) const
{
    const std::lock_guard lock(guard);
    return std::ranges::all_of(lives, [&](const auto &entry) {
        const told_life &progress = entry.second;
        return progress.isOver || progress.lastWindow < since || progress.toldAt >= end;
    });
}

void usage_ledger::forgetBefore(window_number window)
{
    const std::lock_guard lock(guard);
    own.erase(own.begin(), own.lower_bound(window));
    others.erase(others.begin(), others.lower_bound(window));
    std::erase_if(lives, [window](const auto &entry) { return entry.second.lastWindow < window; });
}

std::string encode(const usage_note &checkpoint)
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

std::optional<usage_note> decodeUsageNote(std::string_view text)
{
    try {
        const json read = parseJsonOrThrow(text);
        usage_note made;
        made.epoch = numberOf(read.at(epochKey));
        made.settled = numberOf(read.at(settledKey));
        for (const json &entry : read.at(reportsKey))
            made.reports.push_back(reportOf(entry));
        return made;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

usage_note nextNote(const std::optional<usage_note> &before, const usage_state &state,
                    const std::function<usage_counts(window_number)> &totalOf)
{
    usage_note made;
    made.epoch = state.epoch;
    if (before) {
        for (const usage_report &one : before->reports) {
            const bool isOld = one.window + config::usageWindowsKept < state.present;
            if (!isOld && (!state.delivered || one.window > *state.delivered))
                made.reports.push_back(one);
        }
    }
    // Reports of the windows up to now may have been stored and sent under checkpoints that a store
    // rollback has removed.
    const bool wasRolledBack =
            before ? before->epoch != state.epoch : state.epoch > 0 || !state.isFirst;
    if (wasRolledBack) {
        made.settled = std::max(before ? before->settled : 0, state.present);
        return made;
    }
    made.settled = before ? std::max(before->settled, state.due) : state.due;
    const window_number oldest = state.due - std::min(state.due, config::usageWindowsAtOnce - 1);
    const window_number first = before ? std::max(before->settled + 1, oldest) : state.due;
    for (window_number window = first; window <= state.due; ++window)
        made.reports.push_back({window, totalOf(window)});
    return made;
}

} // namespace poplarspool::duties
