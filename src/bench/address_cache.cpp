#include "bench/address_cache.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/caller/caller_server.h"

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

namespace {

using nlohmann::json;

constexpr milliseconds queryTimeout{2000};

std::vector<endpoint> addressesIn(const json &answer)
{
    std::vector<endpoint> found;
    const auto listed = answer.find("addresses");
    if (listed == answer.end() || !listed->is_array())
        return found;
    for (const json &entry : *listed) {
        if (!entry.is_string())
            continue;
        const result<endpoint> parsed = parseEndpoint(entry.get<std::string>());
        if (succeeded(parsed))
            found.push_back(valueOf(parsed));
    }
    return found;
}

} // namespace

http_headers headersOf(const caller_identity &identity)
{
    http_headers headers{{std::string(caller::callerHeader), identity.caller}};
    if (!identity.bearerKey.empty())
        headers.emplace_back("Authorization", "Bearer " + identity.bearerKey);
    return headers;
}

address_cache::address_cache(std::vector<endpoint> seeds, caller_identity identity, http_pool &pool)
    : seeds(std::move(seeds)), identity(std::move(identity)), pool(pool),
      nextSeed(hashOf(this->identity.caller))
{ }

std::vector<endpoint> address_cache::addresses()
{
    const std::lock_guard lock(mutex);
    if (!cached.empty() && clock.mono() < expiresAt)
        return cached;
    for (std::size_t tried = 0; tried < seeds.size(); ++tried) {
        if (queryInstance(seeds[nextSeed++ % seeds.size()]))
            return cached;
    }
    // No seed answered: the last known addresses are still the best choice, and the next call
    // queries the seeds again.
    return cached.empty() ? seeds : cached;
}

bool address_cache::queryInstance(const endpoint &instance)
{
    http_request request;
    request.path = "/v1/addresses";
    if (!identity.zone.empty())
        request.path += "?zone=" + identity.zone;
    request.headers = headersOf(identity);
    const result<http_reply> reply = pool.send(instance, request, queryTimeout);
    if (!succeeded(reply) || valueOf(reply).status != 200)
        return false;
    const json answer = json::parse(valueOf(reply).body, nullptr, false);
    if (!answer.is_object())
        return false;
    std::vector<endpoint> found = addressesIn(answer);
    if (found.empty())
        return false;
    cached = std::move(found);
    expiresAt = clock.mono() + std::chrono::seconds(answer.value("keep_seconds", 0));
    return true;
}

} // namespace poplarspool::bench
