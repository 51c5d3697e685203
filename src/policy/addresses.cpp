#include "poplarspool/policy/routing.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/policy/limits.h"

#include <algorithm>
#include <tuple>

namespace poplarspool::policy {

namespace {

struct ranked_member
{
    std::tuple<bool, bool, bool, std::uint64_t> key; ///< The lowest key is the best.
    const member *instance = nullptr;

    bool isElsewhere() const { return std::get<2>(key); }
    bool operator<(const ranked_member &other) const { return key < other.key; }
};

bool isEligible(const member &instance)
{
    const bool isUp =
            instance.state == member_state::Alive || instance.state == member_state::Suspect;
    return isUp && instance.callerAddress.isValid();
}

/// @returns Number of streams above which an instance counts as overloaded compared with the
///          others. Callers keep an address for seconds and the counts are delayed, so a strict
///          order by load would send all callers to the least loaded instance. A bound only ranks
///          the most loaded ones after the others.
double loadBound(const view &now)
{
    double streams = 0;
    double count = 0;
    for (const member &instance : now.members)
        if (isEligible(instance)) {
            streams += instance.openStreams;
            ++count;
        }
    const double mean = count > 0 ? streams / count : 0;
    return mean * config::addressLoadFactor + config::addressLoadSlack;
}

/// Truncates a sorted list to its best entries and includes some from other zones: a caller whose
/// list contains one zone only can't reach any instance when that zone fails.
void truncate(std::vector<ranked_member> &ranked)
{
    if (ranked.size() <= config::maxRankedAddresses)
        return;
    const auto limit = ranked.begin() + config::maxRankedAddresses;
    const auto reserved = limit - config::minOtherZoneAddresses;
    const auto elsewhere = std::stable_partition(
            reserved, ranked.end(), [](const ranked_member &one) { return one.isElsewhere(); });
    std::sort(reserved, elsewhere);
    ranked.resize(config::maxRankedAddresses);
}

} // namespace

std::vector<endpoint> rankAddresses(const view &now, const zone_id &zone, std::uint64_t tieBreak)
{
    const double bound = loadBound(now);
    std::vector<ranked_member> ranked;
    ranked.reserve(now.members.size());
    for (const member &instance : now.members) {
        if (!isEligible(instance))
            continue;
        const bool isSuspect = instance.state == member_state::Suspect;
        const bool isOverloaded = instance.openStreams > bound;
        const bool isElsewhere = zone.isValid() && instance.zone != zone;
        ranked.push_back(
                {{isSuspect, isOverloaded, isElsewhere, hashOf(instance.id.text, tieBreak)},
                 &instance});
    }
    std::sort(ranked.begin(), ranked.end());
    truncate(ranked);
    std::vector<endpoint> addresses;
    addresses.reserve(ranked.size());
    for (const ranked_member &one : ranked)
        addresses.push_back(one.instance->callerAddress);
    return addresses;
}

} // namespace poplarspool::policy
