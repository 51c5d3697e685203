#include "poplarspool/gateway/copied_entries.h"

#include "poplarspool/gateway/limits.h"

#include <tuple>

namespace poplarspool::gateway {

void copied_entries::noteGone(const runner &entry, mono_time now)
{
    forgetOld(now);
    gone[entry.id] = {entry.bornMs, now};
}

void copied_entries::forgetOld(mono_time now)
{
    std::erase_if(gone,
                  [now](const auto &one) { return now - one.second.at > config::lostWritesTime; });
}

/// A runner that has started again under its id is in a new life, whatever was known of the one
/// before; and a copy may show a life that is long over.
bool copied_entries::isLessThanKnown(const runner_map &known, const runner &entry) const
{
    const auto present = known.find(entry.id);
    if (present != known.end()) {
        const runner &newer = *present->second;
        if (newer.bornMs != entry.bornMs)
            return newer.bornMs > entry.bornMs;
        const bool isMissing = newer.keptUntil != mono_time::max();
        return !entry.isDraining && (newer.isDraining || isMissing || newer.writes > entry.writes);
    }
    const auto before = gone.find(entry.id);
    return before != gone.end() && before->second.bornMs >= entry.bornMs;
}

void copied_entries::setCopy(const runner_map &known, const std::vector<runner> &copy,
                             mono_time now)
{
    forgetOld(now);
    outdated.clear();
    copiedAt = now;
    for (const runner &entry : copy) {
        if (isLessThanKnown(known, entry))
            outdated[entry.id] = entry;
    }
}

bool copied_entries::isOutdated(const runner &entry)
{
    const auto found = outdated.find(entry.id);
    if (found == outdated.end())
        return false;
    const runner &copied = found->second;
    const bool isNewer =
            std::tie(entry.bornMs, entry.writes) > std::tie(copied.bornMs, copied.writes);
    const bool saysThatItLeaves = entry.isDraining && !copied.isDraining;
    if (!isNewer && !saysThatItLeaves)
        return true;
    outdated.erase(found);
    return false;
}

std::vector<runner> copied_entries::takeOverdue(mono_time now)
{
    std::vector<runner> overdue;
    if (now - copiedAt < config::copyDoubtTime)
        return overdue;
    for (const auto &[id, entry] : outdated)
        overdue.push_back(entry);
    outdated.clear();
    return overdue;
}

} // namespace poplarspool::gateway
