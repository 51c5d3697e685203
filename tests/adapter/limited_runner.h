#pragma once

#include "adapter/fake_store.h"
#include "platform/names.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace poplarspool::adapter::test {

/// A runner that names a rate limit in its replies and records when requests arrive. It serves any
/// number of requests; as an engine, it also prefills prompts for others.
class limited_runner
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param stage Empty: not an engine.
    limited_runner(fake_store &store, const std::string &id, const std::string &stage = {})
        : server(
                "runner", {"127.0.0.1", 0}, defaultHttpLimits(),
                [this](const http_request &request, http_sink &) { return answer(request); },
                metrics),
          listenAddress(valueOf(server.start()))
    {
        std::string entry = R"({"service":"s","address":")" + textOf(listenAddress)
                + R"(","state":"in_service","slots":64,"seq":1,"zone":"a")";
        if (!stage.empty())
            entry += R"(,"stage":")" + stage + '"';
        store.put(wire::runnerKind, id, entry + "}");
    }

    ~limited_runner() { server.stop(); }

    const endpoint &address() const { return listenAddress; }

    /// @param text Value of the header; empty: no limit.
    void setLimit(const std::string &text)
    {
        const std::lock_guard lock(guard);
        limit = text;
        changedAt = std::chrono::steady_clock::now();
    }

    /// From now on it refuses all requests.
    void refuseAll()
    {
        const std::lock_guard lock(guard);
        isRefusing = true;
    }

    std::size_t arrivalCount() const
    {
        const std::lock_guard lock(guard);
        return arrivals.size();
    }

    /// Number of requests that it had to prefill and to run.
    std::size_t unpreparedCount() const
    {
        const std::lock_guard lock(guard);
        return unprepared;
    }

    /// @param after Only spans that end this long after the last change of the limit count.
    /// @returns The highest number of requests that arrived within such a span.
    std::size_t busiest(std::chrono::milliseconds span, std::chrono::milliseconds after) const
    {
        const std::lock_guard lock(guard);
        std::vector<time_point> sorted = arrivals;
        std::ranges::sort(sorted);
        std::size_t most = 0;
        for (std::size_t last = 0, first = 0; last < sorted.size(); ++last) {
            while (sorted[last] - sorted[first] > span)
                ++first;
            if (sorted[last] - changedAt >= after)
                most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    http_reply answer(const http_request &request)
    {
        http_reply reply;
        reply.status = 200;
        if (request.path.starts_with("/api/"))
            return reply;
        const std::lock_guard lock(guard);
        arrivals.push_back(std::chrono::steady_clock::now());
        if (isRefusing) {
            reply.status = 503;
            reply.headers.emplace_back(wire::notRun, "1");
            return reply;
        }
        if (!limit.empty())
            reply.headers.emplace_back(wire::rateLimit, limit);
        if (headerOf(request.headers, wire::stageHeader) == wire::stagePrefill) {
            reply.body = R"({"kvHandle":"k","tokens":1000,"version":1})";
            return reply;
        }
        unprepared += headerOf(request.headers, wire::kvSource).empty() ? 1 : 0;
        reply.headers.emplace_back(wire::seal, "s");
        reply.body = "id: 1\ndata: x\n\n";
        return reply;
    }

    mutable std::mutex guard;
    std::string limit;
    time_point changedAt{};
    std::vector<time_point> arrivals;
    std::size_t unprepared = 0;
    bool isRefusing = false;
    metrics_registry metrics;
    http_server server;
    const endpoint listenAddress;
};

} // namespace poplarspool::adapter::test
