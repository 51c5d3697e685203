#include "poplarspool/peer/store_update.h"

#include "peer/packed_address_codec.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <utility>

namespace poplarspool::peer {

namespace {

/// Minimum bytes of an encoded item of each list.
constexpr std::size_t minKindBytes = 11;
constexpr std::size_t minRequestBytes = 3;
constexpr std::size_t minChangeBytes = 1;

template <class Codec, class Update>
void storeUpdateFields(Codec &codec, Update &update)
{
    codec.list(update.kinds, config::maxUpdateKinds, minKindBytes, [](Codec &each, auto &item) {
        each.small(item.kind);
        each.small(item.isAnswered);
        each.small(item.since);
        each.small(item.version.epoch);
        each.small(item.version.revision);
        each.small(item.ageMs);
        each.list(item.changes, config::maxRelayedChanges, minChangeBytes,
                  [](Codec &inner, auto &change) { inner.text(change, config::maxChangeBytes); });
        each.small(item.isPartial);
        each.small(item.part);
        each.small(item.parts);
        each.small(item.repeatableSince);
    });
    codec.fixed(update.origin);
    codec.list(update.forwardTo, config::maxForwardGroup, packedAddressBytes,
               [](Codec &each, auto &address) { addressFields(each, address); });
    codec.list(update.requests, config::maxUpdateKinds, minRequestBytes,
               [](Codec &each, auto &item) {
                   each.small(item.kind);
                   each.small(item.known.epoch);
                   each.small(item.known.revision);
               });
}

} // namespace

result<std::string> encode(const store_update &update)
{
    return tryEncode([&update](encoder &out) { storeUpdateFields(out, update); });
}

result<store_update> decodeStoreUpdate(std::string_view payload)
{
    try {
        decoder in(payload);
        store_update update;
        storeUpdateFields(in, update);
        in.finish();
        return update;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed store update");
    }
}

void recent_changes::reset(store_version to)
{
    baseRevision = to.revision;
    version = to;
    batches.clear();
    bytes = 0;
}

void recent_changes::add(std::uint64_t since, store_version to, std::vector<std::string> changes,
                         mono_time now)
{
    const bool hasTooLongChange = std::ranges::any_of(
            changes, [](const std::string &one) { return one.size() > config::maxChangeBytes; });
    if (hasTooLongChange)
        return reset(to);
    if (to.epoch != version.epoch || since > version.revision)
        reset({to.epoch, since});
    if (!changes.empty()) {
        std::size_t size = 0;
        for (const std::string &one : changes)
            size += one.size() + minChangeBytes;
        batches.push_back(
                {batch_state::New, since, to.revision, now, {}, std::move(changes), size});
        bytes += size;
    }
    version = std::max(version, to);
    lastAddedAt = now;
    while (!batches.empty()
           && (bytes > config::maxChangeLogBytes
               || now - batches.front().addedAt > config::changeLogTime)) {
        baseRevision = std::max(baseRevision, batches.front().to);
        bytes -= batches.front().bytes;
        batches.pop_front();
    }
}

bool recent_changes::repeatAfter(store_version known, mono_time now)
{
    if (known.epoch != version.epoch)
        return false;
    bool isAnyRepeated = false;
    for (change_batch &batch : batches) {
        if (batch.to <= known.revision || now - batch.repeatedAt < config::minRepeatInterval)
            continue;
        batch.state = batch_state::Requested;
        batch.repeatedAt = now;
        isAnyRepeated = true;
    }
    return isAnyRepeated;
}

/// @returns The first of the newest batches that are repeated: they fit into one update together.
std::deque<recent_changes::change_batch>::const_iterator
recent_changes::firstRepeated(std::size_t maxBytes) const
{
    auto first = batches.end();
    std::size_t total = 0;
    std::size_t count = 0;
    while (first != batches.begin()) {
        const change_batch &batch = *std::prev(first);
        total += batch.bytes;
        count += batch.changes.size();
        const bool isOld = lastAddedAt - batch.addedAt > config::relayedChangeRetention;
        if (total > maxBytes || count > config::maxRelayedChanges || isOld)
            break;
        --first;
    }
    return first;
}

kind_update recent_changes::makeUpdate(std::size_t maxBytes) const
{
    auto first = firstRepeated(maxBytes);
    kind_update update;
    update.version = version;
    update.repeatableSince = baseRevision;
    update.since = first == batches.begin() ? baseRevision : std::prev(first)->to;
    for (; first != batches.end(); ++first)
        update.changes.insert(update.changes.end(), first->changes.begin(), first->changes.end());
    return update;
}

std::vector<kind_update> recent_changes::takeUnsent(std::size_t repeatedBytes, std::size_t maxBytes,
                                                    bool onlyRequested)
{
    std::vector<kind_update> updates;
    const auto repeated = static_cast<std::size_t>(firstRepeated(repeatedBytes) - batches.begin());
    for (std::size_t i = 0; i < batches.size(); ++i) {
        change_batch &batch = batches[i];
        const auto state = std::exchange(batch.state, batch_state::Sent);
        const bool isWanted =
                state == batch_state::Requested || (state == batch_state::New && !onlyRequested);
        if (!isWanted || i >= repeated)
            continue;
        kind_update whole;
        whole.since = i == 0 ? baseRevision : batches[i - 1].to;
        whole.version = {version.epoch, batch.to};
        whole.isPartial = true;
        whole.repeatableSince = baseRevision;
        const std::size_t firstPart = updates.size();
        std::size_t size = maxBytes;
        for (const std::string &change : batch.changes) {
            size += change.size() + minChangeBytes;
            if (size > maxBytes || updates.back().changes.size() >= config::maxRelayedChanges) {
                updates.push_back(whole);
                size = change.size() + minChangeBytes;
            }
            updates.back().changes.push_back(change);
        }
        const std::size_t parts = updates.size() - firstPart;
        for (std::size_t part = 0; part < parts; ++part) {
            updates[firstPart + part].part = static_cast<std::uint32_t>(part);
            updates[firstPart + part].parts = static_cast<std::uint32_t>(parts);
        }
    }
    return updates;
}

} // namespace poplarspool::peer
