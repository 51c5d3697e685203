#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <algorithm>
#include <vector>

namespace poplarspool::peer {

namespace {

/// Minimum bytes of an encoded item of each list.
constexpr std::size_t minWorkBytes = 13;
constexpr std::size_t minPrefixBytes = 9;

constexpr std::size_t minRankedBytes = 4;
constexpr std::size_t minWorkspaceBytes = 5;
constexpr std::size_t minSampleBytes = 5;

/// Urgent requests of one lower rank at one runner.
struct ranked_item
{
    std::uint32_t index = 0; ///< Of the runner in load_update::work.
    std::uint32_t rank = 0; ///< Index in runner_work::lowerRanks.
    ranked_work work;
};

std::vector<ranked_item> rankedItemsOf(const load_update &update)
{
    std::vector<ranked_item> items;
    for (std::uint32_t index = 0; index < update.work.size(); ++index) {
        for (std::uint32_t rank = 0; rank < rankLevels - 1; ++rank) {
            const ranked_work &work = update.work[index].lowerRanks[rank];
            if (work != ranked_work{})
                items.push_back({index, rank, work});
        }
    }
    return items;
}

void setRanked(load_update &update, const std::vector<ranked_item> &items)
{
    for (const ranked_item &one : items) {
        if (one.index >= update.work.size() || one.rank >= rankLevels - 1)
            throw malformed_payload("unknown runner or rank");
        update.work[one.index].lowerRanks[one.rank] = one.work;
    }
}

/// What only some configurations need. It follows the rest and is left out if there is none:
/// updates without it have the format of earlier releases.
template <class Codec, class Update>
void optionalFields(Codec &codec, Update &update, std::vector<ranked_item> &ranked)
{
    codec.list(ranked, config::maxLoadItems * (rankLevels - 1), minRankedBytes,
               [](Codec &each, auto &item) {
                   each.small(item.index);
                   each.small(item.rank);
                   each.small(item.work.waiting);
                   each.small(item.work.prefillMs);
               });
    codec.list(update.workspaces, config::maxWorkspaceItems, minWorkspaceBytes,
               [](Codec &each, auto &item) {
                   each.fixed(item.workspace);
                   each.small(item.work);
               });
    codec.list(update.samples, config::maxEngineSamples, minSampleBytes,
               [](Codec &each, auto &item) {
                   each.fixed(item.runner);
                   each.small(item.pacePercent);
               });
}

template <class Codec, class Update>
void loadUpdateFields(Codec &codec, Update &update)
{
    codec.list(update.work, config::maxLoadItems, minWorkBytes, [](Codec &each, auto &item) {
        each.fixed(item.runner);
        each.small(item.open);
        each.small(item.urgentPrefillMs);
        each.small(item.latePrefillMs);
        each.fixed(item.prefilledTokens);
        each.small(item.urgentWaiting);
        each.small(item.lateWaiting);
    });
    codec.list(update.cached, config::maxCachedPrefixes, minPrefixBytes,
               [](Codec &each, auto &item) {
                   each.fixed(item.runner);
                   each.fixed(item.prefixHash);
                   each.small(item.isPrefilled);
               });
    codec.fixed(update.zone);
    codec.small(update.digestParts);
    if (update.digestParts == 0)
        return;
    codec.small(update.digestPart);
    codec.fixed(update.origin);
    codec.small(update.mustForward);
}

} // namespace

std::uint32_t zoneKey(const zone_id &zone)
{
    return std::max(static_cast<std::uint32_t>(hashOf(zone.text)), 1U);
}

std::uint32_t runnerKey(const runner_id &id)
{
    return static_cast<std::uint32_t>(hashOf(id.text));
}

std::uint32_t workspaceKey(std::string_view id)
{
    return static_cast<std::uint32_t>(hashOf(id));
}

result<std::string> encode(const load_update &update)
{
    std::vector<ranked_item> ranked = rankedItemsOf(update);
    const bool hasOptional =
            !ranked.empty() || !update.workspaces.empty() || !update.samples.empty();
    return tryEncode([&](encoder &out) {
        loadUpdateFields(out, update);
        if (hasOptional)
            optionalFields(out, update, ranked);
    });
}

result<load_update> decodeLoadUpdate(std::string_view payload)
{
    try {
        decoder in(payload);
        load_update update;
        loadUpdateFields(in, update);
        if (in.left() > 0) {
            std::vector<ranked_item> ranked;
            optionalFields(in, update, ranked);
            setRanked(update, ranked);
        }
        in.finish();
        return update;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed load update");
    }
}

} // namespace poplarspool::peer
