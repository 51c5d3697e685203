#pragma once

// Processes of a small deployment: the project's gateways, started by the command of the deploy
// file, and stand-in runners. All are ended by their ids at the end.

#include "store.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

/// What was sent, answered and run, in record.txt of the case.
class record_file
{
public:
    explicit record_file(const std::string &path) : out(path), begin(nowMs()) { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(guard);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", static_cast<double>(nowMs() - begin) / 1000);
        out << at << text << std::endl;
    }

private:
    std::mutex guard;
    std::ofstream out;
    const std::int64_t begin;
};

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

class fleet
{
public:
    struct gateway
    {
        std::string name;
        std::string zone;
        std::string host;
        pid_t pid = -1;
        address front() const { return {host, 8149}; }
        address readiness() const { return {host, 8141}; }
        address directory() const { return {host, 8143}; }
    };

    explicit fleet(record_file &record) : record(record)
    {
        char folder[] = "/tmp/review-case-XXXXXX";
        dir = mkdtemp(folder);
        net = freeNet();
        storeAddress = {"127." + net + ".1", 8142};
    }

    /// Ends all processes and this one: threads of the stand-ins still run.
    [[noreturn]] void finish(int code)
    {
        const std::set<pid_t> all = pids;
        for (const pid_t pid : all) {
            kill(pid, SIGCONT);
            kill(pid, SIGKILL);
        }
        for (const pid_t pid : all)
            waitpid(pid, nullptr, 0);
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(dir);
        else
            record.line("kept " + dir);
        record.line("exit " + std::to_string(code));
        std::_Exit(code);
    }

    /// Starts a process with its output in a file of the temporary folder.
    pid_t spawn(const std::string &name, const std::vector<std::string> &command)
    {
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                std::_Exit(2);
            const int out =
                    open((dir + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            std::vector<char *> words;
            for (const std::string &one : command)
                words.push_back(const_cast<char *>(one.c_str()));
            words.push_back(nullptr);
            execv(words[0], words.data());
            std::_Exit(127);
        }
        pids.insert(pid);
        return pid;
    }

    void send(pid_t pid, int signal) const { kill(pid, signal); }

    /// Kills a process and waits for its end.
    void end(pid_t pid)
    {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pids.erase(pid);
    }

    bool hasEnded(pid_t pid)
    {
        if (waitpid(pid, nullptr, WNOHANG) != pid)
            return false;
        pids.erase(pid);
        return true;
    }

    gateway makeGateway(const std::string &name, const std::string &zone)
    {
        return {name, zone, "127." + net + "." + std::to_string(10 + gateways++), -1};
    }

    /// Starts a gateway with what the template of the deploy file becomes on lpra-recovery.
    void start(gateway &one)
    {
        const std::string path = dir + "/" + one.name + ".toml";
        std::ofstream(path) << settingsOf(one);
        one.pid = spawn(one.name, {"target/poplarspool", "gateway", "--settings", path});
    }

    std::string settingsOf(const gateway &one) const
    {
        std::string text;
        const auto add = [&text](const std::string &line) { text += line + "\n"; };
        add("instance = \"" + one.name + "\"");
        add("zone = \"" + one.zone + "\"");
        add("[caller]\naddress = \"" + one.front().text() + "\"");
        add("[readiness]\naddress = \"" + one.readiness().text() + "\"");
        add("[directory]\naddress = \"" + one.directory().text() + "\"\nkeep_seconds = 2");
        add("[peer]\naddress = \"" + one.host + ":7380\"\nload_address = \"" + one.host
            + ":7395\"\nshare_store_news = true");
        add("[metrics]\naddress = \"" + one.host + ":9464\"");
        add("[store]\naddress = \"" + storeAddress.text()
            + "\"\nsettle_ms = 3000\nrunners_ms = 2000\nroutes_ms = 2000");
        add("[retries]\nshare = 0.2\nextra = 52");
        add("[orders]\nlease_ms = 3000");
        add("[workspaces]");
        add("[duties]\nkinds = [" + dutyKinds + "]");
        if (!dutyKinds.empty())
            add("address = \"" + dutyAddress.text()
                + "\"\nusage_window_seconds = 5\nusage_late_seconds = 10");
        add("[leave]\nseconds = 8");
        return text;
    }

    bool isReady(const gateway &one) const
    {
        return ask(one.readiness(), "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1000).status
                == 200;
    }

    bool waitUntilReady(const gateway &one, std::int64_t timeMs = 15'000) const
    {
        const std::int64_t end = nowMs() + timeMs;
        while (nowMs() < end) {
            if (isReady(one))
                return true;
            sleepMs(50);
        }
        return false;
    }

    /// The front addresses that a gateway's directory gives.
    std::size_t listedBy(const gateway &one) const
    {
        const reply got = ask(one.directory(),
                              "GET /api/resolution?name=h&region=western&zone=" + one.zone
                                      + " HTTP/1.1\r\nHost: x\r\n\r\n",
                              1000);
        const json body = json::parse(got.body, nullptr, false);
        return got.status == 200 && body.is_object() ? body["addresses"].size() : 0;
    }

    std::string runnerHost(int index) const
    {
        return "127." + net + "." + std::to_string(100 + index);
    }

    std::string dir;
    address storeAddress;
    std::string dutyKinds;
    address dutyAddress;

private:
    /// A part of the loopback range of which nobody uses an address now.
    static std::string freeNet()
    {
        std::srand(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(wallMs()));
        while (true) {
            const std::string net = std::to_string(20 + std::rand() % 200) + "."
                    + std::to_string(std::rand() % 250);
            const int fd = listenOn({"127." + net + ".1", 8142});
            if (fd < 0)
                continue;
            close(fd);
            return net;
        }
    }

    record_file &record;
    std::string net;
    int gateways = 0;
    std::set<pid_t> pids;
};

inline json routeOf(const std::string &name, const std::string &host, const std::string &prefix,
                    const std::string &service, const std::string &kind, int timeoutMs,
                    int attempts)
{
    return {{"name", name},           {"host", host},  {"pathPrefix", prefix},
            {"service", service},     {"kind", kind},  {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 500}, {"priority", 1}, {"attempts", attempts}};
}

inline json configOf(std::uint64_t version, const json &routes, const json &services)
{
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutMs", 5000},
              {"idleTimeoutMs", 10000}}}};
}

inline json entryOf(const std::string &service, const address &at, const std::string &zone,
                    int slots, std::int64_t bornMs, int writes = 1)
{
    return {{"service", service}, {"address", at.text()}, {"zone", zone},
            {"version", 1},       {"slots", slots},       {"state", "in_service"},
            {"coldLeftMs", 0},    {"seq", writes},        {"born", bornMs}};
}

} // namespace standin
