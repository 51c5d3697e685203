#include "poplarspool/policy/routing.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <tuple>

namespace poplarspool::policy {

namespace {

struct ranked_member
{
    std::tuple<bool, bool, bool, std::uint64_t> key; ///< The least is the best.
    const member *who = nullptr;

    bool isElsewhere() const { return std::get<2>(key); }
    bool operator<(const ranked_member &other) const { return key < other.key; }
};

bool isOffered(const member &who)
{
    const bool isThere = who.state == member_state::Alive || who.state == member_state::Suspect;
    return isThere && who.callerAddress.isValid();
}

/// @returns Streams beyond which an instance is overloaded beside the others. Callers keep an
///          address for seconds and counts lag, so a strict order by load would send everybody
///          to the instance that happens to be the emptiest; a bound only spares the fullest.
double loadBound(const view &now)
{
    double streams = 0;
    double count = 0;
    for (const member &who : now.members)
        if (isOffered(who)) {
            streams += who.openStreams;
            ++count;
        }
    const double mean = count > 0 ? streams / count : 0;
    return mean * config::addressLoadFactor + config::addressLoadSlack;
}

/// Keeps the best of a sorted list, with some from other zones among them: a caller whose list
/// names one zone only has nowhere to go when that zone is lost.
void shorten(std::vector<ranked_member> &ranked)
{
    if (ranked.size() <= config::maxRankedAddresses)
        return;
    const auto most = ranked.begin() + config::maxRankedAddresses;
    const auto spare = most - config::minElsewhereAddresses;
    const auto elsewhere = std::stable_partition(
            spare, ranked.end(), [](const ranked_member &one) { return one.isElsewhere(); });
    std::sort(spare, elsewhere);
    ranked.resize(config::maxRankedAddresses);
}

} // namespace

std::vector<endpoint> rankAddresses(const view &now, const zone_id &zone, std::uint64_t tieBreak)
{
    const double bound = loadBound(now);
    std::vector<ranked_member> ranked;
    ranked.reserve(now.members.size());
    for (const member &who : now.members) {
        if (!isOffered(who))
            continue;
        const bool isSuspect = who.state == member_state::Suspect;
        const bool isOverloaded = who.openStreams > bound;
        const bool isElsewhere = zone.isValid() && who.zone != zone;
        ranked.push_back(
                {{isSuspect, isOverloaded, isElsewhere, hashOf(who.id.text, tieBreak)}, &who});
    }
    std::sort(ranked.begin(), ranked.end());
    shorten(ranked);
    std::vector<endpoint> addresses;
    addresses.reserve(ranked.size());
    for (const ranked_member &one : ranked)
        addresses.push_back(one.who->callerAddress);
    return addresses;
}

} // namespace poplarspool::policy
