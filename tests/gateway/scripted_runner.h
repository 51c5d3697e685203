#pragma once

#include "base/http_fixture.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
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
    /// All connections are closed in an orderly way, as if a process for each of them had ended.
    /// The process that listens goes on: new connections are served.
    Crash,
};

/// Bytes that are sent after a pause.
struct script_piece
{
    std::string bytes;
    std::chrono::milliseconds pause{0};
};

struct script
{
    std::string bytes;
    script_end end = script_end::Close;
    std::chrono::milliseconds endsAfter{0}; ///< Time between the bytes and the end.
    std::vector<script_piece> more = {}; ///< Sent after `bytes`.
};

/// A runner that answers the n-th connection on which a request arrives with the n-th script and
/// records the requests. Reports, of "GET /state", are answered beside the scripts, any number on a
/// connection.
class scripted_runner
{
public:
    /// @param onRequest Called when a request has arrived, before it is answered.
    /// @param reportReply Answer to reports; empty: none.
    explicit scripted_runner(
            std::vector<script> scripts, std::function<void()> onRequest = {},
            std::string reportReply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        : scripts(std::move(scripts)), onRequest(std::move(onRequest)),
          reportReply(std::move(reportReply)),
          listener(poplarspool::test::listenOnLoopback(boundAddress))
    {
        acceptor = std::thread([this] { run(); });
    }

    ~scripted_runner()
    {
        shutdown(listener.get(), SHUT_RDWR);
        acceptor.join();
        endConnections();
        for (std::thread &one : connections)
            one.join();
    }

    const endpoint &address() const { return boundAddress; }
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(guard);
        return receivedRequests;
    }
    int connectionCount() const { return acceptedConnections; }
    int reportCount() const { return answeredReports; }
    /// The first reports name request q1 as worked on.
    void workOnFor(int reports) { reportsOfWork = reports; }
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
        while (true) {
            const int fd = accept(listener.get(), nullptr, nullptr);
            if (fd < 0)
                return;
            ++acceptedConnections;
            const std::lock_guard lock(guard);
            open.insert(fd);
            connections.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        descriptor connection(fd);
        std::string request;
        while (isReport(request = poplarspool::test::readUntil(fd, "\r\n\r\n"))
               && !reportReply.empty()) {
            const bool worksOn = ++answeredReports <= reportsOfWork;
            sendAll(fd, worksOn ? reportOfWork : reportReply, poplarspool::test::testDeadline(),
                    -1);
        }
        const script *next = takeScript(request);
        if (next != nullptr)
            answer(connection, *next);
        else if (!request.empty())
            poplarspool::test::readUntil(fd, {}); // It is never answered.
        const std::lock_guard lock(guard);
        open.erase(fd);
        connection.reset();
    }

    static bool isReport(const std::string &request) { return request.starts_with("GET /state "); }

    const script *takeScript(const std::string &request)
    {
        const std::lock_guard lock(guard);
        if (request.empty() || isReport(request) || receivedRequests.size() == scripts.size())
            return nullptr;
        receivedRequests.push_back(request);
        return &scripts[receivedRequests.size() - 1];
    }

    void answer(descriptor &connection, const script &given)
    {
        if (onRequest)
            onRequest();
        sendAll(connection.get(), given.bytes, poplarspool::test::testDeadline(), -1);
        for (const script_piece &piece : given.more) {
            std::this_thread::sleep_for(piece.pause);
            sendAll(connection.get(), piece.bytes, poplarspool::test::testDeadline(), -1);
        }
        std::this_thread::sleep_for(given.endsAfter);
        if (given.end == script_end::Reset)
            abortOnClose(connection.get());
        if (given.end == script_end::Endless)
            sendWithoutEnd(connection.get());
        if (given.end == script_end::Crash)
            endConnections();
        if (given.end == script_end::Stay) {
            poplarspool::test::readUntil(connection.get(), {});
            isDisconnected = true;
        }
    }

    void endConnections()
    {
        const std::lock_guard lock(guard);
        for (const int fd : open)
            shutdown(fd, SHUT_RDWR);
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

    static constexpr const char *reportOfWork =
            "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nruns q1";
    static constexpr std::size_t maxEndlessBytes = 16UL * 1024 * 1024;

    const std::vector<script> scripts;
    const std::function<void()> onRequest;
    const std::string reportReply;
    endpoint boundAddress;
    descriptor listener;
    mutable std::mutex guard;
    std::set<int> open;
    std::vector<std::string> receivedRequests;
    std::atomic<int> acceptedConnections{0};
    std::atomic<int> answeredReports{0};
    std::atomic<int> reportsOfWork{0};
    std::atomic<bool> isDisconnected{false};
    std::atomic<bool> isEndlessOver{false};
    std::vector<std::thread> connections;
    std::thread acceptor;
};

} // namespace poplarspool::gateway::test
