#include "poplarspool/peer/update_assembler.h"

#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <iterator>

namespace poplarspool::peer {

std::optional<kind_update> update_assembler::add(std::uint64_t sender, const kind_update &received,
                                                 mono_time now)
{
    if (received.parts <= 1)
        return received;
    if (received.parts > config::maxUpdateParts || received.part >= received.parts)
        return std::nullopt;
    // The parts of an update arrive together; after a while the missing ones are lost.
    std::erase_if(pending, [now](const auto &entry) {
        return now - entry.second.startedAt > config::relayedChangeRetention;
    });
    const update_key key{sender, received.kind, received.since, received.version};
    const auto [found, isFirst] = pending.try_emplace(key);
    pending_update &update = found->second;
    if (isFirst) {
        update = {now, received.parts, {}};
        update.parts.resize(received.parts);
    }
    if (received.part >= update.parts.size() || update.parts[received.part])
        return std::nullopt;
    update.parts[received.part] = received.changes;
    if (--update.missing > 0)
        return std::nullopt;
    kind_update whole = received;
    whole.part = 0;
    whole.parts = 1;
    whole.changes.clear();
    for (auto &part : update.parts)
        std::ranges::move(*part, std::back_inserter(whole.changes));
    pending.erase(found);
    return whole;
}

void update_assembler::keep(kind_update update, mono_time now)
{
    if (early.size() < config::maxEarlyUpdates)
        early.push_back({std::move(update), now});
}

std::optional<kind_update> update_assembler::takeNext(std::uint32_t kind, store_version known,
                                                      mono_time now)
{
    std::erase_if(early, [&](const early_update &one) {
        const bool isOutdated = one.update.kind == kind && one.update.version <= known;
        return isOutdated || now - one.keptAt > config::relayedChangeRetention;
    });
    const auto next = std::ranges::find_if(early, [&](const early_update &one) {
        return one.update.kind == kind && one.update.version.epoch == known.epoch
                && one.update.since <= known.revision;
    });
    if (next == early.end())
        return std::nullopt;
    kind_update taken = std::move(next->update);
    early.erase(next);
    return taken;
}

} // namespace poplarspool::peer
