#include "poplarspool/platform/weight_store.h"

#include "platform/json_call.h"
#include "poplarspool/base/percent_encoding.h"

namespace poplarspool::platform {

namespace {

using nlohmann::json;

/// Wait after a throttled call whose reply has no Retry-After.
constexpr milliseconds defaultRetryAfter{1000};

result<weight_manifest> decodeManifest(const json &reply, const http_request &request)
{
    try {
        weight_manifest manifest;
        manifest.model = reply.at("model").get<std::string>();
        manifest.version = reply.at("version").get<std::string>();
        manifest.bytes = reply.at("bytes").get<std::uint64_t>();
        return manifest;
    } catch (const json::exception &) {
        return malformedReply(request, call_effect::Read);
    }
}

} // namespace

weight_store httpWeightStore(endpoint address, std::shared_ptr<http_pool> pool,
                             milliseconds callTimeout)
{
    const platform_endpoint server{std::move(address), std::move(pool), callTimeout};
    weight_store store;
    store.manifest = [server](const std::string &model,
                              const std::string &version) -> result<weight_manifest> {
        http_request request;
        request.path = "/weights/" + percentEncoded(model) + "/" + percentEncoded(version);
        const auto reply = callJson(server, request, call_effect::Read, server.callTimeout);
        if (succeeded(reply))
            return decodeManifest(valueOf(reply), request);
        error fault = errorOf(reply);
        if (fault.code == error_code::Throttled && !fault.retryAfter)
            fault.retryAfter = defaultRetryAfter;
        return fault;
    };
    return store;
}

} // namespace poplarspool::platform
