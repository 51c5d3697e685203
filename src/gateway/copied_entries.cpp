#include "poplarspool/gateway/copied_entries.h"

#include "poplarspool/gateway/limits.h"

#include <tuple>

namespace poplarspool::gateway {

void copied_entries::noteGone(const runner &entry, mono_time now)
{
    forgetOld(now);
    gone[entry.id] = {entry.bornMs, now};
    // It was kept for a while, since the copy before lacked it: now it is known to have left.
    const auto copied = outdated.find(entry.id);
    if (copied != outdated.end() && copied->second.listed)
        mark(*copied->second.listed);
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

/// One that the copy shows as leaving is left alone anyway, and one without a count of its writes
/// would be doubted at each start from then on.
void copied_entries::mark(const runner &entry)
{
    if (!entry.isDraining && entry.writes > 0 && marksOfCopy.size() < config::maxEntryMarks)
        marksOfCopy.push_back({entry.id, entry.bornMs, entry.writes});
}

void copied_entries::setCopy(const runner_map &known, const std::vector<runner> &copy,
                             mono_time now)
{
    forgetOld(now);
    outdated.clear();
    marksOfCopy.clear();
    copiedAt = now;
    for (const runner &entry : copy) {
        if (!isLessThanKnown(known, entry))
            continue;
        outdated[entry.id] = {entry.bornMs, entry.writes, now, entry};
        const auto present = known.find(entry.id);
        const bool hasLeft = present == known.end() || present->second->isDraining;
        // One that lives though its entry is older is needed.
        if (hasLeft)
            mark(entry);
    }
}

void copied_entries::doubt(const std::vector<entry_mark> &told, mono_time now)
{
    for (const entry_mark &mark : told) {
        const auto before = toldMarks.find(mark.id);
        if (before != toldMarks.end()
            && std::tie(before->second.bornMs, before->second.writes)
                    >= std::tie(mark.bornMs, mark.writes))
            continue;
        toldMarks[mark.id] = mark;
        outdated[mark.id] = {mark.bornMs, mark.writes, now, std::nullopt};
        // Against the next copy.
        gone[mark.id] = {mark.bornMs, now};
    }
}

bool copied_entries::isOutdated(const runner &entry)
{
    const auto found = outdated.find(entry.id);
    if (found == outdated.end())
        return false;
    doubted_entry &copied = found->second;
    const bool isNewer =
            std::tie(entry.bornMs, entry.writes) > std::tie(copied.bornMs, copied.writes);
    const bool wasLeaving = copied.listed && copied.listed->isDraining;
    if (!isNewer && (!entry.isDraining || wasLeaving)) {
        copied.listed = entry;
        return true;
    }
    outdated.erase(found);
    return false;
}

std::vector<runner> copied_entries::takeOverdue(mono_time now)
{
    if (now - copiedAt >= config::copyDoubtTime)
        marksOfCopy.clear();
    std::vector<runner> overdue;
    for (auto at = outdated.begin(); at != outdated.end();) {
        const doubted_entry &one = at->second;
        if (now - one.since < config::copyDoubtTime) {
            ++at;
            continue;
        }
        if (one.listed)
            overdue.push_back(*one.listed);
        at = outdated.erase(at);
    }
    return overdue;
}

} // namespace poplarspool::gateway
