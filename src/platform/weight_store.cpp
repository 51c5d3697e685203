#include "poplarspool/platform/weight_store.h"

#include "platform/json_call.h"
#include "poplarspool/base/percent_text.h"

namespace poplarspool::platform {

namespace {

using nlohmann::json;

/// What a throttled caller waits where the weight store names no time.
constexpr milliseconds defaultThrottleTime{1000};

result<weight_manifest> manifestFrom(const json &reply, const http_request &request)
{
    try {
        weight_manifest manifest;
        manifest.model = reply.at("model").get<std::string>();
        manifest.version = reply.at("version").get<std::string>();
        manifest.bytes = reply.at("bytes").get<std::uint64_t>();
        return manifest;
    } catch (const json::exception &) {
        return brokenReply(request, call_effect::Read);
    }
}

} // namespace

weight_store httpWeightStore(endpoint address, std::shared_ptr<http_pool> pool,
                             milliseconds callTime)
{
    const json_target target{std::move(address), std::move(pool), callTime};
    weight_store store;
    store.manifest = [target](const std::string &model,
                              const std::string &version) -> result<weight_manifest> {
        http_request request;
        request.path = "/weights/" + percentEncoded(model) + "/" + percentEncoded(version);
        const auto reply = callJson(target, request, call_effect::Read, target.callTime);
        if (succeeded(reply))
            return manifestFrom(valueOf(reply), request);
        error fault = errorOf(reply);
        if (fault.code == error_code::Throttled && !fault.retryAfter)
            fault.retryAfter = defaultThrottleTime;
        return fault;
    };
    return store;
}

} // namespace poplarspool::platform
