#include "platform/json_call.h"
#include "poplarspool/base/percent_text.h"

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
    object out;
    out.key = entry.at("key").get<std::string>();
    out.version = entry.at("version").get<std::uint64_t>();
    out.isDeleted = entry.value("deleted", false);
    if (!out.isDeleted)
        out.value = entry.at("value").get<std::string>();
    return out;
}

object_list listOf(const json &reply)
{
    object_list out;
    out.version = reply.at("version").get<std::uint64_t>();
    for (const json &entry : reply.at("objects"))
        out.objects.push_back(objectOf(entry));
    return out;
}

std::uint64_t versionOf(const json &reply)
{
    return reply.at("version").get<std::uint64_t>();
}

unit nothingOf(const json & /*reply*/)
{
    return {};
}

/// One call, its reply read by `read`.
template <class T>
result<T> callAndRead(const json_target &target, const http_request &request, call_effect effect,
                      milliseconds timeLimit, T (*read)(const json &))
{
    const auto reply = callJson(target, request, effect, timeLimit);
    if (!succeeded(reply))
        return errorOf(reply);
    try {
        return read(valueOf(reply));
    } catch (const json::exception &) {
        return brokenReply(request, effect);
    }
}

http_request getOf(std::string path)
{
    http_request request;
    request.path = std::move(path);
    return request;
}

/// @returns BadRequest (NotRun) for a value that is no UTF-8 and so can't be put into JSON.
result<http_request> putOf(const std::string &key, const std::string &value,
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

http_request removeOf(const std::string &key, std::uint64_t ifVersion)
{
    http_request request;
    request.method = "DELETE";
    request.path = pathOf(key) + "?if_version=" + std::to_string(ifVersion);
    return request;
}

std::string watchPathOf(const std::string &prefix, std::uint64_t after, milliseconds wait)
{
    return "/watch?prefix=" + percentEncoded(prefix) + "&after=" + std::to_string(after)
            + "&wait_ms=" + std::to_string(wait.count());
}

} // namespace

object_api httpObjectApi(endpoint address, std::shared_ptr<http_pool> pool, milliseconds callTime)
{
    const json_target store{std::move(address), std::move(pool), callTime};
    object_api api;
    api.get = [store](const std::string &key) {
        return callAndRead(store, getOf(pathOf(key)), call_effect::Read, store.callTime, objectOf);
    };
    api.list = [store](const std::string &prefix) {
        return callAndRead(store, getOf("/list?prefix=" + percentEncoded(prefix)),
                           call_effect::Read, store.callTime, listOf);
    };
    api.put = [store](const std::string &key, const std::string &value,
                      std::uint64_t ifVersion) -> result<std::uint64_t> {
        const auto request = putOf(key, value, ifVersion);
        if (!succeeded(request))
            return errorOf(request);
        return callAndRead(store, valueOf(request), call_effect::Write, store.callTime, versionOf);
    };
    api.remove = [store](const std::string &key, std::uint64_t ifVersion) {
        return callAndRead(store, removeOf(key, ifVersion), call_effect::Write, store.callTime,
                           nothingOf);
    };
    api.watch = [store](const std::string &prefix, std::uint64_t after, milliseconds wait) {
        return callAndRead(store, getOf(watchPathOf(prefix, after, wait)), call_effect::Read,
                           wait + store.callTime, listOf);
    };
    return api;
}

} // namespace poplarspool::platform
