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

verdict failureVerdict(call_effect effect)
{
    return effect == call_effect::Read ? verdict::NotRun : verdict::MayHaveRun;
}

error errorForStatus(const http_request &request, const http_reply &reply, call_effect effect)
{
    const std::string message = "platform answered " + std::to_string(reply.status) + " to "
            + request.method + " " + request.path;
    switch (reply.status) {
    case 400:
        return notRun(error_code::BadRequest, message);
    case 404:
        return notRun(error_code::NotFound, message);
    case 409:
        return notRun(error_code::Conflict, message);
    case 413:
        return notRun(error_code::TooLarge, message);
    case 429:
        return notRun(error_code::Throttled, message, retryAfterOf(reply.headers));
    default:
        break;
    }
    // A 5xx may come from the service itself or from a proxy that lost the service's reply; only
    // the service could confirm that a write had no effect.
    const auto code = reply.status >= 500 ? error_code::Unavailable : error_code::Broken;
    return error{code, message, failureVerdict(effect), retryAfterOf(reply.headers)};
}

} // namespace

error malformedReply(const http_request &request, call_effect effect)
{
    return error{error_code::Broken,
                 "reply of the platform to " + request.method + " " + request.path
                         + " is malformed",
                 failureVerdict(effect), std::nullopt};
}

result<nlohmann::json> callJson(const platform_endpoint &server, const http_request &request,
                                call_effect effect, milliseconds timeLimit)
{
    const auto reply = server.pool->send(server.address, request, timeLimit);
    if (!succeeded(reply)) {
        error fault = errorOf(reply);
        if (effect == call_effect::Read)
            fault.ran = verdict::NotRun;
        return fault;
    }
    if (valueOf(reply).status != 200)
        return errorForStatus(request, valueOf(reply), effect);
    auto parsed = parseJson(valueOf(reply).body);
    if (!parsed.is_object())
        return malformedReply(request, effect);
    return parsed;
}

} // namespace poplarspool::platform
