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

/// A store of a few objects. Watches are answered with what came after their revision, at the
/// latest after a tenth of the time that they ask for. It can come back from a copy of itself.
class small_store
{
public:
    /// All that it holds at one time.
    struct copy
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

    /// A call that has arrived.
    struct call
    {
        enum class form { List, Watch, Get, Write };

        form how = form::List;
        std::string kind;
        std::string caller; ///< Of writes: the object's name.
        std::chrono::steady_clock::time_point at;
        bool isRefused = false; ///< The store was away.
    };

    /// @param connections That it takes at a time.
    explicit small_store(std::uint32_t connections = defaultHttpLimits().connections)
        : server(
                "store", {"127.0.0.1", 0}, limitsFor(connections),
                [this](const http_request &request, http_sink &) { return answer(request); },
                metrics),
          address(valueOf(server.start()))
    { }

    ~small_store() { server.stop(); }

    endpoint at() const { return address; }

    /// Refuses all calls from now on.
    void end() { server.stop(); }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(guard);
        content.kinds[kind][name] = {spec, ++content.revision, false};
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

    copy current()
    {
        const std::lock_guard lock(guard);
        return content;
    }

    void goBackTo(const copy &older)
    {
        const std::lock_guard lock(guard);
        content = older;
        ++epoch;
    }

    /// Breaks all calls off, those that wait too, until it comes back.
    void goAway() { isAway = true; }

    void comeBackAs(const copy &older)
    {
        goBackTo(older);
        isAway = false;
    }

    std::vector<call> takeCalls()
    {
        const std::lock_guard lock(callsGuard);
        return std::exchange(calls, {});
    }

    /// Lists wait for that write, and are answered from the copy.
    void goBackAfterTheFirstWrite(const copy &older)
    {
        const std::lock_guard lock(guard);
        afterFirstWrite = older;
    }

    std::atomic<std::size_t> pageSize{SIZE_MAX}; ///< Objects of one answer to a list.
    /// The next answer names another epoch.
    void nameOnce(std::uint64_t wrong)
    {
        const std::lock_guard lock(guard);
        wrongEpoch = wrong;
    }

    std::atomic<int> watches{0};
    std::atomic<int> pages{0}; ///< Answers to lists.
    std::atomic<int> writes{0}; ///< Calls of the instances that create or replace.

private:
    static http_limits limitsFor(std::uint32_t connections)
    {
        http_limits made = defaultHttpLimits();
        made.connections = connections;
        return made;
    }

    static call callOf(const http_request &request)
    {
        const std::string path = request.path.substr(std::string(wire::objectsPath).size());
        call made;
        made.kind = path.substr(0, path.find_first_of("?/"));
        made.at = std::chrono::steady_clock::now();
        if (request.method != "GET") {
            made.how = call::form::Write;
            made.caller = nlohmann::json::parse(request.body).at("metadata").at("name");
        } else if (path.find('/') != std::string::npos) {
            made.how = call::form::Get;
        } else if (path.find("watch=") != std::string::npos) {
            made.how = call::form::Watch;
        }
        return made;
    }

    std::optional<http_reply> answer(const http_request &request)
    {
        call arrived = callOf(request);
        arrived.isRefused = isAway;
        {
            const std::lock_guard lock(callsGuard);
            calls.push_back(arrived);
        }
        if (arrived.isRefused)
            return std::nullopt;
        auto made = answerCall(request);
        return isAway ? std::nullopt : std::move(made);
    }

    std::optional<http_reply> answerCall(const http_request &request)
    {
        const std::string path = request.path.substr(std::string(wire::objectsPath).size());
        const std::string kind = path.substr(0, path.find_first_of("?/"));
        if (request.method != "GET")
            return take(kind, request);
        if (const std::size_t slash = path.find('/'); slash != std::string::npos)
            return find(kind, path.substr(slash + 1));
        while (mustWait())
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        const std::size_t from = path.find("watch=");
        if (from == std::string::npos)
            return listFrom(kind, path);
        ++watches;
        const std::uint64_t since = std::stoull(path.substr(from + 6));
        const auto wait = milliseconds(std::stol(path.substr(path.find("waitMs=") + 7))) / 10;
        for (const auto end = std::chrono::steady_clock::now() + wait;
             std::chrono::steady_clock::now() < end && !isAway && !hasNews(kind, since);)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return reply(kind, since, true);
    }

    http_reply find(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = content.kinds[kind].find(name);
        if (found == content.kinds[kind].end() || found->second.isRemoved)
            return marked(jsonReply("{}", 404));
        return marked(jsonReply(textOf(name, found->second)));
    }

    static std::string textOf(const std::string &name, const copy::object &one)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(one.revision)
                + R"(},"spec":)" + one.spec + "}";
    }

    /// A write that names a revision holds only for that one.
    bool isConflict(const std::string &kind, const nlohmann::json &metadata)
    {
        const std::lock_guard lock(guard);
        const auto &objects = content.kinds[kind];
        const auto found = objects.find(metadata.at("name").get<std::string>());
        return metadata.contains("revision")
                && (found == objects.end() || found->second.revision != metadata.at("revision"));
    }

    /// One page, after the name that the path says.
    http_reply listFrom(const std::string &kind, const std::string &path)
    {
        ++pages;
        const std::size_t at = path.find("after=");
        const std::string after = at == std::string::npos ? "" : path.substr(at + 6);
        return reply(kind, 0, false, after.substr(0, after.find('&')));
    }

    http_reply take(const std::string &kind, const http_request &request)
    {
        const auto body = nlohmann::json::parse(request.body);
        ++writes;
        if (isConflict(kind, body.at("metadata")))
            return marked(jsonReply("{}", 409));
        put(kind, body.at("metadata").at("name").get<std::string>(), body.at("spec").dump());
        const std::lock_guard lock(guard);
        http_reply written = marked(jsonReply("{}"));
        if (const auto older = std::exchange(afterFirstWrite, std::nullopt)) {
            content = *older;
            ++epoch;
        }
        return written;
    }

    bool mustWait()
    {
        const std::lock_guard lock(guard);
        return afterFirstWrite.has_value();
    }

    bool hasNews(const std::string &kind, std::uint64_t since)
    {
        const std::lock_guard lock(guard);
        return since > content.revision
                || std::ranges::any_of(content.kinds[kind], [since](const auto &entry) {
                       return entry.second.revision > since;
                   });
    }

    http_reply reply(const std::string &kind, std::uint64_t since, bool isWatch,
                     const std::string &after = {})
    {
        const std::lock_guard lock(guard);
        if (since > content.revision)
            return marked(jsonReply("{}", 410));
        std::string items;
        std::size_t count = 0;
        bool isTruncated = false;
        for (const auto &[name, one] : content.kinds[kind]) {
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
        return marked(jsonReply(std::string(isWatch ? R"({"events":[)" : R"({"items":[)") + items
                                + (isTruncated ? R"(],"truncated":true)" : "]")
                                + R"(,"currentRev":)" + std::to_string(content.revision) + "}"));
    }

    http_reply marked(http_reply given)
    {
        const std::uint64_t named = std::exchange(wrongEpoch, std::nullopt).value_or(epoch);
        if (named > 0)
            given.headers.emplace_back(wire::storeEpoch, std::to_string(named));
        return given;
    }

    metrics_registry metrics;
    std::mutex guard;
    copy content;
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> wrongEpoch;
    std::optional<copy> afterFirstWrite;
    std::atomic<bool> isAway{false};
    std::mutex callsGuard;
    std::vector<call> calls;
    http_server server;
    const endpoint address;
};

/// @param routes How many, with long names.
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
