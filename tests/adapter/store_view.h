#pragma once

#include "adapter/fake_store.h"
#include "poplarspool/base/http.h"

#include <map>
#include <string>

namespace poplarspool::adapter::test {

/// A store as one instance sees it: with other addresses of runners, so that the links to them can
/// be cut for this instance alone.
class store_view
{
public:
    /// @param replacements Texts in the store's replies, and what this view returns instead.
    store_view(const fake_store &store, std::map<std::string, std::string> replacements)
        : storeAddress(store.address()), replacements(std::move(replacements)),
          server(
                  "store_view", {"127.0.0.1", 0}, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &) { return answer(request); },
                  metrics),
          listenAddress(valueOf(server.start()))
    { }

    ~store_view() { server.stop(); }

    const endpoint &address() const { return listenAddress; }

private:
    std::optional<http_reply> answer(const http_request &request)
    {
        auto reply = pool.send(storeAddress, request, std::chrono::seconds(10));
        if (!succeeded(reply))
            return std::nullopt;
        std::string &body = valueOf(reply).body;
        for (const auto &[from, to] : replacements) {
            for (auto at = body.find(from); at != std::string::npos; at = body.find(from, at))
                body.replace(at, from.size(), to);
        }
        return std::move(valueOf(reply));
    }

    const endpoint storeAddress;
    const std::map<std::string, std::string> replacements;
    metrics_registry metrics;
    http_pool pool{4, std::chrono::milliseconds(500), metrics, std::chrono::seconds(5)};
    http_server server;
    const endpoint listenAddress;
};

} // namespace poplarspool::adapter::test
