
#include "poplarspool/base/bounded_json.h"
#include "poplarspool/operators/config_store.h"

#include <nlohmann/json.hpp>

namespace poplarspool::operators {

namespace {

using nlohmann::json;

json jsonOf(const config_change &change)
{
    return {{"version", change.version},    {"inventory_sha", change.inventorySha},
            {"rules_sha", change.rulesSha}, {"nonce", change.nonce},
            {"author", change.author},      {"wall_ms", change.wallMs}};
}

config_change changeOf(const json &value)
{
    return {value.at("version").get<std::uint64_t>(), value.at("inventory_sha").get<std::string>(),
            value.at("rules_sha").get<std::string>(), value.at("nonce").get<std::string>(),
            value.at("author").get<std::string>(),    value.at("wall_ms").get<std::int64_t>()};
}

} // namespace

std::string textOf(const config_head &head)
{
    json earlier = json::array();
    for (const config_change &change : head.earlier)
        earlier.push_back(jsonOf(change));
    const json value = {{"inventory_sha", head.inventorySha},
                        {"rules_sha", head.rulesSha},
                        {"nonce", head.nonce},
                        {"author", head.author},
                        {"wall_ms", head.wallMs},
                        {"earlier", std::move(earlier)}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<config_head> parseConfigHead(std::string_view text)
{
    try {
        const json value = parseJsonOrThrow(text);
        config_head head{value.at("inventory_sha").get<std::string>(),
                         value.at("rules_sha").get<std::string>(),
                         value.at("nonce").get<std::string>(),
                         value.at("author").get<std::string>(),
                         value.at("wall_ms").get<std::int64_t>(),
                         {}};
        for (const json &change : value.at("earlier"))
            head.earlier.push_back(changeOf(change));
        return head;
    } catch (const json::exception &failure) {
        return notRun(error_code::Broken,
                      std::string("cannot parse the configuration head: ") + failure.what());
    }
}

std::string watchedPrefix(const std::string &deployment)
{
    return deployment + "/watched/";
}

std::string headKey(const std::string &deployment)
{
    return watchedPrefix(deployment) + "head";
}

std::string orderKey(const std::string &deployment, const std::string &runner)
{
    return watchedPrefix(deployment) + "orders/" + runner;
}

std::string bodyKey(const std::string &deployment, const std::string &sha256)
{
    return deployment + "/bodies/" + sha256;
}

std::string claimKey(const std::string &deployment, std::uint32_t bucket)
{
    return deployment + "/claims/" + std::to_string(bucket);
}

} // namespace poplarspool::operators
