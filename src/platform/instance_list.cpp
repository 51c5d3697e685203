#include "poplarspool/platform/instance_list.h"

#include "platform/json_call.h"

namespace poplarspool::platform {

namespace {

using nlohmann::json;

result<listed_instance> decodeInstance(const json &entry)
{
    const auto peer = parseEndpoint(entry.at("peer").get<std::string>());
    if (!succeeded(peer))
        return errorOf(peer);
    listed_instance instance;
    instance.id.text = entry.at("id").get<std::string>();
    instance.zone.text = entry.at("zone").get<std::string>();
    instance.peerAddress = valueOf(peer);
    instance.isLeaving = entry.value("leaving", false);
    return instance;
}

result<std::vector<listed_instance>> decodeInstances(const json &reply, const http_request &request)
{
    std::vector<listed_instance> instances;
    try {
        for (const json &entry : reply.at("instances")) {
            auto instance = decodeInstance(entry);
            if (!succeeded(instance))
                return malformedReply(request, call_effect::Read);
            instances.push_back(std::move(valueOf(instance)));
        }
    } catch (const json::exception &) {
        return malformedReply(request, call_effect::Read);
    }
    return instances;
}

} // namespace

instance_list httpInstanceList(endpoint address, std::shared_ptr<http_pool> pool,
                               milliseconds callTimeout)
{
    const platform_endpoint server{std::move(address), std::move(pool), callTimeout};
    instance_list list;
    list.fetch = [server]() -> result<std::vector<listed_instance>> {
        http_request request;
        request.path = "/instances";
        const auto reply = callJson(server, request, call_effect::Read, server.callTimeout);
        if (!succeeded(reply))
            return errorOf(reply);
        return decodeInstances(valueOf(reply), request);
    };
    return list;
}

} // namespace poplarspool::platform
