#pragma once

#include "adapter/small_store.h"
#include "base/http_fixture.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::adapter::test {

/// A runner that ends as it begins a marked body: it resets all its connections, and refuses new
/// ones. Any other request gets a whole answer.
class ending_runner
{
public:
    static constexpr std::string_view mark = "ends-its-runner";

    ending_runner() : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *raw = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT(bind(listener.get(), raw, size) == 0);
        CPPUNIT_ASSERT(listen(listener.get(), 64) == 0);
        getsockname(listener.get(), raw, &size);
        at = {"127.0.0.1", ntohs(address.sin_port)};
        acceptor = std::thread([this] { acceptAll(); });
    }

    ~ending_runner()
    {
        end();
        acceptor.join();
        for (std::thread &each : servers)
            each.join();
    }

    const endpoint &address() const { return at; }
    bool hasEnded() const { return isEnded; }
    /// Marked requests that reached it.
    int marked() const { return markedRequests; }

private:
    void acceptAll()
    {
        while (true) {
            descriptor connection(accept(listener.get(), nullptr, nullptr));
            const std::lock_guard lock(guard);
            if (!connection.isOpen() || isEnded)
                return;
            connections.push_back(std::make_unique<descriptor>(std::move(connection)));
            servers.emplace_back([this, fd = connections.back()->get()] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        while (!isEnded) {
            std::string request = poplarspool::test::readUntil(fd, "\r\n\r\n");
            const std::size_t length = request.find("Content-Length: ");
            if (request.empty() || length == std::string::npos)
                return;
            const std::size_t bodyBytes = std::stoul(request.substr(length + 16));
            const std::size_t head = request.find("\r\n\r\n") + 4;
            std::string rest(bodyBytes, '\0');
            std::size_t got = request.size() - head;
            while (got < bodyBytes) {
                const ssize_t size = recv(fd, rest.data(), bodyBytes - got, 0);
                if (size <= 0)
                    return;
                request.append(rest.data(), static_cast<std::size_t>(size));
                got += static_cast<std::size_t>(size);
            }
            if (request.find(mark, head) != std::string::npos) {
                ++markedRequests;
                return end();
            }
            sendAll(fd, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwhole",
                    poplarspool::test::safetyEnd(), -1);
        }
    }

    void end()
    {
        const std::lock_guard lock(guard);
        if (isEnded.exchange(true))
            return;
        shutdown(listener.get(), SHUT_RDWR);
        for (const auto &each : connections) {
            abortOnClose(each->get());
            shutdown(each->get(), SHUT_RDWR);
        }
    }

    descriptor listener;
    endpoint at;
    std::mutex guard;
    std::atomic<bool> isEnded{false};
    std::atomic<int> markedRequests{0};
    std::vector<std::unique_ptr<descriptor>> connections;
    std::list<std::thread> servers;
    std::thread acceptor;
};

/// Runners of one service that are started again, under another id, whenever one has ended.
class ending_runners
{
public:
    ending_runners(small_store &store, int count) : store(store)
    {
        for (int i = 0; i < count; ++i)
            startOne();
    }

    /// Starts a new life for each one that has ended since.
    void startEndedAgain()
    {
        const std::size_t count = lives.size();
        for (std::size_t i = 0; i < count; ++i) {
            if (!lives[i].isReplaced && lives[i].runner->hasEnded()) {
                lives[i].isReplaced = true;
                store.remove(wire::runnerKind, lives[i].id);
                startOne();
            }
        }
    }

    int ended() const
    {
        return static_cast<int>(std::ranges::count_if(
                lives, [](const life &one) { return one.runner->hasEnded(); }));
    }

    int markedRequests() const
    {
        int sum = 0;
        for (const life &one : lives)
            sum += one.runner->marked();
        return sum;
    }

private:
    struct life
    {
        std::string id;
        std::unique_ptr<ending_runner> runner;
        bool isReplaced = false;
    };

    void startOne()
    {
        life made{"i-" + std::to_string(lives.size()), std::make_unique<ending_runner>()};
        store.put(wire::runnerKind, made.id,
                  R"({"service":"s","address":")" + textOf(made.runner->address())
                          + R"(","state":"in_service","slots":8,"seq":1})");
        lives.push_back(std::move(made));
    }

    small_store &store;
    std::vector<life> lives;
};

} // namespace poplarspool::adapter::test
