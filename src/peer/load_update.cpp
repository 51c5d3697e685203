#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

/// Minimum bytes of an encoded item of each list.
constexpr std::size_t minWorkBytes = 13;
constexpr std::size_t minPrefixBytes = 9;

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

result<std::string> encode(const load_update &update)
{
    return tryEncode([&update](encoder &out) { loadUpdateFields(out, update); });
}

result<load_update> decodeLoadUpdate(std::string_view payload)
{
    try {
        decoder in(payload);
        load_update update;
        loadUpdateFields(in, update);
        in.finish();
        return update;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed load update");
    }
}

} // namespace poplarspool::peer
