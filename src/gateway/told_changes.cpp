#include "peer/codec.h"
#include "poplarspool/config.h"
#include "poplarspool/gateway/catalogue_keeper.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

/// Bounds of what is read from another instance: bytes of an address with its port and of a path,
/// and items of each list.
constexpr std::size_t maxAddressBytes = 64;
constexpr std::size_t maxPathBytes = 512;
constexpr std::size_t maxItems = 256;
/// Bytes of the smallest item of each list.
constexpr std::size_t leastRouteBytes = 1;
constexpr std::size_t leastServiceBytes = 2;

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
    codec.small(entry.bornMs);
    codec.small(entry.writes);
}

template <class Codec, class Route>
void describeRoute(Codec &codec, Route &one)
{
    codec.text(one.name, config::maxNameBytes);
    codec.text(one.host, config::maxNameBytes);
    codec.text(one.pathPrefix, maxPathBytes);
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

template <class Codec, class Service>
void describeService(Codec &codec, Service &one)
{
    codec.text(one.id.text, config::maxNameBytes);
    bool isEngine = one.engine.has_value();
    codec.small(isEngine);
    if constexpr (Codec::isDecoding) {
        if (isEngine)
            one.engine.emplace();
    }
    if (one.engine)
        describeTraits(codec, *one.engine);
}

template <class Codec, class Table>
void describeRest(Codec &codec, Table &table)
{
    codec.small(table.version);
    codec.list(table.services, maxItems, leastServiceBytes,
               [](Codec &each, auto &one) { describeService(each, one); });
    codec.small(table.bounds.headerBytes);
    codec.small(table.bounds.bodyBytes);
    describeTime(codec, table.bounds.headerTime);
    describeTime(codec, table.bounds.idleTime);
}

/// A route of the new table: one of the table before, or one that is told in full.
struct told_route
{
    std::uint32_t before = 0; ///< Its place there, counted from 1; 0: `full` holds it.
    route full;
};

template <class Codec>
void describeRoutes(Codec &codec, std::vector<told_route> &routes)
{
    codec.list(routes, maxItems, leastRouteBytes, [](Codec &each, auto &one) {
        each.small(one.before);
        if (one.before == 0)
            describeRoute(each, one.full);
    });
}

std::vector<told_route> toldRoutes(const std::vector<route> &routes, const route_table &before)
{
    std::vector<told_route> told;
    for (const route &one : routes) {
        const auto same = std::ranges::find(before.routes, one);
        if (same == before.routes.end())
            told.push_back({0, one});
        else
            told.push_back({static_cast<std::uint32_t>(same - before.routes.begin()) + 1, {}});
    }
    return told;
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
    return peer::encoded([&](peer::encoder &out) {
        out.small(before.version);
        describeRest(out, table);
        std::vector<told_route> routes = toldRoutes(table.routes, before);
        describeRoutes(out, routes);
    });
}

result<route_table> decodeRouteTable(std::string_view text, const route_table &before)
{
    try {
        peer::decoder in(text);
        std::uint64_t base = 0;
        in.small(base);
        route_table table;
        describeRest(in, table);
        if (table.version <= before.version)
            return before;
        if (base != before.version)
            return notRun(error_code::Stale, "told routes follow version " + std::to_string(base));
        std::vector<told_route> routes;
        describeRoutes(in, routes);
        in.finish();
        for (const told_route &one : routes) {
            if (one.before > before.routes.size() || one.full.repeats > repeat_rule::AtMostOnce)
                return malformed("routes");
            table.routes.push_back(one.before == 0 ? one.full : before.routes[one.before - 1]);
        }
        return table;
    } catch (const std::exception &) {
        return malformed("routes");
    }
}

} // namespace poplarspool::gateway
