#include "poplarspool/crashes/crash_records.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/crashes/limits.h"

#include <algorithm>
#include <iterator>

namespace poplarspool::crashes {

namespace {

/// Keeps the smallest of too many, so that all instances keep the same ones.
void addDigests(std::vector<std::uint64_t> &digests, const std::vector<std::uint64_t> &more)
{
    std::vector<std::uint64_t> both;
    std::ranges::set_union(digests, more, std::back_inserter(both));
    both.resize(std::min(both.size(), config::maxEndDigests));
    digests = std::move(both);
}

void addIncarnation(std::vector<ended_incarnation> &incarnations, const ended_incarnation &one)
{
    const auto place = std::ranges::lower_bound(incarnations, one.incarnationKey, {},
                                                &ended_incarnation::incarnationKey);
    if (place != incarnations.end() && place->incarnationKey == one.incarnationKey) {
        place->endedAtMs = std::max(place->endedAtMs, one.endedAtMs);
        place->isCleared = place->isCleared || one.isCleared;
        addDigests(place->digests, one.digests);
    } else {
        incarnations.insert(place, one);
    }
    if (incarnations.size() > config::maxCrashIncarnations)
        incarnations.erase(
                std::ranges::min_element(incarnations, {}, &ended_incarnation::endedAtMs));
}

} // namespace

std::string_view nameOf(suspect_kind kind)
{
    return kind == suspect_kind::Request ? "request" : "part";
}

std::uint64_t incarnationKeyOf(const observed_runner &target)
{
    return hashOf(target.id.text, target.startedAtMs);
}

std::uint64_t partKeyOf(std::uint64_t id, std::string_view workspace, std::uint64_t seed)
{
    const std::string_view idBytes(reinterpret_cast<const char *>(&id), sizeof(id));
    return hashOf(workspace, hashOf(idBytes, hashOf("part", seed)));
}

crash_record merged(const crash_record &a, const crash_record &b)
{
    crash_record both = a;
    both.servedAtMs = std::max(a.servedAtMs, b.servedAtMs);
    both.kind = std::max(a.kind, b.kind);
    both.place = std::max(a.place, b.place);
    both.wasServed = a.wasServed || b.wasServed;
    both.isConvicted = a.isConvicted || b.isConvicted;
    for (const ended_incarnation &each : b.incarnations)
        addIncarnation(both.incarnations, each);
    return both;
}

bool isCounted(const crash_record &record, const ended_incarnation &ended)
{
    return ended.endedAtMs > record.servedAtMs && !ended.isCleared;
}

} // namespace poplarspool::crashes
