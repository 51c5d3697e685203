#include "crashes/part_verdicts.h"

#include "poplarspool/crashes/limits.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <vector>

namespace poplarspool::crashes {

namespace {

/// A record at one of its ends.
struct part_end
{
    const crash_record *part = nullptr;
    const ended_incarnation *ended = nullptr;
};

using ends_by_incarnation = std::map<std::uint64_t, std::vector<part_end>>;
using key_set = std::set<std::uint64_t>;

ends_by_incarnation indexOf(std::span<const crash_record *const> parts)
{
    ends_by_incarnation index;
    for (const crash_record *part : parts) {
        for (const ended_incarnation &each : part->incarnations)
            index[each.incarnationKey].push_back({part, &each});
    }
    return index;
}

bool shareDigest(const ended_incarnation &a, const ended_incarnation &b)
{
    return std::ranges::any_of(a.digests, [&b](std::uint64_t digest) {
        return std::ranges::binary_search(b.digests, digest);
    });
}

/// @returns Whether a request that ended there has a part at a later place that was never served.
bool hasNarrowerSuspect(const crash_record &part, const ended_incarnation &ended,
                        const ends_by_incarnation &index)
{
    return std::ranges::any_of(index.at(ended.incarnationKey), [&](const part_end &other) {
        return !other.part->wasServed && other.part->place > part.place
                && shareDigest(*other.ended, ended);
    });
}

/// @returns Whether a runner without the part ended in the same moment: then something else ends
///          runners.
bool haveOthersEnded(const crash_record &part, const ended_incarnation &ended,
                     const ends_by_incarnation &index)
{
    return std::ranges::any_of(index, [&](const auto &entry) {
        const std::int64_t time = entry.second.front().ended->endedAtMs - ended.endedAtMs;
        return std::abs(time) < config::crashMoment.count()
                && std::ranges::find(entry.second, &part, &part_end::part) == entry.second.end();
    });
}

std::size_t momentsOf(const std::vector<const ended_incarnation *> &ends)
{
    std::vector<std::int64_t> times;
    times.reserve(ends.size());
    for (const ended_incarnation *each : ends)
        times.push_back(each->endedAtMs);
    std::ranges::sort(times);
    std::size_t moments = 0;
    std::int64_t momentStart = 0;
    for (const std::int64_t time : times) {
        if (moments > 0 && time - momentStart < config::crashMoment.count())
            continue;
        momentStart = time;
        ++moments;
    }
    return moments;
}

std::size_t weightOf(const std::vector<const ended_incarnation *> &ends)
{
    key_set digests;
    for (const ended_incarnation *each : ends)
        digests.insert(each->digests.begin(), each->digests.end());
    return std::min(momentsOf(ends), digests.size() + 1);
}

std::vector<const ended_incarnation *> countedEnds(const crash_record &part)
{
    std::vector<const ended_incarnation *> counted;
    for (const ended_incarnation &each : part.incarnations) {
        if (isCounted(part, each))
            counted.push_back(&each);
    }
    return counted;
}

/// The greatest is convicted first.
struct part_evidence
{
    bool isNew = false; ///< No request with the part was ever served.
    std::size_t weight = 0;
    std::uint8_t place = 0;

    // clang-tidy mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const part_evidence &) const = default;
};

/// @returns None if the part can't be convicted.
std::optional<part_evidence> evidenceAgainst(const crash_record &part,
                                             const ends_by_incarnation &index,
                                             const key_set &explained)
{
    std::vector<const ended_incarnation *> all;
    std::vector<const ended_incarnation *> narrowest;
    for (const ended_incarnation *each : countedEnds(part)) {
        if (explained.contains(each->incarnationKey))
            continue;
        all.push_back(each);
        const bool isLikely = !part.wasServed || !haveOthersEnded(part, *each, index);
        if (isLikely && !hasNarrowerSuspect(part, *each, index))
            narrowest.push_back(each);
    }
    const std::size_t weight = weightOf(all);
    if (weightOf(narrowest) < config::quarantineIncarnations
        && weight < config::servedPartIncarnations)
        return std::nullopt;
    return part_evidence{!part.wasServed, weight, part.place};
}

} // namespace

std::size_t weightAgainst(const crash_record &part)
{
    return weightOf(countedEnds(part));
}

bool isVerdictUpheld(const crash_record &part)
{
    return part.isConvicted && weightAgainst(part) >= config::quarantineIncarnations;
}

std::set<std::uint64_t> crashingParts(std::span<const crash_record *const> parts)
{
    std::vector<const crash_record *> candidates;
    key_set explained;
    const auto explain = [&explained](const crash_record &part) {
        for (const ended_incarnation *each : countedEnds(part))
            explained.insert(each->incarnationKey);
    };
    for (const crash_record *part : parts) {
        if (isVerdictUpheld(*part))
            explain(*part);
        else if (part->incarnations.size() >= config::quarantineIncarnations)
            candidates.push_back(part);
    }
    key_set convicted;
    const ends_by_incarnation index = candidates.empty() ? ends_by_incarnation() : indexOf(parts);
    while (true) {
        const crash_record *worst = nullptr;
        std::optional<part_evidence> most;
        for (const crash_record *part : candidates) {
            const auto evidence = evidenceAgainst(*part, index, explained);
            if (!convicted.contains(part->key) && evidence > most) {
                most = evidence;
                worst = part;
            }
        }
        if (worst == nullptr)
            return convicted;
        convicted.insert(worst->key);
        explain(*worst);
    }
}

} // namespace poplarspool::crashes
