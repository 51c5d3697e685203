#include "crashes/crash_table.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/crashes/limits.h"

#include <algorithm>

namespace poplarspool::crashes {

namespace {

std::size_t countedEnds(const crash_record &one)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(one.incarnations, [&](const ended_incarnation &each) {
                return each.endedAtMs > one.servedAtMs;
            }));
}

std::int64_t lastEndOf(const crash_record &one)
{
    std::int64_t last = 0;
    for (const ended_incarnation &each : one.incarnations)
        last = std::max(last, each.endedAtMs);
    return last;
}

/// The quarantine time grows with each further incarnation, so that a request that keeps crashing
/// runners is sent only three times in the first day.
milliseconds quarantineTime(std::size_t count)
{
    milliseconds time = config::initialQuarantineTime;
    for (std::size_t more = config::quarantineIncarnations; more < count; ++more)
        time = std::min<milliseconds>(time * config::quarantineGrowth, config::maxQuarantineTime);
    return time;
}

void addIncarnation(std::vector<ended_incarnation> &incarnations, const ended_incarnation &one)
{
    const auto place = std::ranges::lower_bound(incarnations, one.incarnationKey, {},
                                                &ended_incarnation::incarnationKey);
    if (place != incarnations.end() && place->incarnationKey == one.incarnationKey)
        place->endedAtMs = std::max(place->endedAtMs, one.endedAtMs);
    else
        incarnations.insert(place, one);
    if (incarnations.size() > config::maxCrashIncarnations)
        incarnations.erase(
                std::ranges::min_element(incarnations, {}, &ended_incarnation::endedAtMs));
}

} // namespace

std::uint64_t incarnationKeyOf(const observed_runner &target)
{
    return hashOf(target.id.text, target.startedAtMs);
}

crash_record merged(const crash_record &a, const crash_record &b)
{
    crash_record both = a;
    both.servedAtMs = std::max(a.servedAtMs, b.servedAtMs);
    for (const ended_incarnation &each : b.incarnations)
        addIncarnation(both.incarnations, each);
    return both;
}

/// @attention The caller must hold `guard`.
crash_record &crash_table::recordOf(std::uint64_t digest)
{
    crash_record &entry = records[digest];
    entry.digest = digest;
    return entry;
}

/// Evicts the records with the fewest counted ends, the oldest first.
/// @attention The caller must hold `guard`.
void crash_table::evictExcess()
{
    while (records.size() > config::maxCrashRecords) {
        const auto fewest = std::ranges::min_element(records, {}, [](const auto &entry) {
            return std::pair(countedEnds(entry.second), lastEndOf(entry.second));
        });
        records.erase(fewest);
    }
}

/// Recomputes which requests are in quarantine.
/// @attention The caller must hold `guard`.
void crash_table::reassess()
{
    std::vector<std::pair<std::size_t, const crash_record *>> order;
    order.reserve(records.size());
    for (const auto &[digest, entry] : records)
        order.emplace_back(countedEnds(entry), &entry);
    std::ranges::stable_sort(order, std::ranges::greater{}, &decltype(order)::value_type::first);
    const auto before = assessments.current();
    assessment_map next;
    // For each incarnation that ended under a quarantined request: the ends counted for that
    // request.
    std::map<std::uint64_t, std::size_t> attributed;
    for (const auto &[count, one] : order) {
        if (count == 0)
            break;
        std::size_t unattributed = 0;
        for (const ended_incarnation &each : one->incarnations) {
            const auto found = attributed.find(each.incarnationKey);
            const bool isAttributed = found != attributed.end() && found->second > count;
            unattributed += each.endedAtMs > one->servedAtMs && !isAttributed ? 1 : 0;
        }
        const auto previous = before->find(one->digest);
        const bool wasQuarantined = previous != before->end() && previous->second.untilMs > 0;
        const bool isCause = unattributed >= config::quarantineIncarnations;
        assessment assessed{count, 0};
        if (isCause || (wasQuarantined && count >= config::quarantineIncarnations))
            assessed.untilMs = lastEndOf(*one) + quarantineTime(count).count();
        if (isCause) {
            for (const ended_incarnation &each : one->incarnations)
                attributed.emplace(each.incarnationKey, count);
        }
        next.emplace(one->digest, assessed);
    }
    assessments.update([&](assessment_map &value) {
        value = std::move(next);
        return true;
    });
}

bool crash_table::recordEnd(std::uint64_t digest, const ended_incarnation &ended)
{
    return merge({crash_record{digest, {ended}, 0}});
}

bool crash_table::recordServed(std::uint64_t digest, std::int64_t nowMs)
{
    if (countIncarnations(digest) == 0)
        return false;
    return merge({crash_record{digest, {}, nowMs}});
}

bool crash_table::merge(const std::vector<crash_record> &received)
{
    const std::lock_guard lock(guard);
    bool isNew = false;
    for (const crash_record &one : received) {
        crash_record &entry = recordOf(one.digest);
        crash_record next = merged(entry, one);
        isNew = isNew || next != entry;
        entry = std::move(next);
    }
    if (isNew) {
        evictExcess();
        reassess();
    }
    return isNew;
}

std::optional<quarantine> crash_table::quarantineOf(std::uint64_t digest, std::int64_t nowMs) const
{
    const auto current = assessments.current();
    const auto found = current->find(digest);
    if (found == current->end() || found->second.untilMs <= nowMs)
        return std::nullopt;
    return quarantine{found->second.incarnations, milliseconds(found->second.untilMs - nowMs)};
}

std::size_t crash_table::countIncarnations(std::uint64_t digest) const
{
    const auto current = assessments.current();
    const auto found = current->find(digest);
    return found == current->end() ? 0 : found->second.incarnations;
}

bool crash_table::hasEnded(std::uint64_t incarnationKey) const
{
    const std::lock_guard lock(guard);
    return std::ranges::any_of(records, [incarnationKey](const auto &entry) {
        return std::ranges::binary_search(entry.second.incarnations, incarnationKey, {},
                                          &ended_incarnation::incarnationKey);
    });
}

std::vector<crash_record> crash_table::persistentRecords() const
{
    const std::lock_guard lock(guard);
    std::vector<crash_record> persistent;
    for (const auto &[digest, entry] : records) {
        if (entry.incarnations.size() >= config::minStoredIncarnations)
            persistent.push_back(entry);
    }
    std::ranges::stable_sort(persistent, std::ranges::greater{}, [](const crash_record &one) {
        return std::pair(countedEnds(one), lastEndOf(one));
    });
    if (persistent.size() > config::maxStoredCrashRecords)
        persistent.resize(config::maxStoredCrashRecords);
    std::ranges::sort(persistent, {}, &crash_record::digest);
    return persistent;
}

std::optional<crash_record> crash_table::find(std::uint64_t digest) const
{
    const std::lock_guard lock(guard);
    const auto found = records.find(digest);
    return found == records.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t crash_table::fingerprintAt(std::int64_t nowMs) const
{
    std::uint64_t fingerprint = 0;
    const auto current = assessments.current();
    for (const auto &[digest, assessed] : *current) {
        if (assessed.untilMs > nowMs)
            fingerprint ^= digest;
    }
    constexpr std::uint64_t maxValue = (std::uint64_t{1} << config::quarantineFingerprintBits) - 1;
    return fingerprint == 0 ? 0 : fingerprint % maxValue + 1;
}

} // namespace poplarspool::crashes
