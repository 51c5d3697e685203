#include "soak/runner_process.h"

#include "soak/answer_spec.h"
#include "soak/connection.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <poll.h>
#include <set>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace poplarspool::soak {

namespace {

constexpr std::chrono::seconds idleTime{5};
constexpr std::chrono::seconds sendTime{10};
constexpr std::chrono::milliseconds addressPollTime{1};
constexpr int signalPollMs = 5;
/// Keeps a soak within 60 processes. Connections beyond it are reset, as runners do with too many.
constexpr std::size_t maxProcesses = 16;

std::atomic<bool> isLeaving{false};
std::atomic<bool> isRunKilled{false};
std::atomic<bool> isToExit{false};
std::atomic<bool> areWorkersKilled{false};

void note(const std::string &line)
{
    // One call, since processes share the file.
    [[maybe_unused]] const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
}

std::string replyText(int status, const std::string &headers)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers
            + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
}

class answering
{
public:
    answering(const runner_options &options, connection &caller) : options(options), caller(caller)
    { }

    void serve()
    {
        while (auto head = caller.receiveHead(socket_clock::now() + idleTime)) {
            const auto length = std::strtoul(
                    std::string(headerOf(head->headers, "Content-Length")).c_str(), nullptr, 10);
            while (caller.buffered.size() < length) {
                if (!caller.receiveMore(socket_clock::now() + idleTime))
                    return;
            }
            if (!answer(*head, caller.take(length)))
                return;
        }
    }

private:
    /// @returns Whether the connection can be used again.
    bool answer(const message_head &request, const std::string &body)
    {
        const std::string own = "X-Instance-Id: " + options.id
                + "\r\nKeep-Alive: timeout=" + std::to_string(idleTime.count()) + "\r\n";
        const std::string_view expected = headerOf(request.headers, "X-Expect-Instance");
        if (!expected.empty() && expected != options.id)
            return send(replyText(421, "X-Not-Executed: 1\r\n" + own));
        const auto spec = parseSpec(body);
        if (request.firstLine.starts_with("GET /api/report"))
            return send(replyText(200, own));
        return spec ? run(request, *spec) : send(replyText(404, own));
    }

    bool run(const message_head &request, const answer_spec &spec)
    {
        note("begin " + spec.key + " " + std::string(nameOf(spec.framedBy)) + "\n");
        const std::string last(headerOf(request.headers, "Last-Event-Id"));
        const auto passed = static_cast<std::uint32_t>(std::strtoul(last.c_str(), nullptr, 10));
        bool isSent = send(headOf(request, spec, passed));
        for (std::uint32_t number = passed + 1; isSent && number <= spec.pieces; ++number) {
            std::this_thread::sleep_for(std::chrono::milliseconds(spec.gapMs));
            isSent = sendPiece(spec, pieceOf(spec, number));
        }
        if (isSent && spec.framedBy == framing::Chunks)
            isSent = send("0\r\n\r\n");
        note((isSent ? "end " : "gone ") + spec.key + "\n");
        return isSent && spec.framedBy != framing::Close && !isLeaving;
    }

    static std::string headOf(const message_head &request, const answer_spec &spec,
                              std::uint32_t passed)
    {
        std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: s.1\r\nX-Attempt-Id: "
                + std::string(headerOf(request.headers, "X-Attempt-Id")) + "\r\nContent-Type: "
                + (spec.isStream ? "text/event-stream" : "text/plain") + "\r\n";
        if (isLeaving)
            head += "Server-Leaving: 1\r\n";
        if (isLeaving || spec.framedBy == framing::Close)
            head += "Connection: close\r\n";
        std::size_t bytes = 0;
        for (std::uint32_t number = passed + 1; number <= spec.pieces; ++number)
            bytes += pieceOf(spec, number).size();
        if (spec.framedBy == framing::Chunks)
            head += "Transfer-Encoding: chunked\r\n";
        if (spec.framedBy == framing::Length)
            head += "Content-Length: " + std::to_string(bytes) + "\r\n";
        return head + "\r\n";
    }

    bool sendPiece(const answer_spec &spec, const std::string &piece)
    {
        if (spec.framedBy != framing::Chunks)
            return send(piece);
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        return send(size + piece + "\r\n");
    }

    bool send(const std::string &bytes) const
    {
        return caller.send(bytes, socket_clock::now() + sendTime);
    }

    const runner_options &options;
    connection &caller;
};

descriptor waitForAddress(const endpoint &at)
{
    descriptor listener = listenAt(at);
    while (!listener.isOpen()) {
        std::this_thread::sleep_for(addressPollTime);
        listener = listenAt(at);
    }
    return listener;
}

/// @returns A new connection; not open if none came for a moment.
descriptor acceptSome(const descriptor &listener)
{
    pollfd waited{listener.get(), POLLIN, 0};
    if (poll(&waited, 1, signalPollMs) != 1)
        return {};
    descriptor accepted(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (accepted.isOpen())
        setNoDelay(accepted.get());
    return accepted;
}

[[noreturn]] void serveWithThreads(const runner_options &options, const descriptor &listener)
{
    while (true) {
        descriptor accepted = acceptSome(listener);
        if (isToExit)
            std::_Exit(0);
        if (!accepted.isOpen())
            continue;
        std::thread([&options, caller = connection(std::move(accepted))]() mutable {
            answering(options, caller).serve();
        }).detach();
    }
}

/// The process that listens, of a runner with a process for each connection.
class listening_process
{
public:
    listening_process(const runner_options &options, descriptor listener)
        : options(options), listener(std::move(listener)), ownPid(getpid())
    { }

    [[noreturn]] void run()
    {
        while (true) {
            descriptor accepted;
            if (!isOrphaned || options.servesOn)
                accepted = acceptSome(listener);
            else
                std::this_thread::sleep_for(std::chrono::milliseconds(signalPollMs));
            passSignals();
            if (accepted.isOpen())
                serve(connection(std::move(accepted)));
        }
    }

private:
    void passSignals()
    {
        while (true) {
            const pid_t ended = waitpid(-1, nullptr, WNOHANG);
            if (ended <= 0)
                break;
            processes.erase(ended);
        }
        if (isToExit) {
            signalAll(SIGKILL);
            std::_Exit(0);
        }
        if (areWorkersKilled.exchange(false))
            killEverySecond();
        if (isRunKilled && !std::exchange(isOrphaned, true))
            signalAll(SIGKILL);
        if (isLeaving && !std::exchange(hasToldLeave, true))
            signalAll(SIGUSR2);
    }

    void killEverySecond() const
    {
        bool isNext = false;
        for (const pid_t one : processes) {
            if (std::exchange(isNext, !isNext))
                kill(one, SIGKILL);
        }
    }

    void signalAll(int signal) const
    {
        for (const pid_t one : processes)
            kill(one, signal);
    }

    void serve(connection caller)
    {
        if (processes.size() >= maxProcesses) {
            note("full -\n");
            caller.abort();
            return;
        }
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != ownPid)
                std::_Exit(0);
            listener.reset();
            std::signal(SIGTERM, SIG_DFL);
            std::signal(SIGUSR1, SIG_IGN);
            std::signal(SIGHUP, SIG_IGN);
            answering(options, caller).serve();
            std::_Exit(0);
        }
        if (pid > 0)
            processes.insert(pid);
    }

    const runner_options &options;
    descriptor listener;
    const pid_t ownPid;
    std::set<pid_t> processes;
    bool isOrphaned = false;
    bool hasToldLeave = false;
};

} // namespace

void runAsRunner(const runner_options &options)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { isToExit = true; });
    std::signal(SIGUSR1, [](int) { isRunKilled = true; });
    std::signal(SIGHUP, [](int) { areWorkersKilled = true; });
    std::signal(SIGUSR2, [](int) { isLeaving = true; });
    descriptor listener = waitForAddress(options.at);
    if (options.hasProcesses)
        listening_process(options, std::move(listener)).run();
    serveWithThreads(options, listener);
}

} // namespace poplarspool::soak
