#include "peer/rumor_table.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"

#include <tuple>

namespace poplarspool::peer {

namespace {

/// Compares payloads last, so that all instances choose the same one if two writers publish the
/// same version.
bool isNewer(const rumor_update &a, const rumor_update &b)
{
    return std::tie(a.value.version, a.renewal, a.value.payload)
            > std::tie(b.value.version, b.renewal, b.value.payload);
}

bool isBounded(const rumor &update)
{
    return !update.key.empty() && update.key.size() <= config::maxNameBytes
            && update.payload.size() <= config::maxRumorBytes;
}

} // namespace

bool rumor_table::spread(rumor update, mono_time now)
{
    if (!isBounded(update) || !hasRoom(update.key))
        return false;
    known_rumor &entry = known[update.key];
    if (update.version < entry.rumor.value.version)
        return false;
    const bool isRenewal = update.version == entry.rumor.value.version;
    const std::uint32_t renewal = isRenewal ? entry.rumor.renewal + 1 : 0;
    entry = known_rumor{rumor_update{std::move(update), renewal, now}};
    return true;
}

bool rumor_table::merge(const rumor_update &update, mono_time now)
{
    if (!isBounded(update.value) || now - update.spreadAt > retention || !hasRoom(update.value.key))
        return false;
    const auto [place, isNew] = known.try_emplace(update.value.key, known_rumor{update});
    if (isNew)
        return true;
    rumor_update &present = place->second.rumor;
    if (!isNewer(update, present))
        return false;
    const bool isNewVersion = update.value.version > present.value.version;
    place->second = known_rumor{update};
    return isNewVersion;
}

void rumor_table::expire(mono_time now)
{
    std::erase_if(known,
                  [&](const auto &entry) { return now - entry.second.rumor.spreadAt > retention; });
}

std::vector<known_rumor *> rumor_table::toSend(std::uint32_t limit)
{
    std::vector<known_rumor *> result;
    for (auto &[key, entry] : known) {
        if (entry.transmits < limit)
            result.push_back(&entry);
    }
    return result;
}

std::vector<rumor> rumor_table::all() const
{
    std::vector<rumor> result;
    result.reserve(known.size());
    for (const auto &[key, entry] : known)
        result.push_back(entry.rumor.value);
    return result;
}

bool rumor_table::hasRoom(const std::string &key) const
{
    return known.size() < config::maxRumors || known.contains(key);
}

} // namespace poplarspool::peer
