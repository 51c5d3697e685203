#include "gateway/suspect_book.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

std::size_t countedEnds(const suspect &one)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            one.lives, [&](const ended_life &each) { return each.endedMs > one.servedMs; }));
}

std::int64_t lastEndOf(const suspect &one)
{
    std::int64_t last = 0;
    for (const ended_life &each : one.lives)
        last = std::max(last, each.endedMs);
    return last;
}

/// The time grows with each further incarnation, so that a request that keeps crashing runners is
/// sent three times in the first day.
milliseconds quarantineTime(std::size_t count)
{
    milliseconds time = config::quarantineTimeFirst;
    for (std::size_t more = config::quarantineLives; more < count; ++more)
        time = std::min<milliseconds>(time * config::quarantineGrowth, config::quarantineTimeMost);
    return time;
}

void addIncarnation(std::vector<ended_life> &incarnations, const ended_life &one)
{
    const auto place = std::ranges::lower_bound(incarnations, one.life, {}, &ended_life::life);
    if (place != incarnations.end() && place->life == one.life)
        place->endedMs = std::max(place->endedMs, one.endedMs);
    else
        incarnations.insert(place, one);
    if (incarnations.size() > config::maxSuspectLives)
        incarnations.erase(std::ranges::min_element(incarnations, {}, &ended_life::endedMs));
}

} // namespace

std::uint64_t lifeKeyOf(const runner &target)
{
    return hashOf(target.id.text, target.bornMs);
}

suspect joined(const suspect &a, const suspect &b)
{
    suspect both = a;
    both.servedMs = std::max(a.servedMs, b.servedMs);
    for (const ended_life &each : b.lives)
        addIncarnation(both.lives, each);
    return both;
}

/// @attention The caller must hold `guard`.
suspect &suspect_book::recordOf(std::uint64_t digest)
{
    suspect &entry = records[digest];
    entry.digest = digest;
    return entry;
}

/// Evicts the records with the fewest counted ends, the oldest first.
/// @attention The caller must hold `guard`.
void suspect_book::evictExcess()
{
    while (records.size() > config::maxSuspects) {
        const auto fewest = std::ranges::min_element(records, {}, [](const auto &entry) {
            return std::pair(countedEnds(entry.second), lastEndOf(entry.second));
        });
        records.erase(fewest);
    }
}

/// Recomputes which requests are in quarantine.
/// @attention The caller must hold `guard`.
void suspect_book::reassess()
{
    std::vector<std::pair<std::size_t, const suspect *>> order;
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
        for (const ended_life &each : one->lives) {
            const auto found = attributed.find(each.life);
            const bool isAttributed = found != attributed.end() && found->second > count;
            unattributed += each.endedMs > one->servedMs && !isAttributed ? 1 : 0;
        }
        const auto previous = before->find(one->digest);
        const bool wasQuarantined = previous != before->end() && previous->second.untilMs > 0;
        const bool isCause = unattributed >= config::quarantineLives;
        assessment assessed{count, 0};
        if (isCause || (wasQuarantined && count >= config::quarantineLives))
            assessed.untilMs = lastEndOf(*one) + quarantineTime(count).count();
        if (isCause) {
            for (const ended_life &each : one->lives)
                attributed.emplace(each.life, count);
        }
        next.emplace(one->digest, assessed);
    }
    assessments.update([&](assessment_map &value) {
        value = std::move(next);
        return true;
    });
}

bool suspect_book::noteEnded(std::uint64_t digest, const ended_life &ended)
{
    return join({suspect{digest, {ended}, 0}});
}

bool suspect_book::noteServed(std::uint64_t digest, std::int64_t nowMs)
{
    if (countLives(digest) == 0)
        return false;
    return join({suspect{digest, {}, nowMs}});
}

bool suspect_book::join(const std::vector<suspect> &received)
{
    const std::lock_guard lock(guard);
    bool isNew = false;
    for (const suspect &one : received) {
        suspect &entry = recordOf(one.digest);
        suspect next = joined(entry, one);
        isNew = isNew || next != entry;
        entry = std::move(next);
    }
    if (isNew) {
        evictExcess();
        reassess();
    }
    return isNew;
}

std::optional<quarantine> suspect_book::quarantineOf(std::uint64_t digest, std::int64_t nowMs) const
{
    const auto now = assessments.current();
    const auto found = now->find(digest);
    if (found == now->end() || found->second.untilMs <= nowMs)
        return std::nullopt;
    return quarantine{found->second.incarnations, milliseconds(found->second.untilMs - nowMs)};
}

std::size_t suspect_book::countLives(std::uint64_t digest) const
{
    const auto now = assessments.current();
    const auto found = now->find(digest);
    return found == now->end() ? 0 : found->second.incarnations;
}

bool suspect_book::hasEnded(std::uint64_t incarnationKey) const
{
    const std::lock_guard lock(guard);
    return std::ranges::any_of(records, [incarnationKey](const auto &entry) {
        return std::ranges::binary_search(entry.second.lives, incarnationKey, {},
                                          &ended_life::life);
    });
}

std::vector<suspect> suspect_book::lasting() const
{
    const std::lock_guard lock(guard);
    std::vector<suspect> persistent;
    for (const auto &[digest, entry] : records) {
        if (entry.lives.size() >= config::storedLives)
            persistent.push_back(entry);
    }
    std::ranges::stable_sort(persistent, std::ranges::greater{}, [](const suspect &one) {
        return std::pair(countedEnds(one), lastEndOf(one));
    });
    if (persistent.size() > config::maxStoredSuspects)
        persistent.resize(config::maxStoredSuspects);
    std::ranges::sort(persistent, {}, &suspect::digest);
    return persistent;
}

std::optional<suspect> suspect_book::find(std::uint64_t digest) const
{
    const std::lock_guard lock(guard);
    const auto found = records.find(digest);
    return found == records.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t suspect_book::markAt(std::int64_t nowMs) const
{
    std::uint64_t fingerprint = 0;
    const auto now = assessments.current();
    for (const auto &[digest, assessed] : *now) {
        if (assessed.untilMs > nowMs)
            fingerprint ^= digest;
    }
    constexpr std::uint64_t maxValue = (std::uint64_t{1} << config::suspectMarkBits) - 1;
    return fingerprint == 0 ? 0 : fingerprint % maxValue + 1;
}

} // namespace poplarspool::gateway
