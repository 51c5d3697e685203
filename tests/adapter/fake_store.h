#pragma once

#include "adapter/scripted_store.h"
#include "platform/names.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace poplarspool::adapter::test {

/// An in-memory store of a few objects. A watch returns the changes after its revision, at the
/// latest after a tenth of its wait time. The store can be rolled back to a snapshot.
class fake_store
{
public:
    /// The whole content of the store at one time.
    struct snapshot
    {
        struct object
        {
            std::string spec;
            std::uint64_t revision = 0;
            bool isRemoved = false;
        };

        std::uint64_t revision = 3;
        std::map<std::string, std::map<std::string, object>> kinds;
    };

    /// A received call.
    struct call
    {
        enum class operation { List, Watch, Get, Write };

        operation type = operation::List;
        std::string kind;
        std::string objectName; ///< Only of writes.
        std::chrono::steady_clock::time_point receivedAt;
        bool isConnectionRefused = false; ///< Received during an outage.
    };

    /// @param connections Max concurrent connections.
    explicit fake_store(std::uint32_t connections = defaultHttpLimits().connections)
        : server(
                "store", {"127.0.0.1", 0}, limitsFor(connections),
                [this](const http_request &request, http_sink &) { return answer(request); },
                metrics),
          listenAddress(valueOf(server.start()))
    { }

    ~fake_store() { server.stop(); }

    endpoint address() const { return listenAddress; }

    /// Refuses all later calls.
    void stop() { server.stop(); }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(guard);
        content.kinds[kind][name] = {spec, ++content.revision, false};
    }

    /// Adds objects PREFIX0 to PREFIX(count-1) at once: a watch returns all of them or none.
    void putMany(const std::string &kind, const std::string &prefix, int count,
                 const std::string &spec)
    {
        const std::lock_guard lock(guard);
        for (int i = 0; i < count; ++i)
            content.kinds[kind][prefix + std::to_string(i)] = {spec, ++content.revision, false};
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        content.kinds[kind][name] = {"{}", ++content.revision, true};
    }

    bool has(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto &objects = content.kinds[kind];
        const auto found = objects.find(name);
        return found != objects.end() && !found->second.isRemoved;
    }

    snapshot takeSnapshot()
    {
        const std::lock_guard lock(guard);
        return content;
    }

    void restoreSnapshot(const snapshot &saved)
    {
        const std::lock_guard lock(guard);
        content = saved;
        ++epoch;
    }

    /// Drops all calls without a reply, also waiting watches, until endOutageWith().
    void startOutage() { isDown = true; }

    void endOutageWith(const snapshot &saved)
    {
        restoreSnapshot(saved);
        isDown = false;
    }

    std::vector<call> takeCalls()
    {
        const std::lock_guard lock(callsGuard);
        return std::exchange(calls, {});
    }

    /// Restores the snapshot after the next write. Lists and watches wait for that write.
    void restoreAfterFirstWrite(const snapshot &saved)
    {
        const std::lock_guard lock(guard);
        afterFirstWrite = saved;
    }

    std::atomic<std::size_t> stalePages{0};
    std::optional<snapshot> staleContent; ///< What stale reads return; set before the first call.
    std::atomic<std::size_t> pageSize{SIZE_MAX}; ///< Max objects in one page of a list.
    /// Sends this epoch with the next reply, instead of the store's own.
    void sendEpochOnce(std::uint64_t wrong)
    {
        const std::lock_guard lock(guard);
        wrongEpoch = wrong;
    }

    std::atomic<int> watches{0};
    std::atomic<int> pages{0}; ///< List replies sent.
    std::atomic<int> writes{0}; ///< Create and replace calls received.

private:
    static http_limits limitsFor(std::uint32_t connections)
    {
        http_limits limits = defaultHttpLimits();
        limits.connections = connections;
        return limits;
    }

    static call callOf(const http_request &request)
    {
        const std::string path = request.path.substr(std::string(wire::objectsPath).size());
        call received;
        received.kind = path.substr(0, path.find_first_of("?/"));
        received.receivedAt = std::chrono::steady_clock::now();
        if (request.method != "GET") {
            received.type = call::operation::Write;
            received.objectName = nlohmann::json::parse(request.body).at("metadata").at("name");
        } else if (path.find('/') != std::string::npos) {
            received.type = call::operation::Get;
        } else if (path.find("watch=") != std::string::npos) {
            received.type = call::operation::Watch;
        }
        return received;
    }

    std::optional<http_reply> answer(const http_request &request)
    {
        call arrived = callOf(request);
        arrived.isConnectionRefused = isDown;
        {
            const std::lock_guard lock(callsGuard);
            calls.push_back(arrived);
        }
        if (arrived.isConnectionRefused)
            return std::nullopt;
        auto reply = answerWhileUp(request);
        return isDown ? std::nullopt : std::move(reply);
    }

    std::optional<http_reply> answerWhileUp(const http_request &request)
    {
        const std::string path = request.path.substr(std::string(wire::objectsPath).size());
        const std::string kind = path.substr(0, path.find_first_of("?/"));
        if (request.method != "GET")
            return write(kind, request);
        if (const std::size_t slash = path.find('/'); slash != std::string::npos)
            return find(kind, path.substr(slash + 1));
        while (isRollbackPending())
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        const std::size_t from = path.find("watch=");
        if (from == std::string::npos)
            return listFrom(kind, path);
        ++watches;
        const std::uint64_t since = std::stoull(path.substr(from + 6));
        const auto wait = milliseconds(std::stol(path.substr(path.find("waitMs=") + 7))) / 10;
        for (const auto end = std::chrono::steady_clock::now() + wait;
             std::chrono::steady_clock::now() < end && !isDown && !hasChanges(kind, since);)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return reply(kind, since, true);
    }

    http_reply find(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = content.kinds[kind].find(name);
        if (found == content.kinds[kind].end() || found->second.isRemoved)
            return withEpoch(jsonReply("{}", 404));
        return withEpoch(jsonReply(textOf(name, found->second)));
    }

    static std::string textOf(const std::string &name, const snapshot::object &one)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(one.revision)
                + R"(},"spec":)" + one.spec + "}";
    }

    /// A write with a revision conflicts unless it is the object's current one.
    bool isConflict(const std::string &kind, const nlohmann::json &metadata)
    {
        const std::lock_guard lock(guard);
        const auto &objects = content.kinds[kind];
        const auto found = objects.find(metadata.at("name").get<std::string>());
        return metadata.contains("revision")
                && (found == objects.end() || found->second.revision != metadata.at("revision"));
    }

    /// One page, which starts after the name in the `after` parameter of the path.
    http_reply listFrom(const std::string &kind, const std::string &path)
    {
        ++pages;
        const std::size_t at = path.find("after=");
        const std::string after = at == std::string::npos ? "" : path.substr(at + 6);
        const bool isStale = path.find("allowStale=1") != std::string::npos;
        stalePages += isStale ? 1 : 0;
        return reply(kind, 0, false, after.substr(0, after.find('&')), isStale);
    }

    http_reply write(const std::string &kind, const http_request &request)
    {
        const auto body = nlohmann::json::parse(request.body);
        ++writes;
        if (isConflict(kind, body.at("metadata")))
            return withEpoch(jsonReply("{}", 409));
        put(kind, body.at("metadata").at("name").get<std::string>(), body.at("spec").dump());
        const std::lock_guard lock(guard);
        http_reply written = withEpoch(jsonReply("{}"));
        if (const auto saved = std::exchange(afterFirstWrite, std::nullopt)) {
            content = *saved;
            ++epoch;
        }
        return written;
    }

    bool isRollbackPending()
    {
        const std::lock_guard lock(guard);
        return afterFirstWrite.has_value();
    }

    bool hasChanges(const std::string &kind, std::uint64_t since)
    {
        const std::lock_guard lock(guard);
        return since > content.revision
                || std::ranges::any_of(content.kinds[kind], [since](const auto &entry) {
                       return entry.second.revision > since;
                   });
    }

    http_reply reply(const std::string &kind, std::uint64_t since, bool isWatch,
                     const std::string &after = {}, bool isStale = false)
    {
        const std::lock_guard lock(guard);
        snapshot &from = isStale && staleContent ? *staleContent : content;
        if (since > content.revision)
            return withEpoch(jsonReply("{}", 410));
        std::string items;
        std::size_t count = 0;
        bool isTruncated = false;
        for (const auto &[name, one] : from.kinds[kind]) {
            if (one.revision <= since || (one.isRemoved && !isWatch))
                continue;
            if (!isWatch && !after.empty() && name <= after)
                continue;
            if (!isWatch && count++ == pageSize) {
                isTruncated = true;
                break;
            }
            const std::string text = textOf(name, one);
            items += items.empty() ? "" : ",";
            items += isWatch ? std::string(R"({"removed":)") + (one.isRemoved ? "true" : "false")
                            + R"(,"object":)" + text + "}"
                             : text;
        }
        return withEpoch(jsonReply(std::string(isWatch ? R"({"events":[)" : R"({"items":[)") + items
                                   + (isTruncated ? R"(],"truncated":true)" : "]")
                                   + R"(,"currentRev":)" + std::to_string(from.revision) + "}"));
    }

    http_reply withEpoch(http_reply response)
    {
        const std::uint64_t sentEpoch = std::exchange(wrongEpoch, std::nullopt).value_or(epoch);
        if (sentEpoch > 0)
            response.headers.emplace_back(wire::storeEpoch, std::to_string(sentEpoch));
        return response;
    }

    metrics_registry metrics;
    std::mutex guard;
    snapshot content;
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> wrongEpoch;
    std::optional<snapshot> afterFirstWrite;
    std::atomic<bool> isDown{false};
    std::mutex callsGuard;
    std::vector<call> calls;
    http_server server;
    const endpoint listenAddress;
};

/// @param routes Number of routes, each with a long name.
inline std::string configSpec(int version, int routes = 0)
{
    std::string entries;
    for (int i = 0; i < routes; ++i) {
        const std::string name = "route-of-some-length-" + std::to_string(i);
        entries += std::string(i == 0 ? "" : ",") + R"({"name":")" + name
                + R"(","host":"h.example","pathPrefix":"/)" + name
                + R"(/","kind":"idempotent","service":"s"})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + entries
            + R"(],"services":[],"limits":{"maxHeaderBytes":1,"maxBodyBytes":1}})";
}

inline std::string runnerSpec(const std::string &state, int writes = 0)
{
    return R"({"service":"s","address":"10.0.0.1:8080","state":")" + state + R"(","seq":)"
            + std::to_string(writes) + "}";
}

} // namespace poplarspool::adapter::test
