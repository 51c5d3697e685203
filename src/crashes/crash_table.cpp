#include "crashes/crash_table.h"

#include "crashes/part_verdicts.h"
#include "poplarspool/crashes/limits.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

namespace poplarspool::crashes {

namespace {

/// Number of moments with ends from which a part is suspected.
constexpr std::size_t suspectedWeight = 2;

std::size_t countedEnds(const crash_record &one)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            one.incarnations, [&](const ended_incarnation &each) { return isCounted(one, each); }));
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

bool isPart(const crash_record &one)
{
    return one.kind == suspect_kind::PromptPart;
}

} // namespace

/// A part stays in quarantine when its time is over, until a request with it was served.
bool crash_table::assessment::isActiveAt(std::int64_t nowMs) const
{
    return untilMs > nowMs || (untilMs > 0 && kind == suspect_kind::PromptPart);
}

/// @attention The caller must hold `guard`.
crash_record &crash_table::recordOf(std::uint64_t key)
{
    crash_record &entry = records[key];
    entry.key = key;
    return entry;
}

/// @attention The caller must hold `guard`.
std::vector<const crash_record *> crash_table::parts() const
{
    std::vector<const crash_record *> found;
    for (const auto &[key, entry] : records) {
        if (isPart(entry))
            found.push_back(&entry);
    }
    return found;
}

/// Evicts the records with the fewest counted ends, the oldest first; never a verdict for them.
/// @attention The caller must hold `guard`.
void crash_table::evictExcess(suspect_kind kind)
{
    auto count = static_cast<std::size_t>(std::ranges::count_if(
            records, [kind](const auto &entry) { return entry.second.kind == kind; }));
    for (; count > config::maxCrashRecords; --count) {
        const auto fewest = std::ranges::min_element(records, {}, [kind](const auto &entry) {
            const crash_record &one = entry.second;
            return std::tuple(one.kind != kind, one.isConvicted, countedEnds(one), lastEndOf(one));
        });
        records.erase(fewest);
    }
}

/// @attention The caller must hold `guard`.
void crash_table::evictExcess()
{
    evictExcess(suspect_kind::Request);
    evictExcess(suspect_kind::PromptPart);
    while (endNumbers.size() > config::maxNumberedEnds) {
        endNumbers.erase(std::ranges::min_element(endNumbers, {},
                                                  [](const auto &entry) { return entry.second; }));
    }
}

/// @attention The caller must hold `guard`.
void crash_table::assessParts(assessment_map &next, attributed_ends &attributed) const
{
    for (const crash_record *one : parts()) {
        const std::size_t count = countedEnds(*one);
        if (count == 0)
            continue;
        assessment assessed{{count, one->wasServed}, 0, one->kind};
        if (isVerdictUpheld(*one)) {
            assessed.untilMs = lastEndOf(*one) + quarantineTime(count).count();
            for (const ended_incarnation &each : one->incarnations)
                attributed.emplace(each.incarnationKey, SIZE_MAX);
        }
        next.emplace(one->key, assessed);
    }
}

/// @attention The caller must hold `guard`.
void crash_table::assessRequests(assessment_map &next, attributed_ends &attributed) const
{
    std::vector<std::pair<std::size_t, const crash_record *>> order;
    order.reserve(records.size());
    for (const auto &[key, entry] : records) {
        if (!isPart(entry))
            order.emplace_back(countedEnds(entry), &entry);
    }
    std::ranges::stable_sort(order, std::ranges::greater{}, &decltype(order)::value_type::first);
    const auto before = assessments.current();
    for (const auto &[count, one] : order) {
        if (count == 0)
            break;
        std::size_t unattributed = 0;
        for (const ended_incarnation &each : one->incarnations) {
            const auto found = attributed.find(each.incarnationKey);
            const bool isAttributed = found != attributed.end() && found->second > count;
            unattributed += isCounted(*one, each) && !isAttributed ? 1 : 0;
        }
        const auto previous = before->find(one->key);
        const bool wasQuarantined = previous != before->end() && previous->second.untilMs > 0;
        const bool isCause = unattributed >= config::quarantineIncarnations;
        assessment assessed{{count, one->wasServed}, 0, one->kind};
        if (isCause || (wasQuarantined && count >= config::quarantineIncarnations))
            assessed.untilMs = lastEndOf(*one) + quarantineTime(count).count();
        if (isCause) {
            for (const ended_incarnation &each : one->incarnations)
                attributed.emplace(each.incarnationKey, count);
        }
        next.emplace(one->key, assessed);
    }
}

/// Recomputes what is in quarantine.
/// @attention The caller must hold `guard`.
void crash_table::reassess()
{
    assessment_map next;
    attributed_ends attributed;
    assessParts(next, attributed);
    assessRequests(next, attributed);
    assessments.update([&](assessment_map &value) {
        value = std::move(next);
        return true;
    });
}

bool crash_table::recordEnd(std::uint64_t digest, const ended_incarnation &ended)
{
    return merge({crash_record{digest, {ended}, 0}});
}

std::vector<crash_record> crash_table::recordServed(const request_suspects &suspects,
                                                    std::uint64_t known)
{
    const auto current = assessments.current();
    if (current->empty())
        return {};
    std::vector<std::uint64_t> keys{suspects.digest};
    for (const part_suspect &part : suspects.parts)
        keys.push_back(part.key);
    std::erase_if(keys, [&current](std::uint64_t key) { return !current->contains(key); });
    if (keys.empty())
        return {};
    const std::lock_guard lock(guard);
    std::vector<crash_record> cleared;
    for (const std::uint64_t key : keys) {
        const auto found = records.find(key);
        if (found == records.end())
            continue;
        crash_record next = found->second;
        next.wasServed = isPart(next);
        for (ended_incarnation &each : next.incarnations) {
            const auto number = endNumbers.find(each.incarnationKey);
            each.isCleared =
                    each.isCleared || number == endNumbers.end() || number->second <= known;
        }
        if (next != found->second)
            cleared.push_back(std::move(next));
    }
    mergeLocked(cleared);
    return cleared;
}

void crash_table::convict(std::uint64_t key)
{
    const std::lock_guard lock(guard);
    crash_record convicted;
    convicted.key = key;
    convicted.kind = suspect_kind::PromptPart;
    convicted.isConvicted = true;
    mergeLocked({convicted});
}

bool crash_table::merge(const std::vector<crash_record> &received)
{
    const std::lock_guard lock(guard);
    return mergeLocked(received);
}

/// @attention The caller must hold `guard`.
void crash_table::numberEnds(const crash_record &received)
{
    for (const ended_incarnation &each : received.incarnations) {
        if (endNumbers.try_emplace(each.incarnationKey, endCount.load() + 1).second)
            ++endCount;
    }
}

/// @attention The caller must hold `guard`.
bool crash_table::mergeLocked(const std::vector<crash_record> &received)
{
    bool isNew = false;
    for (const crash_record &one : received) {
        numberEnds(one);
        crash_record &entry = recordOf(one.key);
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

std::optional<quarantine> crash_table::quarantineOf(const request_suspects &suspects,
                                                    std::int64_t nowMs) const
{
    const auto current = assessments.current();
    if (current->empty())
        return std::nullopt;
    const auto activeOf = [&](std::uint64_t key) -> std::optional<quarantine> {
        const auto found = current->find(key);
        if (found == current->end() || !found->second.isActiveAt(nowMs))
            return std::nullopt;
        const assessment &active = found->second;
        const milliseconds remaining(active.untilMs - nowMs);
        const bool isOver = remaining <= milliseconds::zero();
        return quarantine{active.ends.incarnations, isOver ? config::partTrialInterval : remaining,
                          key, active.kind, isOver};
    };
    auto active = activeOf(suspects.digest);
    for (std::size_t i = 0; !active && i < suspects.parts.size(); ++i)
        active = activeOf(suspects.parts[i].key);
    return active;
}

counted_ends crash_table::countEnds(std::uint64_t key) const
{
    const auto current = assessments.current();
    const auto found = current->find(key);
    return found == current->end() ? counted_ends{} : found->second.ends;
}

bool crash_table::hasEnded(std::uint64_t incarnationKey) const
{
    const std::lock_guard lock(guard);
    return endNumbers.contains(incarnationKey);
}

std::vector<crash_record> crash_table::persistentRecords() const
{
    const std::lock_guard lock(guard);
    std::array<std::vector<crash_record>, 2> byKind;
    for (const auto &[key, entry] : records) {
        const bool isKept = isPart(entry)
                ? isVerdictUpheld(entry)
                : entry.incarnations.size() >= config::minStoredIncarnations;
        if (isKept)
            byKind[isPart(entry) ? 1 : 0].push_back(entry);
    }
    std::vector<crash_record> persistent;
    for (std::vector<crash_record> &each : byKind) {
        std::ranges::stable_sort(each, std::ranges::greater{}, [](const crash_record &one) {
            return std::pair(countedEnds(one), lastEndOf(one));
        });
        each.resize(std::min(each.size(), config::maxStoredCrashRecords));
        std::ranges::move(each, std::back_inserter(persistent));
    }
    std::ranges::sort(persistent, {}, &crash_record::key);
    return persistent;
}

std::optional<crash_record> crash_table::find(std::uint64_t key) const
{
    const std::lock_guard lock(guard);
    const auto found = records.find(key);
    return found == records.end() ? std::nullopt : std::optional(found->second);
}

std::vector<suspected_part> crash_table::suspectedParts() const
{
    const std::lock_guard lock(guard);
    std::vector<suspected_part> suspected;
    for (const crash_record *one : parts()) {
        if (!one->isConvicted && one->incarnations.size() >= suspectedWeight
            && weightAgainst(*one) >= suspectedWeight)
            suspected.push_back({one->key, one->incarnations.size()});
    }
    return suspected;
}

std::set<std::uint64_t> crash_table::partsToConvict() const
{
    const std::lock_guard lock(guard);
    return crashingParts(parts());
}

std::size_t crash_table::countOthersAt(const crash_record &part) const
{
    const std::lock_guard lock(guard);
    const std::vector<const crash_record *> all = parts();
    return static_cast<std::size_t>(std::ranges::count_if(all, [&](const crash_record *other) {
        return other->key != part.key
                && std::ranges::any_of(other->incarnations, [&](const ended_incarnation &each) {
                       return std::ranges::binary_search(part.incarnations, each.incarnationKey, {},
                                                         &ended_incarnation::incarnationKey);
                   });
    }));
}

std::size_t crash_table::countRecords(suspect_kind kind) const
{
    const std::lock_guard lock(guard);
    return static_cast<std::size_t>(std::ranges::count_if(
            records, [kind](const auto &entry) { return entry.second.kind == kind; }));
}

std::uint64_t crash_table::fingerprintAt(std::int64_t nowMs) const
{
    std::uint64_t fingerprint = 0;
    const auto current = assessments.current();
    for (const auto &[key, assessed] : *current) {
        if (assessed.isActiveAt(nowMs))
            fingerprint ^= key;
    }
    constexpr std::uint64_t maxValue = (std::uint64_t{1} << config::quarantineFingerprintBits) - 1;
    return fingerprint == 0 ? 0 : fingerprint % maxValue + 1;
}

} // namespace poplarspool::crashes
