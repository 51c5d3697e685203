#pragma once

#include "adapter/fake_store.h"
#include "base/http_fixture.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::adapter::test {

/// How the replies of a runner are delimited, and where a crash ends them.
enum class reply_form {
    Sized, ///< With a length; a crash comes before the reply.
    EndsBetweenEvents, ///< A stream without length or chunks; a crash ends it after an event.
    EndsWithinEvent, ///< The same, and a crash ends it within its second event.
};

/// A runner that crashes when it receives a request with `crashMarker` in its prompt or its body:
/// it closes all its connections and refuses new ones. Any other request gets a complete reply.
class crashing_runner
{
public:
    static constexpr std::string_view crashMarker = "crashes-its-runner";

    explicit crashing_runner(reply_form form = reply_form::Sized)
        : form(form), listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *raw = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT(bind(listener.get(), raw, size) == 0);
        CPPUNIT_ASSERT(listen(listener.get(), 64) == 0);
        getsockname(listener.get(), raw, &size);
        listenAddress = {"127.0.0.1", ntohs(address.sin_port)};
        acceptThread = std::thread([this] { acceptAll(); });
    }

    ~crashing_runner()
    {
        crash();
        acceptThread.join();
        for (std::thread &each : serverThreads)
            each.join();
    }

    const endpoint &address() const { return listenAddress; }
    bool hasCrashed() const { return isCrashed; }
    /// If false, requests with `crashMarker` are served like others.
    void setVulnerable(bool isNow) { isVulnerable = isNow; }
    /// Crashes at the next request, whichever it is.
    void crashAtNextRequest() { crashesNext = true; }
    /// Number of received requests with `crashMarker`.
    int crashRequestCount() const { return crashRequests; }

private:
    void acceptAll()
    {
        while (true) {
            descriptor connection(accept(listener.get(), nullptr, nullptr));
            const std::lock_guard lock(guard);
            if (!connection.isOpen() || isCrashed)
                return;
            connections.push_back(std::make_unique<descriptor>(std::move(connection)));
            serverThreads.emplace_back([this, fd = connections.back()->get()] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        while (!isCrashed) {
            // A kept connection may stay idle for longer than any wait of a test.
            if (waitForSocket(fd, POLLIN, poplarspool::test::testDeadline(), -1)
                != socket_fault::None)
                return;
            std::string request = poplarspool::test::readUntil(fd, "\r\n\r\n");
            if (request.starts_with("GET /api/report ")) {
                send(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::size_t lengthStart = request.find("Content-Length: ");
            if (request.empty() || lengthStart == std::string::npos)
                return;
            const std::size_t bodyBytes = std::stoul(request.substr(lengthStart + 16));
            const std::size_t bodyStart = request.find("\r\n\r\n") + 4;
            std::string buffer(bodyBytes, '\0');
            std::size_t receivedBytes = request.size() - bodyStart;
            while (receivedBytes < bodyBytes) {
                const ssize_t size = recv(fd, buffer.data(), bodyBytes - receivedBytes, 0);
                if (size <= 0)
                    return;
                request.append(buffer.data(), static_cast<std::size_t>(size));
                receivedBytes += static_cast<std::size_t>(size);
            }
            const bool isMarked = request.find(crashMarker) != std::string::npos;
            crashRequests += isMarked ? 1 : 0;
            if ((isMarked && isVulnerable) || crashesNext.exchange(false)) {
                send(fd, brokenReply());
                return crash();
            }
            send(fd, wholeReply());
            if (form != reply_form::Sized) {
                shutdown(fd, SHUT_RDWR);
                return;
            }
        }
    }

    static void send(int fd, const std::string &text)
    {
        sendAll(fd, text, poplarspool::test::testDeadline(), -1);
    }

    std::string brokenReply() const
    {
        if (form == reply_form::Sized)
            return {};
        return std::string(streamHead) + "id: 1\ndata: a\n\n"
                + (form == reply_form::EndsWithinEvent ? "id: 2\nda" : "");
    }

    std::string wholeReply() const
    {
        const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        if (form != reply_form::Sized)
            return std::string(streamHead) + events;
        return "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: "
                + std::to_string(events.size()) + "\r\n\r\n" + events;
    }

    void crash()
    {
        const std::lock_guard lock(guard);
        if (isCrashed.exchange(true))
            return;
        shutdown(listener.get(), SHUT_RDWR);
        for (const auto &each : connections) {
            abortOnClose(each->get());
            shutdown(each->get(), SHUT_RDWR);
        }
    }

    static constexpr std::string_view streamHead =
            "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";

    const reply_form form;
    descriptor listener;
    endpoint listenAddress;
    std::mutex guard;
    std::atomic<bool> isVulnerable{true};
    std::atomic<bool> crashesNext{false};
    std::atomic<bool> isCrashed{false};
    std::atomic<int> crashRequests{0};
    std::vector<std::unique_ptr<descriptor>> connections;
    std::list<std::thread> serverThreads;
    std::thread acceptThread;
};

/// Runners of one service. A crashed one is replaced by a new one with another id.
class crashing_runners
{
public:
    crashing_runners(fake_store &store, int count, reply_form form = reply_form::Sized)
        : store(store), form(form)
    {
        for (int i = 0; i < count; ++i)
            startOne();
    }

    /// Starts a replacement for each runner that has crashed since the last call.
    void replaceCrashed()
    {
        const std::size_t count = incarnations.size();
        for (std::size_t i = 0; i < count; ++i) {
            if (!incarnations[i].isReplaced && incarnations[i].runner->hasCrashed()) {
                incarnations[i].isReplaced = true;
                store.remove(wire::runnerKind, incarnations[i].id);
                startOne();
            }
        }
    }

    /// @param areNow If false, no runner crashes at marked requests.
    void setVulnerable(bool areNow)
    {
        areVulnerable = areNow;
        for (const incarnation_entry &each : incarnations)
            each.runner->setVulnerable(areNow);
    }

    /// Each living runner crashes at its next request.
    void crashAllAtNextRequest()
    {
        for (const incarnation_entry &each : incarnations)
            each.runner->crashAtNextRequest();
    }

    int crashedCount() const
    {
        return static_cast<int>(
                std::ranges::count_if(incarnations, [](const incarnation_entry &one) {
                    return one.runner->hasCrashed();
                }));
    }

    int crashRequests() const
    {
        int sum = 0;
        for (const incarnation_entry &one : incarnations)
            sum += one.runner->crashRequestCount();
        return sum;
    }

private:
    struct incarnation_entry
    {
        std::string id;
        std::unique_ptr<crashing_runner> runner;
        bool isReplaced = false;
    };

    void startOne()
    {
        incarnation_entry entry{"i-" + std::to_string(incarnations.size()),
                                std::make_unique<crashing_runner>(form)};
        entry.runner->setVulnerable(areVulnerable);
        store.put(wire::runnerKind, entry.id,
                  R"({"service":"s","address":")" + textOf(entry.runner->address())
                          + R"(","state":"in_service","slots":8,"seq":1})");
        incarnations.push_back(std::move(entry));
    }

    fake_store &store;
    const reply_form form;
    bool areVulnerable = true;
    std::vector<incarnation_entry> incarnations;
};

} // namespace poplarspool::adapter::test
