#pragma once

#include "adapter/fake_store.h"
#include "platform/names.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace poplarspool::adapter::test {

/// A runner whose streams have six events, each with the runner's software version in its text. It
/// doesn't check by which version a stream that it resumes was begun.
class versioned_runner
{
public:
    static constexpr int eventCount = 6;

    versioned_runner(fake_store &store, std::string id, std::string version)
        : store(store), id(std::move(id)), version(std::move(version)),
          server(
                  "runner", {"127.0.0.1", 0}, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &caller) {
                      return answer(request, caller);
                  },
                  metrics),
          listenAddress(valueOf(server.start()))
    {
        list("in_service");
    }

    ~versioned_runner() { server.stop(); }

    /// Writes its entry into the store.
    void list(const std::string &state)
    {
        store.put(wire::runnerKind, id,
                  R"({"service":"s","address":")" + textOf(listenAddress)
                          + R"(","slots":64,"seq":1,"zone":"a","state":")" + state
                          + R"(","version":")" + version + R"("})");
    }

    /// Removes its entry from the store.
    void unlist() { store.remove(wire::runnerKind, id); }

    /// @param count New streams break off after this many events; 0: they are whole.
    void breakNewStreamsAfter(int count) { newStreamEvents = count; }
    /// Each stream waits after its first event until this is called with false.
    void holdStreams(bool areHeld) { isHolding = areHeld; }

    const std::string &softwareVersion() const { return version; }
    int startedCount() const { return started; }
    /// Number of streams that did not start with their first event.
    int takenUpCount() const { return takenUp; }

private:
    std::optional<http_reply> answer(const http_request &request, http_sink &caller)
    {
        if (!request.path.starts_with("/p/")) {
            http_reply reply;
            reply.status = 200;
            return reply;
        }
        ++started;
        const std::string after(headerOf(request.headers, wire::lastEventId));
        takenUp += after.empty() ? 0 : 1;
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        const int broken = after.empty() ? newStreamEvents.load() : 0;
        caller.begin(200, {{wire::seal, "s"}}, "text/event-stream");
        for (int event = first; event <= eventCount; ++event) {
            if (!caller.write("id: " + std::to_string(event) + "\ndata: " + version + "\n\n"))
                return std::nullopt;
            if (event == broken)
                return std::nullopt;
            while (isHolding && !caller.isGone())
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        caller.end();
        return std::nullopt;
    }

    fake_store &store;
    const std::string id;
    const std::string version;
    std::atomic<int> newStreamEvents = 0;
    std::atomic<bool> isHolding = false;
    std::atomic<int> started = 0;
    std::atomic<int> takenUp = 0;
    metrics_registry metrics;
    http_server server;
    const endpoint listenAddress;
};

} // namespace poplarspool::adapter::test
