#include "poplarspool/platform/instance_list.h"

#include "platform/json_call.h"

namespace poplarspool::platform {

namespace {

using nlohmann::json;

result<listed_instance> lineFrom(const json &entry)
{
    const auto peer = parseEndpoint(entry.at("peer").get<std::string>());
    if (!succeeded(peer))
        return errorOf(peer);
    listed_instance line;
    line.id.text = entry.at("id").get<std::string>();
    line.zone.text = entry.at("zone").get<std::string>();
    line.peerAddress = valueOf(peer);
    line.isLeaving = entry.value("leaving", false);
    return line;
}

result<std::vector<listed_instance>> linesFrom(const json &reply, const http_request &request)
{
    std::vector<listed_instance> lines;
    try {
        for (const json &entry : reply.at("instances")) {
            auto line = lineFrom(entry);
            if (!succeeded(line))
                return brokenReply(request, call_effect::Read);
            lines.push_back(std::move(valueOf(line)));
        }
    } catch (const json::exception &) {
        return brokenReply(request, call_effect::Read);
    }
    return lines;
}

} // namespace

instance_list httpInstanceList(endpoint address, std::shared_ptr<http_pool> pool,
                               milliseconds callTime)
{
    const json_target target{std::move(address), std::move(pool), callTime};
    instance_list list;
    list.fetch = [target]() -> result<std::vector<listed_instance>> {
        http_request request;
        request.path = "/instances";
        const auto reply = callJson(target, request, call_effect::Read, target.callTime);
        if (!succeeded(reply))
            return errorOf(reply);
        return linesFrom(valueOf(reply), request);
    };
    return list;
}

} // namespace poplarspool::platform
