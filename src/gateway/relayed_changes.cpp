#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/gateway/catalogue_updater.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace poplarspool::gateway {

namespace {

/// Format version of an encoded table. Must be changed together with the fields. An instance that
/// receives another format reads the table from the store.
constexpr std::uint32_t tableFormat = 5;

/// Limits of the data decoded from another instance: bytes of an address with its port, bytes of a
/// path, and items of each list.
constexpr std::size_t maxAddressBytes = 64;
constexpr std::size_t maxPathBytes = 512;
constexpr std::size_t maxItems = 256;
/// Maximum routes, services and workspaces of a decoded table. Needed in addition to `maxItems`,
/// since a run of a few bytes stands for many of them.
constexpr std::size_t maxRelayedRoutes = 16'384;
constexpr std::size_t maxRelayedServices = 4'096;
constexpr std::size_t maxRelayedWorkspaces = 65'536;
/// Minimum encoded size of an item of each list, in bytes.
constexpr std::size_t minPartBytes = 2;
constexpr std::size_t minServiceBytes = 2;
constexpr std::size_t keyBytes = sizeof(workspaces::key_digest);

template <class Codec, class Time>
void serializeTime(Codec &codec, Time &time)
{
    if constexpr (Codec::isDecoding) {
        std::uint32_t count = 0;
        codec.small(count);
        time = milliseconds(count);
    } else {
        codec.small(time.count());
    }
}

template <class Codec, class Entry, class Address>
void serializeRunner(Codec &codec, Entry &entry, Address &&address)
{
    codec.text(entry.service.text, config::maxNameBytes);
    codec.text(address, maxAddressBytes);
    codec.text(entry.zone.text, config::maxNameBytes);
    codec.text(entry.version.text, config::maxSoftwareVersionBytes);
    codec.small(entry.slots);
    codec.small(entry.isDraining);
    codec.small(entry.stage);
    codec.small(entry.isSpot);
    codec.small(entry.startedAtMs);
    codec.small(entry.writes);
}

template <class Codec, class Route>
void serializeRoute(Codec &codec, Route &one)
{
    codec.text(one.name, config::maxNameBytes);
    codec.text(one.host, config::maxNameBytes);
    codec.text(one.pathPrefix, maxPathBytes);
    codec.small(one.hasInvalidMatch);
    codec.small(one.allowsAnonymous);
    codec.small(one.isStream);
    codec.small(one.isResumable);
    codec.small(one.retryPolicy);
    serializeTime(codec, one.timeLimit);
    serializeTime(codec, one.latencyObjective);
    codec.small(one.rank);
    codec.small(one.maxRunners);
    codec.list(one.services, maxItems, minServiceBytes, [](Codec &each, auto &part) {
        each.text(part.service.text, config::maxNameBytes);
        each.small(part.weight);
    });
}

template <class Codec, class Traits>
void serializeTraits(Codec &codec, Traits &traits)
{
    codec.small(traits.batch);
    codec.small(traits.kvTokens);
    codec.small(traits.kvBytesPerToken);
    codec.fixed(traits.linkMbps);
}

template <class Codec, class Traits>
void serializeScaling(Codec &codec, Traits &traits)
{
    codec.small(traits.minRunners);
    codec.small(traits.maxRunners);
    serializeTime(codec, traits.bootTime);
    codec.fixed(traits.spotPrice);
}

/// Serializes an optional value.
template <class Codec, class Part, class Serialize>
void serializeOptional(Codec &codec, Part &part, const Serialize &serialize)
{
    bool isPresent = part.has_value();
    codec.small(isPresent);
    if constexpr (Codec::isDecoding) {
        if (isPresent)
            part.emplace();
    }
    if (part)
        serialize(codec, *part);
}

template <class Codec, class Service>
void serializeService(Codec &codec, Service &one)
{
    codec.text(one.id.text, config::maxNameBytes);
    serializeOptional(codec, one.engine,
                      [](Codec &inner, auto &traits) { serializeTraits(inner, traits); });
    serializeOptional(codec, one.scaling,
                      [](Codec &inner, auto &traits) { serializeScaling(inner, traits); });
}

template <class Codec, class Workspace>
void serializeWorkspace(Codec &codec, Workspace &one)
{
    codec.text(one.id.text, config::maxNameBytes);
    codec.list(one.keys, maxItems, keyBytes, [](Codec &each, auto &key) {
        each.fixed(key.high);
        each.fixed(key.low);
    });
    serializeOptional(codec, one.rank, [](Codec &inner, auto &rank) { inner.small(rank); });
}

template <class Codec, class Bounds>
void serializeLimits(Codec &codec, Bounds &bounds)
{
    codec.small(bounds.headerBytes);
    codec.small(bounds.bodyBytes);
    serializeTime(codec, bounds.headerTimeout);
    serializeTime(codec, bounds.idleTimeout);
}

/// Part of the delta: a run of routes, services or workspaces of the previous table, or a single
/// one in full.
template <class Part>
struct delta_part
{
    std::uint32_t count = 0; ///< Length of the run; 0 if the part is in `full`.
    std::uint32_t first = 0; ///< Index of the run's first item in the previous table.
    Part full;
};

/// @param maxParts Maximum items of the table: each may differ from the previous one's.
template <class Codec, class Parts, class Serialize>
void serializeParts(Codec &codec, Parts &parts, std::size_t maxParts, const Serialize &serialize)
{
    codec.list(parts, maxParts, minPartBytes, [&](Codec &each, auto &one) {
        each.small(one.count);
        if (one.count > 0)
            each.small(one.first);
        else
            serialize(each, one.full);
    });
}

template <class Codec, class Parts>
void serializeRoutes(Codec &codec, Parts &parts)
{
    serializeParts(codec, parts, maxRelayedRoutes,
                   [](Codec &each, auto &one) { serializeRoute(each, one); });
}

template <class Codec, class Parts>
void serializeServices(Codec &codec, Parts &parts)
{
    serializeParts(codec, parts, maxRelayedServices,
                   [](Codec &each, auto &one) { serializeService(each, one); });
}

template <class Codec, class Parts>
void serializeWorkspaces(Codec &codec, Parts &parts)
{
    serializeParts(codec, parts, maxRelayedWorkspaces,
                   [](Codec &each, auto &one) { serializeWorkspace(each, one); });
}

std::uint64_t contentHash(const route &one)
{
    std::uint64_t hash = hashOf(one.pathPrefix, hashOf(one.host, hashOf(one.name)));
    for (const weighted_service &part : one.services)
        hash = hashOf(part.service.text, hash + part.weight);
    for (const auto number : {one.timeLimit.count(), one.latencyObjective.count(),
                              std::int64_t{one.rank}, std::int64_t{one.maxRunners},
                              std::int64_t{one.hasInvalidMatch}, std::int64_t{one.allowsAnonymous}})
        hash = hash * 31 + static_cast<std::uint64_t>(number);
    return hash;
}

std::uint64_t contentHash(const service &one)
{
    return hashOf(one.id.text);
}

std::uint64_t contentHash(const workspaces::workspace &one)
{
    std::uint64_t hash = hashOf(one.id.text);
    for (const workspaces::key_digest &key : one.keys)
        hash = hash * 31 + key.low;
    return hash;
}

/// Runs are extended as far as possible, so that one changed part adds little more than its own
/// size.
template <class Part>
std::vector<delta_part<Part>> deltaParts(const std::vector<Part> &after,
                                         const std::vector<Part> &before)
{
    std::unordered_map<std::uint64_t, std::uint32_t> positions;
    for (std::uint32_t position = 0; position < before.size(); ++position)
        positions.try_emplace(contentHash(before[position]), position);
    const auto isAt = [&before](const Part &one, std::uint32_t position) {
        return position < before.size() && before[position] == one;
    };
    std::vector<delta_part<Part>> delta;
    std::uint32_t next = 0; ///< Index in `before` after the last run.
    for (const Part &one : after) {
        const bool isRun = !delta.empty() && delta.back().count > 0;
        if (isRun && isAt(one, next)) {
            ++delta.back().count;
            ++next;
            continue;
        }
        const auto known = positions.find(contentHash(one));
        const std::uint32_t position =
                isAt(one, next) || known == positions.end() ? next : known->second;
        if (isAt(one, position)) {
            delta.push_back({1, position, {}});
            next = position + 1;
        } else {
            delta.push_back({0, 0, one});
        }
    }
    return delta;
}

/// @returns Empty if a run exceeds the previous table, or if there are more than `maxParts` parts.
template <class Part>
std::optional<std::vector<Part>> applyDelta(const std::vector<delta_part<Part>> &delta,
                                            const std::vector<Part> &before, std::size_t maxParts)
{
    std::size_t total = 0;
    for (const delta_part<Part> &one : delta) {
        if (one.first > before.size() || one.count > before.size() - one.first)
            return std::nullopt;
        total += std::max<std::size_t>(one.count, 1);
    }
    if (total > maxParts)
        return std::nullopt;
    std::vector<Part> combined;
    combined.reserve(total);
    for (const delta_part<Part> &one : delta) {
        if (one.count == 0)
            combined.push_back(one.full);
        const auto first = before.begin() + one.first;
        combined.insert(combined.end(), first, first + one.count);
    }
    return combined;
}

bool areValidRetryPolicies(const std::vector<route> &routes)
{
    return std::ranges::all_of(
            routes, [](const route &one) { return one.retryPolicy <= retry_policy::AtMostOnce; });
}

error malformed(const std::string &what)
{
    return notRun(error_code::Broken, "malformed " + what + " from another instance");
}

} // namespace

namespace {

/// What a change says of an entry. The numbers are part of the format.
enum class relayed_entry : std::uint32_t { Removed = 0, Listed = 1, Unreadable = 2 };

relayed_entry relayedEntryOf(const runner_change &change)
{
    if (change.entry)
        return relayed_entry::Listed;
    return change.isUnreadable ? relayed_entry::Unreadable : relayed_entry::Removed;
}

} // namespace

result<std::string> encode(const runner_change &change)
{
    return peer::tryEncode([&](peer::encoder &out) {
        out.text(change.id.text, config::maxNameBytes);
        out.small(static_cast<std::uint32_t>(relayedEntryOf(change)));
        if (change.entry)
            serializeRunner(out, *change.entry, textOf(change.entry->address));
    });
}

result<runner_change> decodeRunnerChange(std::string_view text)
{
    try {
        peer::decoder in(text);
        runner_change change;
        in.text(change.id.text, config::maxNameBytes);
        std::uint32_t kind = 0;
        in.small(kind);
        if (kind > static_cast<std::uint32_t>(relayed_entry::Unreadable))
            return malformed("change of a runner");
        change.isUnreadable = kind == static_cast<std::uint32_t>(relayed_entry::Unreadable);
        if (kind == static_cast<std::uint32_t>(relayed_entry::Listed)) {
            runner entry;
            entry.id = change.id;
            std::string address;
            serializeRunner(in, entry, address);
            const auto parsed = parseEndpoint(address);
            if (!succeeded(parsed) || entry.stage > engine_stage::Decode)
                return malformed("entry of a runner");
            entry.address = valueOf(parsed);
            change.entry = std::move(entry);
        }
        in.finish();
        return change;
    } catch (const std::exception &) {
        return malformed("entry of a runner");
    }
}

result<std::string> encode(const route_table &table, const route_table &before)
{
    if (table.routes.size() > maxRelayedRoutes || table.services.size() > maxRelayedServices
        || table.workspaces.size() > maxRelayedWorkspaces)
        return notRun(error_code::TooLarge, "too many routes, services or workspaces to relay");
    return peer::tryEncode([&](peer::encoder &out) {
        out.small(tableFormat);
        out.small(before.version);
        out.small(table.version);
        serializeLimits(out, table.callerLimits);
        out.small(table.needsKeys);
        out.small(table.hasUnreadableKeys);
        const auto services = deltaParts(table.services, before.services);
        const auto routes = deltaParts(table.routes, before.routes);
        const auto workspaces = deltaParts(table.workspaces, before.workspaces);
        serializeServices(out, services);
        serializeWorkspaces(out, workspaces);
        serializeRoutes(out, routes);
    });
}

result<route_table> decodeRouteTable(std::string_view text, const route_table &before)
{
    try {
        peer::decoder in(text);
        std::uint32_t format = 0;
        in.small(format);
        if (format != tableFormat)
            return notRun(error_code::Broken,
                          "unsupported format of relayed routes: " + std::to_string(format));
        std::uint64_t base = 0;
        route_table table;
        in.small(base);
        in.small(table.version);
        serializeLimits(in, table.callerLimits);
        in.small(table.needsKeys);
        in.small(table.hasUnreadableKeys);
        if (table.version <= before.version)
            return before;
        if (base != before.version)
            return notRun(error_code::Stale,
                          "relayed routes are a delta against version " + std::to_string(base));
        std::vector<delta_part<service>> services;
        std::vector<delta_part<workspaces::workspace>> workspaces;
        std::vector<delta_part<route>> routes;
        serializeServices(in, services);
        serializeWorkspaces(in, workspaces);
        serializeRoutes(in, routes);
        in.finish();
        auto newServices = applyDelta(services, before.services, maxRelayedServices);
        auto newRoutes = applyDelta(routes, before.routes, maxRelayedRoutes);
        auto newWorkspaces = applyDelta(workspaces, before.workspaces, maxRelayedWorkspaces);
        if (!newServices || !newWorkspaces || !newRoutes || !areValidRetryPolicies(*newRoutes))
            return malformed("routes");
        table.workspaces = std::move(*newWorkspaces);
        table.services = std::move(*newServices);
        table.routes = std::move(*newRoutes);
        return table;
    } catch (const std::exception &) {
        return malformed("routes");
    }
}

} // namespace poplarspool::gateway
