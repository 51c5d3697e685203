#include "caller/request_head.h"

#include "poplarspool/config.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace poplarspool::caller {

namespace {

constexpr std::string_view authorizationHeader = "Authorization";
constexpr std::string_view bearerScheme = "Bearer ";

bool isSameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte >= ' ' && byte <= '~'; });
}

error faultIn(std::string_view name, std::string_view what)
{
    return notRun(error_code::BadRequest, "header " + std::string(name) + ": " + std::string(what));
}

/// @returns The only value of a header, none where it isn't there; BadRequest where it comes twice:
///          taking either could hide from a caller that its second key was not heeded.
result<std::optional<std::string_view>> onlyValueOf(const http_headers &headers,
                                                    std::string_view name)
{
    std::optional<std::string_view> found;
    for (const auto &[key, value] : headers) {
        if (!isSameName(key, name))
            continue;
        if (found)
            return faultIn(name, "given more than once");
        found = value;
    }
    return found;
}

/// @returns The header's value, empty where it isn't there.
result<std::string> parseName(const http_headers &headers, std::string_view name)
{
    const auto found = onlyValueOf(headers, name);
    if (!succeeded(found))
        return errorOf(found);
    const std::optional<std::string_view> value = valueOf(found);
    if (!value)
        return std::string();
    if (value->empty())
        return faultIn(name, "empty");
    if (value->size() > config::maxNameBytes)
        return faultIn(name, "longer than " + std::to_string(config::maxNameBytes) + " bytes");
    if (!isPrintable(*value))
        return faultIn(name, "has other than printable ASCII characters");
    return std::string(*value);
}

result<std::optional<milliseconds>> parseTimeLimit(const http_headers &headers)
{
    const auto found = onlyValueOf(headers, timeLimitHeader);
    if (!succeeded(found))
        return errorOf(found);
    const std::optional<std::string_view> text = valueOf(found);
    if (!text)
        return std::optional<milliseconds>();
    std::int64_t count = 0;
    const char *end = text->data() + text->size();
    const auto [stop, fault] = std::from_chars(text->data(), end, count);
    const bool isWhole = fault == std::errc() && stop == end;
    if (!isWhole || count < 1 || count > config::maxTimeLimit.count()) {
        return faultIn(timeLimitHeader,
                       "expected whole milliseconds from 1 to "
                               + std::to_string(config::maxTimeLimit.count()));
    }
    return std::optional<milliseconds>(count);
}

/// @returns The key; empty where there is none or another scheme is used.
result<std::string> parseBearerKey(const http_headers &headers)
{
    const auto found = onlyValueOf(headers, authorizationHeader);
    if (!succeeded(found))
        return errorOf(found);
    const std::string_view value = valueOf(found).value_or(std::string_view());
    if (!isSameName(value.substr(0, bearerScheme.size()), bearerScheme))
        return std::string();
    std::string_view key = value.substr(bearerScheme.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    if (key.size() > config::maxBearerKeyBytes)
        return faultIn(authorizationHeader, "the key is too long");
    if (!isPrintable(key))
        return faultIn(authorizationHeader, "has other than printable ASCII characters");
    return std::string(key);
}

} // namespace

result<request_head> parseHead(const http_headers &headers, request_id request, mono_time arrivedAt)
{
    const auto caller = parseName(headers, callerHeader);
    const auto workspace = parseName(headers, workspaceHeader);
    const auto idempotencyKey = parseName(headers, idempotencyHeader);
    const auto bearerKey = parseBearerKey(headers);
    for (const auto *part : {&caller, &workspace, &idempotencyKey, &bearerKey}) {
        if (!succeeded(*part))
            return errorOf(*part);
    }
    const auto timeLimit = parseTimeLimit(headers);
    if (!succeeded(timeLimit))
        return errorOf(timeLimit);

    request_head head;
    head.request = std::move(request);
    head.bearerKey = valueOf(bearerKey);
    head.caller = caller_id{valueOf(caller)};
    head.workspace = workspace_id{valueOf(workspace)};
    head.idempotencyKey = valueOf(idempotencyKey);
    head.timeLimit = valueOf(timeLimit);
    head.arrivedAt = arrivedAt;
    return head;
}

http_headers headersForService(const http_headers &headers, const request_id &request)
{
    constexpr std::array ownHeaders{authorizationHeader, callerHeader, timeLimitHeader,
                                    requestIdHeader};
    http_headers passed;
    for (const auto &header : headers) {
        const auto isIt = [&](std::string_view own) { return isSameName(own, header.first); };
        if (std::none_of(ownHeaders.begin(), ownHeaders.end(), isIt))
            passed.push_back(header);
    }
    passed.emplace_back(requestIdHeader, request.text);
    return passed;
}

} // namespace poplarspool::caller
