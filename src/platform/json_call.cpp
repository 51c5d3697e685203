#include "platform/json_call.h"

#include "poplarspool/base/bounded_json.h"

#include <charconv>
#include <optional>

namespace poplarspool::platform {

namespace {

std::optional<milliseconds> retryAfterOf(const http_headers &headers)
{
    const std::string_view text = headerOf(headers, "Retry-After");
    std::uint32_t seconds = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

verdict worstOf(call_effect effect)
{
    return effect == call_effect::Read ? verdict::NotRun : verdict::MayHaveRun;
}

error errorOfStatus(const http_request &request, const http_reply &reply, call_effect effect)
{
    const std::string what = "platform answered " + std::to_string(reply.status) + " to "
            + request.method + " " + request.path;
    switch (reply.status) {
    case 400:
        return notRun(error_code::BadRequest, what);
    case 404:
        return notRun(error_code::NotFound, what);
    case 409:
        return notRun(error_code::Conflict, what);
    case 413:
        return notRun(error_code::TooLarge, what);
    case 429:
        return notRun(error_code::Throttled, what, retryAfterOf(reply.headers));
    default:
        break;
    }
    // A 5xx may come from the store itself or from something before it that lost the store's
    // answer; only the store could say that a write had no effect.
    const auto code = reply.status >= 500 ? error_code::Unavailable : error_code::Broken;
    return error{code, what, worstOf(effect), retryAfterOf(reply.headers)};
}

} // namespace

error brokenReply(const http_request &request, call_effect effect)
{
    return error{error_code::Broken,
                 "platform's reply to " + request.method + " " + request.path + " is malformed",
                 worstOf(effect), std::nullopt};
}

result<nlohmann::json> callJson(const json_target &target, const http_request &request,
                                call_effect effect, milliseconds timeLimit)
{
    const auto reply = target.pool->send(target.address, request, timeLimit);
    if (!succeeded(reply)) {
        error fault = errorOf(reply);
        if (effect == call_effect::Read)
            fault.ran = verdict::NotRun;
        return fault;
    }
    if (valueOf(reply).status != 200)
        return errorOfStatus(request, valueOf(reply), effect);
    auto parsed = parseJson(valueOf(reply).body);
    if (!parsed.is_object())
        return brokenReply(request, effect);
    return parsed;
}

} // namespace poplarspool::platform
