#pragma once

#include "adapter/fake_store.h"
#include "platform/names.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::adapter::test {

/// A runner that says in its answers that it leaves, or asks for rest, and records when requests
/// arrive. As an engine, it also prefills prompts for others.
class withdrawing_runner
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param stage Empty: not an engine.
    withdrawing_runner(fake_store &store, std::string id, std::string stage = {},
                       std::string version = "v1")
        : store(store), id(std::move(id)), stage(std::move(stage)), version(std::move(version)),
          server(
                  "runner", {"127.0.0.1", 0}, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &caller) {
                      return answer(request, caller);
                  },
                  metrics),
          listenAddress(valueOf(server.start()))
    {
        list();
    }

    ~withdrawing_runner() { server.stop(); }

    const endpoint &address() const { return listenAddress; }

    /// Writes its entry, with a higher sequence number than before.
    void list(const std::string &state = "in_service", std::uint64_t startedAtMs = 1000)
    {
        std::string entry = R"({"service":"s","address":")" + textOf(listenAddress)
                + R"(","state":")" + state + R"(","slots":64,"zone":"a","version":")" + version
                + R"(","seq":)" + std::to_string(++writes) + R"(,"born":)"
                + std::to_string(startedAtMs);
        if (!stage.empty())
            entry += R"(,"stage":")" + stage + '"';
        store.put(wire::runnerKind, id, entry + "}");
    }

    /// Removes its entry.
    void unlist() { store.remove(wire::runnerKind, id); }

    /// From now on its answers say that it leaves.
    void leave()
    {
        const std::lock_guard lock(guard);
        isLeaving = true;
        changedAt = std::chrono::steady_clock::now();
    }

    /// It is another incarnation from now on, which stays.
    void restart(std::uint64_t startedAtMs)
    {
        {
            const std::lock_guard lock(guard);
            isLeaving = false;
        }
        list("in_service", startedAtMs);
    }

    /// From now on it refuses all requests.
    /// @param text Value of Retry-After in its refusals; empty: they have none.
    void refuse(const std::string &text)
    {
        const std::lock_guard lock(guard);
        isRefusing = true;
        retryAfter = text;
        changedAt = std::chrono::steady_clock::now();
    }

    void accept()
    {
        const std::lock_guard lock(guard);
        isRefusing = false;
    }

    /// Its streams wait after their first event until this is called with false.
    void holdStreams(bool areHeld) { isHolding = areHeld; }

    /// Begins the count of arrivalsBetween().
    void mark()
    {
        const std::lock_guard lock(guard);
        changedAt = std::chrono::steady_clock::now();
    }

    /// @returns The number of requests that arrived between these times after the last call of
    /// leave(), refuse() or mark().
    std::size_t arrivalsBetween(std::chrono::milliseconds from, std::chrono::milliseconds to) const
    {
        const std::lock_guard lock(guard);
        return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](time_point at) {
            return at - changedAt > from && at - changedAt <= to;
        }));
    }

    std::size_t arrivalCount() const
    {
        const std::lock_guard lock(guard);
        return arrivals.size();
    }

private:
    std::optional<http_reply> answer(const http_request &request, http_sink &caller)
    {
        std::optional<http_reply> reply = replyTo(request);
        const bool isStream = request.path.starts_with("/p/") && reply->status == 200;
        if (!isHolding || !isStream)
            return reply;
        caller.begin(200, reply->headers, "text/event-stream");
        caller.write("id: 1\ndata: x\n\n");
        while (isHolding && !caller.isGone())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        caller.write("id: 2\ndata: x\n\n");
        caller.end();
        return std::nullopt;
    }

    http_reply replyTo(const http_request &request)
    {
        http_reply reply;
        reply.status = 200;
        const std::lock_guard lock(guard);
        if (isLeaving)
            reply.headers.emplace_back("Server-Leaving", "1");
        if (request.path.starts_with("/api/"))
            return reply;
        arrivals.push_back(std::chrono::steady_clock::now());
        if (isRefusing) {
            reply.status = 503;
            reply.headers.emplace_back(wire::notRun, "1");
            if (!retryAfter.empty())
                reply.headers.emplace_back("Retry-After", retryAfter);
            return reply;
        }
        if (headerOf(request.headers, wire::stageHeader) == wire::stagePrefill) {
            reply.body = R"({"kvHandle":"k","tokens":1000,"version":1})";
            return reply;
        }
        reply.headers.emplace_back(wire::seal, "s");
        reply.body = "id: 1\ndata: x\n\n";
        return reply;
    }

    fake_store &store;
    const std::string id;
    const std::string stage;
    const std::string version;
    std::uint64_t writes = 0;
    mutable std::mutex guard;
    bool isLeaving = false;
    bool isRefusing = false;
    std::atomic<bool> isHolding{false};
    std::string retryAfter;
    time_point changedAt{};
    std::vector<time_point> arrivals;
    metrics_registry metrics;
    http_server server;
    const endpoint listenAddress;
};

} // namespace poplarspool::adapter::test
