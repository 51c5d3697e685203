#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/gateway/catalogue_keeper.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace poplarspool::gateway {

namespace {

/// Form of a told table. Another version that changes the fields changes the number too, and this
/// one then asks the store.
constexpr std::uint32_t tableForm = 5;

/// Bounds of what is read from another instance: bytes of an address with its port and of a path,
/// and items of each list.
constexpr std::size_t maxAddressBytes = 64;
constexpr std::size_t maxPathBytes = 512;
constexpr std::size_t maxItems = 256;
/// Routes, services and workspaces of a whole table, since a run of a few bytes stands for many.
constexpr std::size_t maxToldRoutes = 16'384;
constexpr std::size_t maxToldServices = 4'096;
constexpr std::size_t maxToldWorkspaces = 65'536;
/// Bytes of the smallest item of each list.
constexpr std::size_t leastPartBytes = 2;
constexpr std::size_t leastServiceBytes = 2;
constexpr std::size_t keyBytes = sizeof(workspaces::key_digest);

template <class Codec, class Time>
void describeTime(Codec &codec, Time &time)
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
void describeRunner(Codec &codec, Entry &entry, Address &&address)
{
    codec.text(entry.service.text, config::maxNameBytes);
    codec.text(address, maxAddressBytes);
    codec.text(entry.zone.text, config::maxNameBytes);
    codec.small(entry.slots);
    codec.small(entry.isDraining);
    codec.small(entry.stage);
    codec.small(entry.isSpot);
    codec.small(entry.bornMs);
    codec.small(entry.writes);
}

template <class Codec, class Route>
void describeRoute(Codec &codec, Route &one)
{
    codec.text(one.name, config::maxNameBytes);
    codec.text(one.host, config::maxNameBytes);
    codec.text(one.pathPrefix, maxPathBytes);
    codec.small(one.isUnplaced);
    codec.small(one.isAnonymous);
    codec.small(one.isStream);
    codec.small(one.isResumable);
    codec.small(one.repeats);
    describeTime(codec, one.timeLimit);
    describeTime(codec, one.objective);
    codec.small(one.rank);
    codec.small(one.maxRunners);
    codec.list(one.services, maxItems, leastServiceBytes, [](Codec &each, auto &part) {
        each.text(part.service.text, config::maxNameBytes);
        each.small(part.weight);
    });
}

template <class Codec, class Traits>
void describeTraits(Codec &codec, Traits &traits)
{
    codec.small(traits.batch);
    codec.small(traits.kvTokens);
    codec.small(traits.kvBytesPerToken);
    codec.fixed(traits.linkMbps);
}

template <class Codec, class Traits>
void describeScaling(Codec &codec, Traits &traits)
{
    codec.small(traits.least);
    codec.small(traits.most);
    describeTime(codec, traits.bootTime);
    codec.fixed(traits.spotPrice);
}

/// Describes what may be missing.
template <class Codec, class Part, class Describe>
void describeOptional(Codec &codec, Part &part, const Describe &describe)
{
    bool isThere = part.has_value();
    codec.small(isThere);
    if constexpr (Codec::isDecoding) {
        if (isThere)
            part.emplace();
    }
    if (part)
        describe(codec, *part);
}

template <class Codec, class Service>
void describeService(Codec &codec, Service &one)
{
    codec.text(one.id.text, config::maxNameBytes);
    describeOptional(codec, one.engine,
                     [](Codec &inner, auto &traits) { describeTraits(inner, traits); });
    describeOptional(codec, one.scaling,
                     [](Codec &inner, auto &traits) { describeScaling(inner, traits); });
}

template <class Codec, class Workspace>
void describeWorkspace(Codec &codec, Workspace &one)
{
    codec.text(one.id.text, config::maxNameBytes);
    codec.list(one.keys, maxItems, keyBytes, [](Codec &each, auto &key) {
        each.fixed(key.high);
        each.fixed(key.low);
    });
    describeOptional(codec, one.rank, [](Codec &inner, auto &rank) { inner.small(rank); });
}

template <class Codec, class Bounds>
void describeBounds(Codec &codec, Bounds &bounds)
{
    codec.small(bounds.headerBytes);
    codec.small(bounds.bodyBytes);
    describeTime(codec, bounds.headerTime);
    describeTime(codec, bounds.idleTime);
}

/// Routes, services or workspaces of the new table: a run of those of the table before, or one that
/// is told in full.
template <class Part>
struct told_part
{
    std::uint32_t count = 0; ///< Of the run; 0: `full` holds the part.
    std::uint32_t first = 0; ///< Place of the run's first in the table before.
    Part full;
};

template <class Codec, class Parts, class Describe>
void describeParts(Codec &codec, Parts &parts, const Describe &describe)
{
    codec.list(parts, maxItems, leastPartBytes, [&](Codec &each, auto &one) {
        each.small(one.count);
        if (one.count > 0)
            each.small(one.first);
        else
            describe(each, one.full);
    });
}

template <class Codec, class Parts>
void describeRoutes(Codec &codec, Parts &parts)
{
    describeParts(codec, parts, [](Codec &each, auto &one) { describeRoute(each, one); });
}

template <class Codec, class Parts>
void describeServices(Codec &codec, Parts &parts)
{
    describeParts(codec, parts, [](Codec &each, auto &one) { describeService(each, one); });
}

template <class Codec, class Parts>
void describeWorkspaces(Codec &codec, Parts &parts)
{
    describeParts(codec, parts, [](Codec &each, auto &one) { describeWorkspace(each, one); });
}

std::uint64_t contentHash(const route &one)
{
    std::uint64_t hash = hashOf(one.pathPrefix, hashOf(one.host, hashOf(one.name)));
    for (const weighted_service &part : one.services)
        hash = hashOf(part.service.text, hash + part.weight);
    for (const auto number : {one.timeLimit.count(), one.objective.count(), std::int64_t{one.rank},
                              std::int64_t{one.maxRunners}, std::int64_t{one.isUnplaced},
                              std::int64_t{one.isAnonymous}})
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

/// Runs go on as long as they can, so that one part that differs costs no more than its own text.
template <class Part>
std::vector<told_part<Part>> toldParts(const std::vector<Part> &after,
                                       const std::vector<Part> &before)
{
    std::unordered_map<std::uint64_t, std::uint32_t> places;
    for (std::uint32_t place = 0; place < before.size(); ++place)
        places.try_emplace(contentHash(before[place]), place);
    const auto isAt = [&before](const Part &one, std::uint32_t place) {
        return place < before.size() && before[place] == one;
    };
    std::vector<told_part<Part>> told;
    std::uint32_t next = 0; ///< Place after the last run.
    for (const Part &one : after) {
        const bool isRun = !told.empty() && told.back().count > 0;
        if (isRun && isAt(one, next)) {
            ++told.back().count;
            ++next;
            continue;
        }
        const auto known = places.find(contentHash(one));
        const std::uint32_t place = isAt(one, next) || known == places.end() ? next : known->second;
        if (isAt(one, place)) {
            told.push_back({1, place, {}});
            next = place + 1;
        } else {
            told.push_back({0, 0, one});
        }
    }
    return told;
}

/// @returns None where a run is beyond the table before, or the parts are too many.
template <class Part>
std::optional<std::vector<Part>> joinedParts(const std::vector<told_part<Part>> &told,
                                             const std::vector<Part> &before, std::size_t maxParts)
{
    std::size_t total = 0;
    for (const told_part<Part> &one : told) {
        if (one.first > before.size() || one.count > before.size() - one.first)
            return std::nullopt;
        total += std::max<std::size_t>(one.count, 1);
    }
    if (total > maxParts)
        return std::nullopt;
    std::vector<Part> joined;
    joined.reserve(total);
    for (const told_part<Part> &one : told) {
        if (one.count == 0)
            joined.push_back(one.full);
        const auto first = before.begin() + one.first;
        joined.insert(joined.end(), first, first + one.count);
    }
    return joined;
}

bool areKnownRules(const std::vector<route> &routes)
{
    return std::ranges::all_of(
            routes, [](const route &one) { return one.repeats <= repeat_rule::AtMostOnce; });
}

error malformed(const std::string &what)
{
    return notRun(error_code::Broken, "malformed " + what + " from another instance");
}

} // namespace

result<std::string> encode(const runner_change &change)
{
    return peer::encoded([&](peer::encoder &out) {
        out.text(change.id.text, config::maxNameBytes);
        out.small(change.entry.has_value());
        if (change.entry)
            describeRunner(out, *change.entry, textOf(change.entry->address));
    });
}

result<runner_change> decodeRunnerChange(std::string_view text)
{
    try {
        peer::decoder in(text);
        runner_change change;
        in.text(change.id.text, config::maxNameBytes);
        bool isListed = false;
        in.small(isListed);
        if (isListed) {
            runner entry;
            entry.id = change.id;
            std::string address;
            describeRunner(in, entry, address);
            const auto where = parseEndpoint(address);
            if (!succeeded(where) || entry.stage > engine_stage::Decode)
                return malformed("entry of a runner");
            entry.address = valueOf(where);
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
    if (table.routes.size() > maxToldRoutes || table.services.size() > maxToldServices
        || table.workspaces.size() > maxToldWorkspaces)
        return notRun(error_code::TooLarge, "more routes, services or workspaces than are told");
    return peer::encoded([&](peer::encoder &out) {
        out.small(tableForm);
        out.small(before.version);
        out.small(table.version);
        describeBounds(out, table.bounds);
        out.small(table.needsKeys);
        out.small(table.hasUnreadKeys);
        const auto services = toldParts(table.services, before.services);
        const auto routes = toldParts(table.routes, before.routes);
        const auto workspaces = toldParts(table.workspaces, before.workspaces);
        describeServices(out, services);
        describeWorkspaces(out, workspaces);
        describeRoutes(out, routes);
    });
}

result<route_table> decodeRouteTable(std::string_view text, const route_table &before)
{
    try {
        peer::decoder in(text);
        std::uint32_t form = 0;
        in.small(form);
        if (form != tableForm)
            return notRun(error_code::Broken, "told routes are of form " + std::to_string(form));
        std::uint64_t base = 0;
        route_table table;
        in.small(base);
        in.small(table.version);
        describeBounds(in, table.bounds);
        in.small(table.needsKeys);
        in.small(table.hasUnreadKeys);
        if (table.version <= before.version)
            return before;
        if (base != before.version)
            return notRun(error_code::Stale, "told routes follow version " + std::to_string(base));
        std::vector<told_part<service>> services;
        std::vector<told_part<workspaces::workspace>> workspaces;
        std::vector<told_part<route>> routes;
        describeServices(in, services);
        describeWorkspaces(in, workspaces);
        describeRoutes(in, routes);
        in.finish();
        auto joinedServices = joinedParts(services, before.services, maxToldServices);
        auto joinedRoutes = joinedParts(routes, before.routes, maxToldRoutes);
        auto joinedWorkspaces = joinedParts(workspaces, before.workspaces, maxToldWorkspaces);
        if (!joinedServices || !joinedWorkspaces || !joinedRoutes || !areKnownRules(*joinedRoutes))
            return malformed("routes");
        table.workspaces = std::move(*joinedWorkspaces);
        table.services = std::move(*joinedServices);
        table.routes = std::move(*joinedRoutes);
        return table;
    } catch (const std::exception &) {
        return malformed("routes");
    }
}

} // namespace poplarspool::gateway
