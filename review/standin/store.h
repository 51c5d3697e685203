#pragma once

// The platform's metadata store (PROTOCOL.md, "The platform's metadata store"): objects by kind and
// name, lists, watches, conditional writes.

#include "net.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

class store
{
public:
    explicit store(const address &at) : listener(listenOn(at))
    {
        if (listener < 0)
            std::_Exit(2);
        serveForever(listener, [this](int fd) { serve(fd); });
    }

    /// Writes as the operator or a runner does.
    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(guard);
        object &one = kinds[kind][name];
        one.spec = spec;
        return record(kind, name, one, false);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = kinds[kind].find(name);
        if (found == kinds[kind].end())
            return;
        const object gone = found->second;
        kinds[kind].erase(found);
        record(kind, name, gone, true);
    }

    std::optional<json> specOf(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = kinds[kind].find(name);
        return found == kinds[kind].end() ? std::nullopt : std::optional<json>(found->second.spec);
    }

    /// A drill: the store comes back from a copy. `Store-Era` rises by one.
    struct copy
    {
        std::map<std::string, std::map<std::string, std::pair<json, std::uint64_t>>> content;
        std::uint64_t revision = 0;
    };

    copy makeCopy()
    {
        const std::lock_guard lock(guard);
        copy made;
        made.revision = revision;
        for (const auto &[kind, objects] : kinds) {
            for (const auto &[name, one] : objects)
                made.content[kind][name] = {one.spec, one.revision};
        }
        return made;
    }

    void restore(const copy &from)
    {
        const std::lock_guard lock(guard);
        kinds.clear();
        for (const auto &[kind, objects] : from.content) {
            for (const auto &[name, one] : objects)
                kinds[kind][name] = {one.first, one.second};
        }
        revision = from.revision;
        oldestWatch = revision;
        history.clear();
        ++era;
        changed.notify_all();
    }

    /// While set, each call is answered 503 (nothing is done).
    std::atomic<bool> isBusy{false};
    /// While positive, that many milliseconds before each answer.
    std::atomic<int> delayMs{0};

private:
    struct object
    {
        json spec;
        std::uint64_t revision = 0;
    };

    struct change
    {
        std::string kind;
        std::uint64_t revision = 0;
        json event;
    };

    static json render(const std::string &name, const object &one)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", one.revision},
                  {"created", 1},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", one.spec},
                {"status", json::object()}};
    }

    std::uint64_t record(const std::string &kind, const std::string &name, object one, bool isGone)
    {
        one.revision = ++revision;
        if (!isGone)
            kinds[kind][name].revision = revision;
        history.push_back({kind, revision, {{"object", render(name, one)}, {"removed", isGone}}});
        changed.notify_all();
        return revision;
    }

    void serve(int fd)
    {
        std::string buffer;
        while (true) {
            const auto request = readRequest(fd, buffer, nowMs() + 60'000);
            if (!request)
                return;
            const auto [status, body] = answer(*request);
            sleepMs(4 + delayMs.load());
            const std::string eraHeader =
                    era > 0 ? "Store-Era: " + std::to_string(era) + "\r\n" : std::string();
            if (!sendAll(fd, replyText(status, body.dump(), eraHeader)))
                return;
        }
    }

    std::pair<int, json> answer(const message &request)
    {
        if (isBusy)
            return {503, json::object()};
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string query =
                target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        const std::string prefix = "/api/objects/";
        if (path.rfind(prefix, 0) != 0)
            return {404, json::object()};
        std::string kind = path.substr(prefix.size());
        std::string name;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind = kind.substr(0, slash);
        }
        if (request.method() == "GET")
            return name.empty() ? list(kind, query) : get(kind, name);
        json body = json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return {400, json::object()};
        return write(request.method(), kind, name, body);
    }

    static std::string valueOf(const std::string &query, const std::string &key)
    {
        std::size_t at = 0;
        while (at < query.size()) {
            const std::size_t end = std::min(query.find('&', at), query.size());
            const std::string pair = query.substr(at, end - at);
            if (pair.rfind(key + "=", 0) == 0)
                return pair.substr(key.size() + 1);
            at = end + 1;
        }
        return {};
    }

    std::pair<int, json> list(const std::string &kind, const std::string &query)
    {
        std::unique_lock lock(guard);
        const std::string watch = valueOf(query, "watch");
        if (!watch.empty()) {
            const std::uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
            const std::uint64_t askedEra = era;
            if (since < oldestWatch || since > revision)
                return {410, json::object()};
            const auto eventsOf = [&] {
                json events = json::array();
                for (const change &one : history) {
                    if (one.kind == kind && one.revision > since)
                        events.push_back(one.event);
                }
                return events;
            };
            const auto wait =
                    std::chrono::milliseconds(std::atoi(valueOf(query, "waitMs").c_str()));
            changed.wait_for(lock, wait, [&] { return era != askedEra || !eventsOf().empty(); });
            if (era != askedEra)
                return {410, json::object()};
            return {200, {{"events", eventsOf()}, {"currentRev", revision}}};
        }
        json items = json::array();
        const std::string after = valueOf(query, "after");
        for (const auto &[name, one] : kinds[kind]) {
            if (name > after)
                items.push_back(render(name, one));
        }
        return {200, {{"items", items}, {"truncated", false}, {"currentRev", revision}}};
    }

    std::pair<int, json> get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = kinds[kind].find(name);
        if (found == kinds[kind].end())
            return {404, json::object()};
        return {200, render(name, found->second)};
    }

    std::pair<int, json> write(const std::string &method, const std::string &kind, std::string name,
                               const json &body)
    {
        const std::lock_guard lock(guard);
        const json metadata = body.value("metadata", json::object());
        if (name.empty())
            name = metadata.value("name", "");
        const auto found = kinds[kind].find(name);
        const bool exists = found != kinds[kind].end();
        if (method == "POST") {
            if (exists)
                return {409, render(name, found->second)};
            object &made = kinds[kind][name];
            made.spec = body.value("spec", json::object());
            record(kind, name, made, false);
            return {201, render(name, kinds[kind][name])};
        }
        if (!exists)
            return {404, json::object()};
        if (metadata.contains("revision") && metadata["revision"] != found->second.revision)
            return {409, render(name, found->second)};
        const json spec = body.value("spec", json::object());
        if (method == "PUT" && spec != found->second.spec) {
            found->second.spec = spec;
            record(kind, name, found->second, false);
        }
        return {200, render(name, kinds[kind][name])};
    }

    const int listener;
    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, object>> kinds;
    std::vector<change> history;
    std::uint64_t revision = 1;
    std::uint64_t oldestWatch = 0;
    std::atomic<std::uint64_t> era{0};
};

} // namespace standin
