#include "platform/json_call.h"
#include "poplarspool/base/percent_encoding.h"

#include "poplarspool/platform/object_store.h"

namespace poplarspool::platform {

namespace {

using nlohmann::json;

std::string pathOf(const std::string &key)
{
    return "/objects/" + percentEncoded(key);
}

object objectOf(const json &entry)
{
    object decoded;
    decoded.key = entry.at("key").get<std::string>();
    decoded.version = entry.at("version").get<std::uint64_t>();
    decoded.isDeleted = entry.value("deleted", false);
    if (!decoded.isDeleted)
        decoded.value = entry.at("value").get<std::string>();
    return decoded;
}

object_list listOf(const json &reply)
{
    object_list decoded;
    decoded.version = reply.at("version").get<std::uint64_t>();
    for (const json &entry : reply.at("objects"))
        decoded.objects.push_back(objectOf(entry));
    return decoded;
}

std::uint64_t versionOf(const json &reply)
{
    return reply.at("version").get<std::uint64_t>();
}

unit unitOf(const json & /*reply*/)
{
    return {};
}

/// Makes one call and converts its reply with `decode`.
template <class T>
result<T> callAndRead(const platform_endpoint &server, const http_request &request,
                      call_effect effect, milliseconds timeLimit, T (*decode)(const json &))
{
    const auto reply = callJson(server, request, effect, timeLimit);
    if (!succeeded(reply))
        return errorOf(reply);
    try {
        return decode(valueOf(reply));
    } catch (const json::exception &) {
        return malformedReply(request, effect);
    }
}

http_request getRequest(std::string path)
{
    http_request request;
    request.path = std::move(path);
    return request;
}

/// @returns BadRequest (NotRun) for a value that is not UTF-8 and cannot be encoded as JSON.
result<http_request> putRequest(const std::string &key, const std::string &value,
                                std::uint64_t ifVersion)
{
    http_request request;
    request.method = "PUT";
    request.path = pathOf(key);
    try {
        request.body = json{{"value", value}, {"if_version", ifVersion}}.dump();
    } catch (const json::type_error &) {
        return notRun(error_code::BadRequest, "value of " + key + " is not UTF-8");
    }
    request.contentType = "application/json";
    return request;
}

http_request removeRequest(const std::string &key, std::uint64_t ifVersion)
{
    http_request request;
    request.method = "DELETE";
    request.path = pathOf(key) + "?if_version=" + std::to_string(ifVersion);
    return request;
}

std::string watchPath(const std::string &prefix, std::uint64_t after, milliseconds wait)
{
    return "/watch?prefix=" + percentEncoded(prefix) + "&after=" + std::to_string(after)
            + "&wait_ms=" + std::to_string(wait.count());
}

} // namespace

object_api httpObjectApi(endpoint address, std::shared_ptr<http_pool> pool,
                         milliseconds callTimeout)
{
    const platform_endpoint store{std::move(address), std::move(pool), callTimeout};
    object_api api;
    api.get = [store](const std::string &key) {
        return callAndRead(store, getRequest(pathOf(key)), call_effect::Read, store.callTimeout,
                           objectOf);
    };
    api.list = [store](const std::string &prefix) {
        return callAndRead(store, getRequest("/list?prefix=" + percentEncoded(prefix)),
                           call_effect::Read, store.callTimeout, listOf);
    };
    api.put = [store](const std::string &key, const std::string &value,
                      std::uint64_t ifVersion) -> result<std::uint64_t> {
        const auto request = putRequest(key, value, ifVersion);
        if (!succeeded(request))
            return errorOf(request);
        return callAndRead(store, valueOf(request), call_effect::Write, store.callTimeout,
                           versionOf);
    };
    api.remove = [store](const std::string &key, std::uint64_t ifVersion) {
        return callAndRead(store, removeRequest(key, ifVersion), call_effect::Write,
                           store.callTimeout, unitOf);
    };
    api.watch = [store](const std::string &prefix, std::uint64_t after, milliseconds wait) {
        return callAndRead(store, getRequest(watchPath(prefix, after, wait)), call_effect::Read,
                           wait + store.callTimeout, listOf);
    };
    return api;
}

} // namespace poplarspool::platform
