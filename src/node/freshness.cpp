#include "node/freshness.h"

#include "poplarspool/node/limits.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

const policy::member *findMember(const std::vector<policy::member> &members, const instance_id &id)
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const policy::member &other) { return other.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool isReachable(const policy::member &other)
{
    return other.state == policy::member_state::Alive
            || other.state == policy::member_state::Leaving;
}

/// Counts the voters (the listed instances, or the known members if the list was never fetched) and
/// those of them that are reachable now.
std::pair<std::size_t, std::size_t> countReachable(const freshness_facts &facts)
{
    std::size_t voters = 0;
    std::size_t reachable = 0;
    if (facts.listed.empty()) {
        voters = facts.members.size();
        reachable = static_cast<std::size_t>(
                std::count_if(facts.members.begin(), facts.members.end(), isReachable));
        return {voters, reachable};
    }
    for (const platform::listed_instance &entry : facts.listed) {
        ++voters;
        const policy::member *known = findMember(facts.members, entry.id);
        if (entry.id == facts.self || (known && isReachable(*known)))
            ++reachable;
    }
    return {voters, reachable};
}

} // namespace

mono_time freshUntil(const freshness_facts &facts)
{
    if (facts.appliedVersion == 0)
        return {};
    const mono_time confirmedUntil = facts.confirmedAt + config::maxFreshAge;
    if (facts.now < confirmedUntil)
        return confirmedUntil;
    const auto [voters, reachable] = countReachable(facts);
    const auto isNewer = [&](const policy::member &other) {
        return other.appliedVersion > facts.appliedVersion;
    };
    if (reachable * 2 <= voters || std::any_of(facts.members.begin(), facts.members.end(), isNewer))
        return confirmedUntil;
    return facts.now + config::majorityCheckValidity;
}

bool isAppliedEverywhere(const acknowledgements &known)
{
    for (const policy::member &other : known.members) {
        if (other.state != policy::member_state::Dead && other.appliedVersion < known.version)
            return false;
    }
    for (const platform::listed_instance &entry : known.listed) {
        const policy::member *other = findMember(known.members, entry.id);
        if (!other || other->appliedVersion < known.version)
            return false;
    }
    if (known.sinceFirstQuery > config::maxFreshAge + config::freshMargin)
        return true;
    return std::none_of(
            known.departed.begin(), known.departed.end(),
            [&](const departed_member &other) { return other.appliedVersion < known.version; });
}

} // namespace poplarspool::node
