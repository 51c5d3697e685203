#include "base/http_text.h"
#include "fuzz.h"
#include "gateway/caller_limits.h"
#include "gateway/envelope.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store_wire.h"
#include "poplarspool/gateway/catalogue_updater.h"
#include "poplarspool/gateway/route_index.h"

#include <algorithm>

using namespace poplarspool;
using namespace poplarspool::adapter;
using fuzz::require;

namespace {

const mono_time fixedNow{std::chrono::hours(1000)};

/// An update that one instance sends to others must be decoded to what the store returned, unless
/// the sender refuses to encode it.
void checkUpdateEncoding(const gateway::route_table &table)
{
    const gateway::route_table noTable;
    const auto encoded = gateway::encode(table, noTable);
    if (!succeeded(encoded) || table.version == 0)
        return;
    const auto decoded = gateway::decodeRouteTable(valueOf(encoded), noTable);
    require(succeeded(decoded), "an encoded route table can't be decoded");
    require(valueOf(decoded) == table, "a route table changes when encoded and decoded again");
}

void checkUpdateEncoding(const gateway::runner_change &change)
{
    const auto encoded = gateway::encode(change);
    if (!succeeded(encoded))
        return;
    const auto decoded = gateway::decodeRunnerChange(valueOf(encoded));
    require(succeeded(decoded), "an encoded runner change can't be decoded");
    require(valueOf(decoded) == change, "a runner change changes when encoded and decoded again");
}

/// Applies a route table and evaluates all its routes, without sending requests.
void useRoutes(const gateway::route_table &table)
{
    journal events({"fuzz"}, systemClock(), 16);
    gateway::catalogue_publisher publisher{gateway::catalogue{}};
    gateway::catalogue_updater updater(publisher, milliseconds(3000), systemClock(), events);
    updater.setTable(table);
    updater.setTable(table);
    require(updater.table() != nullptr && *updater.table() == table,
            "a route table is not applied");
    const gateway::route_index index = gateway::buildRouteIndex(table);
    for (const gateway::route &route : table.routes) {
        const gateway::route *found =
                gateway::findRoute(table, index, route.host + ":80", route.pathPrefix + "?x");
        require(found == nullptr || found->pathPrefix.size() <= route.pathPrefix.size(),
                "a route is found for a path that does not begin with its prefix");
        for (const std::uint64_t draw : {std::uint64_t{0}, std::uint64_t{7}, UINT64_MAX}) {
            const gateway::service_id picked = gateway::pickServiceByWeight(route, draw);
            const bool isOffered = std::ranges::any_of(
                    route.services, [&](const auto &part) { return part.service == picked; });
            require(isOffered || !picked.isValid(),
                    "a service is picked that the route does not list");
            gateway::findService(table, picked);
        }
        require(fixedNow + route.timeLimit >= fixedNow
                        && fixedNow + route.latencyObjective >= fixedNow,
                "a time limit of a route overflows");
    }
    const http_limits limits = gateway::callerLimitsOf(table.callerLimits);
    require(fixedNow + limits.readTimeout > fixedNow
                    && fixedNow + limits.keepAliveTimeout > fixedNow,
            "a time limit for callers is not positive, or overflows");
    checkUpdateEncoding(table);
}

/// A runner's id and address must not change the requests that contain them.
void checkRunnerRequest(const gateway::runner &target)
{
    static const gateway::dialect platformNames = platformDialect();
    const std::string text = gateway::runnerRequestHead(
            {}, target.address, platformNames,
            {target.id.text, milliseconds(5), {}, {}, {}, {}, false, {}, false});
    const auto parsed = parseRequestHead("GET / HTTP/1.1" + text.substr(text.find("\r\n")));
    const auto *head = std::get_if<request_head>(&parsed);
    require(head != nullptr
                    && headerOf(head->headers, platformNames.expectedRunner)
                            == trimmed(target.id.text)
                    && headerOf(head->headers, "host") == textOf(target.address)
                    && head->headers.size() == 3,
            "a runner's id or address changes the request that contains it");
}

void useRunner(const std::string &name, const nlohmann::json &spec)
{
    const auto decoded = decodeRunner(name, spec);
    if (!succeeded(decoded))
        return;
    journal events({"fuzz"}, systemClock(), 16);
    gateway::catalogue_publisher publisher{gateway::catalogue{}};
    gateway::catalogue_updater updater(publisher, milliseconds(3000), systemClock(), events);
    const gateway::runner_change change{{name}, valueOf(decoded)};
    updater.setRunners({valueOf(decoded)});
    updater.applyChanges({change, {{name}, std::nullopt}});
    updater.applyTimeouts();
    checkUpdateEncoding(change);
    checkRunnerRequest(valueOf(decoded));
}

void useInstance(const std::string &name, const nlohmann::json &spec)
{
    const auto decoded = decodeInstance(name, spec);
    if (!succeeded(decoded))
        return;
    const auto redecoded = decodeInstance(name, encodeInstance(valueOf(decoded)));
    require(succeeded(redecoded) && valueOf(redecoded) == valueOf(decoded),
            "an instance changes when encoded and decoded again");
}

void useLease(const nlohmann::json &spec)
{
    const auto decoded = decodeLease(spec, {});
    if (!succeeded(decoded))
        return;
    const auto redecoded = decodeLease(encodeLease(valueOf(decoded)), {});
    require(succeeded(redecoded) && valueOf(redecoded).holder == valueOf(decoded).holder
                    && valueOf(redecoded).fence == valueOf(decoded).fence,
            "a lease changes when encoded and decoded again");
}

void useObject(const store_object &object)
{
    const auto table = decodeRoutes(object.spec);
    if (succeeded(table))
        useRoutes(valueOf(table).table);
    useRunner(object.name, object.spec);
    useInstance(object.name, object.spec);
    useLease(object.spec);
}

bool isSame(const store_object &one, const store_object &other)
{
    return one.name == other.name && one.version == other.version && one.spec == other.spec;
}

/// @param value JSON text of a value in the second of three entries.
void checkOtherEntries(const std::string &value)
{
    const auto pageWith = [](const std::string &odd) {
        return pageOf(parseStoreReply(R"({"items":[{"metadata":{"name":"a\u00e4","revision":1},)"
                                      R"("spec":[1.5,"b\n"]},{"metadata":{"name":"odd"},"spec":)"
                                      + odd + R"(},{"metadata":{"name":"c","revision":3},)"
                                      + R"("spec":{"d":null}}],"currentRev":7})"),
                      0);
    };
    const auto expected = pageWith("null");
    const auto page = pageWith(value);
    require(page && page->objects.size() == 3, "an odd value hides other entries");
    require(isSame(page->objects[0], expected->objects[0])
                    && isSame(page->objects[2], expected->objects[2])
                    && page->version == expected->version,
            "an odd value changes other entries");
    static_cast<void>(page->objects[1].spec.dump()); // Must not throw.
}

/// Uses the bytes as a word, as a string and as a key of one entry, at some depth.
void checkOddValue(std::string_view bytes, std::size_t depth)
{
    if (bytes.empty() || bytes.find('"') != std::string_view::npos)
        return;
    const std::string opening(depth, '[');
    const std::string closing(depth, ']');
    if (bytes.find_first_of("[]{},: \t\r\n") == std::string_view::npos)
        checkOtherEntries(opening + std::string(bytes) + closing);
    const std::string word(bytes);
    // An escape at the end would take the quote as well.
    const std::string quoted = '"' + word + (bytes.back() == '\\' ? " \"" : "\"");
    checkOtherEntries(opening + quoted + closing);
    checkOtherEntries(opening + "{" + quoted + ":1}" + closing);
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const std::uint8_t kind = fuzz::takeByte(bytes);
    checkOddValue(bytes, kind);
    const nlohmann::json body = parseStoreReply(std::string(bytes));
    if (body.is_discarded())
        return 0;
    if (kind % 3 == 0) {
        if (const auto page = pageOf(nlohmann::json(body), 0))
            std::ranges::for_each(page->objects, useObject);
    } else if (kind % 3 == 1) {
        if (const auto changes = changesOf(nlohmann::json(body), 0))
            std::ranges::for_each(changes->changes,
                                  [](const auto &change) { useObject(change.object); });
    } else {
        useObject({"main", body, {}});
    }
    return 0;
}
