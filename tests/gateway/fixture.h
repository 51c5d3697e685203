#pragma once

#include "poplarspool/gateway/dialect.h"

#include <set>
#include <string>

namespace poplarspool::gateway::test {

/// Short header names that no platform uses.
inline dialect testDialect()
{
    dialect names;
    names.requestId = "Id";
    names.timeLimitMs = "Limit";
    names.tokenCount = "Tokens";
    names.promptParts = "Parts";
    names.lastEventId = "Last";
    names.resumes = "Resumes";
    names.expectedRunner = "Runner";
    names.priority = "Priority";
    names.stage = "Stage";
    names.kvSource = "Source";
    names.kvFetch = "Fetch";
    names.prefillStage = "prefill";
    names.key = "Key";
    names.keyScheme = "Sign";
    names.workspace = "Space";
    names.reservedHeaders = {"Runner", "Priority", "Stage", "Source", "Fetch", "Space"};
    names.runnerId = "Answers-As";
    names.seal = "Seal";
    names.notRun = "Not-Run";
    names.rateLimit = "Rate";
    names.leaving = "Leaves";
    names.parseHandle = [](std::string_view body) -> std::optional<std::string> {
        if (body.empty())
            return std::nullopt;
        return std::string(body);
    };
    names.reportRequest = [] {
        http_request request;
        request.path = "/state";
        return request;
    };
    names.parseRuns = [](std::string_view body) -> std::optional<std::set<std::string>> {
        if (!body.starts_with("runs "))
            return std::nullopt;
        return std::set<std::string>{std::string(body.substr(5))};
    };
    names.freeHandleRequest = [](const std::string &handle) {
        http_request request;
        request.method = "DELETE";
        request.path = "/handles/" + handle;
        return request;
    };
    return names;
}

inline http_request requestOf(std::string method, std::string path, http_headers headers,
                              std::string body = {})
{
    http_request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.headers = std::move(headers);
    request.body = std::move(body);
    return request;
}

} // namespace poplarspool::gateway::test
