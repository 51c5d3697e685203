#include "caller/request_head.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/caller/limits.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace poplarspool::caller {

namespace {

constexpr std::string_view authorizationHeader = "Authorization";
constexpr std::string_view bearerScheme = "Bearer ";

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte >= ' ' && byte <= '~'; });
}

error headerError(std::string_view name, std::string_view message)
{
    return notRun(error_code::BadRequest,
                  "header " + std::string(name) + ": " + std::string(message));
}

/// @returns The value of a header, none if it is missing; BadRequest if it is repeated, since using
///          one of the values would hide from the caller that the other was ignored.
result<std::optional<std::string_view>> singleValueOf(const http_headers &headers,
                                                      std::string_view name)
{
    std::optional<std::string_view> found;
    for (const auto &[key, value] : headers) {
        if (!equalsIgnoreCase(key, name))
            continue;
        if (found)
            return headerError(name, "given more than once");
        found = value;
    }
    return found;
}

/// @returns The header's value, empty if it is missing.
result<std::string> parseName(const http_headers &headers, std::string_view name)
{
    const auto found = singleValueOf(headers, name);
    if (!succeeded(found))
        return errorOf(found);
    const std::optional<std::string_view> value = valueOf(found);
    if (!value)
        return std::string();
    if (value->empty())
        return headerError(name, "empty");
    if (value->size() > config::maxNameBytes)
        return headerError(name, "longer than " + std::to_string(config::maxNameBytes) + " bytes");
    if (!isPrintable(*value))
        return headerError(name, "contains other than printable ASCII characters");
    return std::string(*value);
}

result<std::optional<milliseconds>> parseTimeLimit(const http_headers &headers)
{
    const auto found = singleValueOf(headers, timeLimitHeader);
    if (!succeeded(found))
        return errorOf(found);
    const std::optional<std::string_view> text = valueOf(found);
    if (!text)
        return std::optional<milliseconds>();
    std::int64_t count = 0;
    const char *end = text->data() + text->size();
    const auto [stop, parseError] = std::from_chars(text->data(), end, count);
    const bool isNumber = parseError == std::errc() && stop == end;
    if (!isNumber || count < 1 || count > config::maxTimeLimit.count()) {
        return headerError(timeLimitHeader,
                           "expected an integer number of milliseconds from 1 to "
                                   + std::to_string(config::maxTimeLimit.count()));
    }
    return std::optional<milliseconds>(count);
}

/// @returns The key; empty if the header is missing or uses another scheme.
result<std::string> parseBearerKey(const http_headers &headers)
{
    const auto found = singleValueOf(headers, authorizationHeader);
    if (!succeeded(found))
        return errorOf(found);
    const std::string_view value = valueOf(found).value_or(std::string_view());
    if (!equalsIgnoreCase(value.substr(0, bearerScheme.size()), bearerScheme))
        return std::string();
    std::string_view key = value.substr(bearerScheme.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    if (key.size() > config::maxBearerKeyBytes)
        return headerError(authorizationHeader, "the key is too long");
    if (!isPrintable(key))
        return headerError(authorizationHeader, "contains other than printable ASCII characters");
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
    http_headers forwarded;
    for (const auto &header : headers) {
        const auto isOwnHeader = [&](std::string_view ownName) {
            return equalsIgnoreCase(ownName, header.first);
        };
        if (std::none_of(ownHeaders.begin(), ownHeaders.end(), isOwnHeader))
            forwarded.push_back(header);
    }
    forwarded.emplace_back(requestIdHeader, request.text);
    return forwarded;
}

} // namespace poplarspool::caller
