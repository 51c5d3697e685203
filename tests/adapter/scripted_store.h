#pragma once

#include "platform/store_client.h"
#include "poplarspool/base/http.h"

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::adapter::test {

/// A store that sends the given replies in order, then 503, and records the requests it receives.
struct scripted_store
{
    explicit scripted_store(std::deque<http_reply> script)
        : replies(std::move(script)),
          server(
                  "store", {"127.0.0.1", 0}, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &) { return answer(request); },
                  metrics)
    {
        address = valueOf(server.start());
    }

    std::optional<http_reply> answer(const http_request &request)
    {
        const std::lock_guard lock(guard);
        requests.push_back(request.method + " " + request.path);
        bodies.push_back(request.body);
        if (replies.empty())
            return http_reply{503, {}, {}, {}};
        http_reply next = replies.front();
        replies.pop_front();
        return next;
    }

    metrics_registry metrics;
    std::mutex guard;
    std::deque<http_reply> replies;
    std::vector<std::string> requests;
    std::vector<std::string> bodies;
    http_server server;
    endpoint address;
};

inline http_reply jsonReply(const std::string &body, int status = 200)
{
    return {status, {}, body, "application/json"};
}

} // namespace poplarspool::adapter::test
