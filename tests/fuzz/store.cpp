#include "base/http_text.h"
#include "fuzz.h"
#include "gateway/caller_limits.h"
#include "gateway/envelope.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store_wire.h"
#include "poplarspool/gateway/catalogue_keeper.h"
#include "poplarspool/gateway/route_index.h"

#include <algorithm>

using namespace poplarspool;
using namespace poplarspool::adapter;
using fuzz::require;

namespace {

const mono_time now{std::chrono::hours(1000)};

/// What instances tell each other is what the store said, or is refused where it is told.
void checkTold(const gateway::route_table &table)
{
    const gateway::route_table none;
    const auto told = gateway::encode(table, none);
    if (!succeeded(told) || table.version == 0)
        return;
    const auto heard = gateway::decodeRouteTable(valueOf(told), none);
    require(succeeded(heard), "told routes can't be read");
    require(valueOf(heard) == table, "told routes are read as others");
}

void checkTold(const gateway::runner_change &change)
{
    const auto told = gateway::encode(change);
    if (!succeeded(told))
        return;
    const auto heard = gateway::decodeRunnerChange(valueOf(told));
    require(succeeded(heard), "a told entry can't be read");
    require(valueOf(heard) == change, "a told entry is read as another one");
}

/// What is done with routes, short of sending a request.
void useRoutes(const gateway::route_table &table)
{
    journal events({"fuzz"}, systemClock(), 16);
    gateway::catalogue_hub hub{gateway::catalogue{}};
    gateway::catalogue_keeper keeper(hub, milliseconds(3000), systemClock(), events);
    keeper.setTable(table);
    keeper.setTable(table);
    require(keeper.table() != nullptr && *keeper.table() == table, "routes are not taken");
    const gateway::route_index index = gateway::indexOf(table);
    for (const gateway::route &one : table.routes) {
        const gateway::route *found =
                gateway::findRoute(table, index, one.host + ":80", one.pathPrefix + "?x");
        require(found == nullptr || found->pathPrefix.size() <= one.pathPrefix.size(),
                "a route is found for a path that it does not begin");
        for (const std::uint64_t draw : {std::uint64_t{0}, std::uint64_t{7}, UINT64_MAX}) {
            const gateway::service_id drawn = gateway::drawService(one, draw);
            const bool isOffered = std::ranges::any_of(
                    one.services, [&](const auto &part) { return part.service == drawn; });
            require(isOffered || !drawn.isValid(), "a service is drawn that is not offered");
            gateway::findService(table, drawn);
        }
        require(now + one.timeLimit >= now && now + one.objective >= now, "a time that is none");
    }
    const http_limits limits = gateway::callerLimitsOf(table.bounds);
    require(now + limits.readTime > now && now + limits.keepAliveTime > now,
            "a caller's time that is none");
    checkTold(table);
}

/// What a runner is called must not change the requests that name it.
void checkSent(const gateway::runner &target)
{
    static const gateway::dialect names = platformDialect();
    const std::string text = gateway::runnerRequestText(
            {}, target.address, names,
            {target.id.text, milliseconds(5), {}, {}, {}, {}, false, {}, false});
    const auto sent = parseRequestHead("GET / HTTP/1.1" + text.substr(text.find("\r\n")));
    const auto *head = std::get_if<request_head>(&sent);
    require(head != nullptr
                    && headerOf(head->headers, names.expectedRunner) == trimmed(target.id.text)
                    && headerOf(head->headers, "host") == textOf(target.address)
                    && head->headers.size() == 3,
            "a request to a runner is another one");
}

void useRunner(const std::string &name, const nlohmann::json &spec)
{
    const auto decoded = decodeRunner(name, spec);
    if (!succeeded(decoded))
        return;
    journal events({"fuzz"}, systemClock(), 16);
    gateway::catalogue_hub hub{gateway::catalogue{}};
    gateway::catalogue_keeper keeper(hub, milliseconds(3000), systemClock(), events);
    const gateway::runner_change change{{name}, valueOf(decoded)};
    keeper.setRunners({valueOf(decoded)});
    keeper.takeChanges({change, {{name}, std::nullopt}});
    keeper.settle();
    checkTold(change);
    checkSent(valueOf(decoded));
}

void useInstance(const std::string &name, const nlohmann::json &spec)
{
    const auto decoded = decodeInstance(name, spec);
    if (!succeeded(decoded))
        return;
    const auto again = decodeInstance(name, encodeInstance(valueOf(decoded)));
    require(succeeded(again) && valueOf(again) == valueOf(decoded),
            "an instance is decoded as another one");
}

void useLease(const nlohmann::json &spec)
{
    const auto decoded = decodeLease(spec, {});
    if (!succeeded(decoded))
        return;
    const auto again = decodeLease(encodeLease(valueOf(decoded)), {});
    require(succeeded(again) && valueOf(again).holder == valueOf(decoded).holder
                    && valueOf(again).fence == valueOf(decoded).fence,
            "a lease is decoded as another one");
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

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const std::uint8_t kind = fuzz::takeByte(bytes);
    const nlohmann::json body = parsedAnswer(std::string(bytes));
    if (body.is_discarded())
        return 0;
    if (kind % 3 == 0) {
        if (const auto page = pageOf(nlohmann::json(body), 0))
            std::ranges::for_each(page->objects, useObject);
    } else if (kind % 3 == 1) {
        if (const auto seen = changesOf(nlohmann::json(body), 0))
            std::ranges::for_each(seen->changes,
                                  [](const auto &change) { useObject(change.object); });
    } else {
        useObject({"main", body, {}});
    }
    return 0;
}
