#pragma once

// A stand-in runner of a plain or streaming service (PROTOCOL.md, "Runners" and "Answers").

#include "net.h"

#include <csignal>
#include <fstream>
#include <sys/prctl.h>

namespace standin {

struct runner_options
{
    std::string id;
    address at;
    std::string log; ///< One line for each request that it runs, and for the end of each.
    int events = 17; ///< Events of a stream.
    int gapMs = 100; ///< Time before each of them.
    int plainMs = 0; ///< Answers in one piece after this time; 0: with a stream.
    std::string leaving; ///< While this file is there, answers say that the runner leaves.
    bool forks = false; ///< A process for each channel; all end with the one that listens.
    int unframedEvery = 0; ///< Each nth answer has no length and ends with its channel; 0: none.
};

inline std::string eventText(const std::string &attempt, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attempt + "-" + std::to_string(number)
            + "\n\n";
}

inline std::string streamText(const std::string &attempt, int from, int events)
{
    std::string text;
    for (int i = from; i <= events; ++i)
        text += eventText(attempt, i);
    return text;
}

class runner
{
public:
    explicit runner(runner_options given)
        : options(std::move(given)), log(options.log, std::ios::app)
    { }

    [[noreturn]] void run()
    {
        const int listener = listenOn(options.at);
        if (listener < 0)
            std::_Exit(2);
        if (options.forks)
            serveWithProcesses(listener);
        serveForever(listener, [this](int fd) { serve(fd); });
        while (true)
            sleepMs(1000);
    }

private:
    [[noreturn]] void serveWithProcesses(int listener)
    {
        signal(SIGCHLD, SIG_IGN);
        const pid_t parent = getpid();
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            if (fork() == 0) {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                if (getppid() != parent)
                    std::_Exit(0);
                close(listener);
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                serve(fd);
                std::_Exit(0);
            }
            close(fd);
        }
    }

    /// By the attempt's number where processes can't count together.
    bool isUnframed(const std::string &attempt)
    {
        if (options.unframedEvery == 0)
            return false;
        const int number = options.forks ? std::atoi(attempt.c_str() + 1) : ++answers;
        return number % options.unframedEvery == 0;
    }

    void note(const std::string &text)
    {
        const std::lock_guard lock(guard);
        log << wallMs() << ' ' << text << std::endl;
    }

    void serve(int fd)
    {
        std::string buffer;
        while (true) {
            const auto request = readRequest(fd, buffer, nowMs() + 10'000);
            if (!request)
                return;
            const std::string attempt = request->headers.of("X-Attempt-Id");
            const std::string expected = request->headers.of("X-Expect-Instance");
            if (!expected.empty() && expected != options.id) {
                sendAll(fd,
                        replyText(421, "{}",
                                  "X-Not-Executed: 1\r\nX-Instance-Id: " + options.id + "\r\n"));
                continue;
            }
            if (request->target().rfind("/api/", 0) == 0) {
                sendAll(fd, replyText(404, "{}"));
                continue;
            }
            const bool isReusable = options.plainMs > 0 ? answerPlain(fd, *request, attempt)
                                                        : stream(fd, *request, attempt);
            if (!isReusable)
                return;
        }
    }

    bool answerPlain(int fd, const message &request, const std::string &attempt)
    {
        note("BEGIN " + attempt + " body_bytes=" + std::to_string(request.body.size()));
        sleepMs(options.plainMs);
        const bool isSent =
                sendAll(fd,
                        replyText(200, "{\"ran\":\"" + attempt + "\"}",
                                  "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: s.1\r\n"));
        note((isSent ? "END " : "GONE ") + attempt);
        return isSent;
    }

    /// @returns Whether the channel can be used again.
    bool stream(int fd, const message &request, const std::string &attempt)
    {
        const bool isUnframed = this->isUnframed(attempt);
        const int from = std::atoi(request.headers.of("Last-Event-Id").c_str()) + 1;
        note("BEGIN " + attempt + (isUnframed ? " unframed" : " chunked") + " from "
             + std::to_string(from));
        const bool isLeaving =
                !options.leaving.empty() && access(options.leaving.c_str(), F_OK) == 0;
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: "
                + attempt + "\r\nX-Server-Seal: s." + std::to_string(options.events) + "\r\n";
        if (isLeaving)
            head += "Server-Leaving: 1\r\n";
        head += isUnframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        bool isOpen = sendAll(fd, head);
        for (int i = from; isOpen && i <= options.events; ++i) {
            sleepMs(options.gapMs);
            const std::string event = eventText(attempt, i);
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            isOpen = sendAll(fd, isUnframed ? event : size + event + "\r\n");
            note("EVENT " + attempt + " " + std::to_string(i));
        }
        if (isOpen && !isUnframed)
            isOpen = sendAll(fd, "0\r\n\r\n");
        note((isOpen ? "END " : "GONE ") + attempt);
        return isOpen && !isUnframed;
    }

    const runner_options options;
    std::mutex guard;
    std::ofstream log;
    std::atomic<int> answers{0};
};

/// Runs the process as a runner if its arguments say so.
inline void runIfRunner(int argc, char **argv)
{
    if (argc < 2 || std::string(argv[1]) != "runner")
        return;
    runner_options options;
    for (int i = 2; i + 1 < argc; i += 2) {
        const std::string key = argv[i];
        const std::string value = argv[i + 1];
        if (key == "--id")
            options.id = value;
        else if (key == "--at")
            options.at = {value.substr(0, value.find(':')),
                          std::atoi(value.substr(value.find(':') + 1).c_str())};
        else if (key == "--log")
            options.log = value;
        else if (key == "--events")
            options.events = std::atoi(value.c_str());
        else if (key == "--gap")
            options.gapMs = std::atoi(value.c_str());
        else if (key == "--forks")
            options.forks = value == "yes";
        else if (key == "--leaving")
            options.leaving = value;
        else if (key == "--plain")
            options.plainMs = std::atoi(value.c_str());
        else if (key == "--unframed-every")
            options.unframedEvery = std::atoi(value.c_str());
    }
    signal(SIGPIPE, SIG_IGN);
    runner(options).run();
}

} // namespace standin
