#pragma once

#include "base/http_fixture.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace poplarspool::gateway::test {

/// How a scripted connection ends after its bytes.
enum class script_end {
    Close, ///< In an orderly way.
    Reset,
    Stay, ///< Stays open until the caller closes it.
    /// Bytes without an empty line follow until the caller closes it, or until they are more than
    /// any call may read.
    Endless,
};

struct script
{
    std::string bytes;
    script_end end = script_end::Close;
};

/// A runner that answers its n-th connection with the n-th script and records the requests.
class scripted_runner
{
public:
    /// @param onRequest Called when a request has arrived, before it is answered.
    explicit scripted_runner(std::vector<script> scripts, std::function<void()> onRequest = {})
        : scripts(std::move(scripts)), onRequest(std::move(onRequest)),
          listener(poplarspool::test::listenOnLoopback(boundAddress))
    {
        thread = std::thread([this] { run(); });
    }

    ~scripted_runner()
    {
        shutdown(listener.get(), SHUT_RDWR);
        thread.join();
    }

    const endpoint &address() const { return boundAddress; }
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(guard);
        return receivedRequests;
    }
    /// @returns Whether a connection that stays open was closed by the other side.
    bool wasDisconnected() const { return isDisconnected; }
    /// Waits for the end of bytes without end.
    /// @returns Whether the other side has closed the connection before it took all of them.
    bool awaitDisconnect() const
    {
        while (!isEndlessOver)
            std::this_thread::yield();
        return isDisconnected;
    }

private:
    void run()
    {
        for (const script &each : scripts) {
            descriptor connection(accept(listener.get(), nullptr, nullptr));
            if (!connection.isOpen())
                return;
            std::string request = poplarspool::test::readUntil(connection.get(), "\r\n\r\n");
            {
                const std::lock_guard lock(guard);
                receivedRequests.push_back(std::move(request));
            }
            if (onRequest)
                onRequest();
            sendAll(connection.get(), each.bytes, poplarspool::test::testDeadline(), -1);
            if (each.end == script_end::Reset)
                abortOnClose(connection.get());
            if (each.end == script_end::Endless)
                sendWithoutEnd(connection.get());
            if (each.end == script_end::Stay) {
                poplarspool::test::readUntil(connection.get(), {});
                isDisconnected = true;
            }
        }
    }

    void sendWithoutEnd(int connection)
    {
        const std::string bytes(64UL * 1024, 'x');
        std::size_t sent = 0;
        while (sent < maxEndlessBytes
               && sendAll(connection, bytes, poplarspool::test::testDeadline(), -1).fault
                       == socket_fault::None)
            sent += bytes.size();
        isDisconnected = sent < maxEndlessBytes;
        isEndlessOver = true;
    }

    static constexpr std::size_t maxEndlessBytes = 16UL * 1024 * 1024;

    const std::vector<script> scripts;
    const std::function<void()> onRequest;
    endpoint boundAddress;
    descriptor listener;
    mutable std::mutex guard;
    std::vector<std::string> receivedRequests;
    std::atomic<bool> isDisconnected{false};
    std::atomic<bool> isEndlessOver{false};
    std::thread thread;
};

} // namespace poplarspool::gateway::test
