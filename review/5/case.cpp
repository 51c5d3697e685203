// More requesters than usual send large requests, each over a channel that it keeps. Does a gateway
// stay within the memory that it has?
//
//   case5 RECORD   (in the repository's root)

#include "../standin/fleet.h"
#include "../standin/runner.h"

using namespace standin;

namespace {

constexpr int usualRequesters = 40; // 10 in each of four zones
constexpr double burst = 1.7;
constexpr int maxBodyBytes = 4'194'304; // that of the example manifest
constexpr int bodyBytes = 4'000'000;
constexpr int requestGapMs = 60; // one request at a time to each gateway
constexpr int roundMs = 9000; // a channel is idle for less than 0.8 of idleTimeoutMs
constexpr int idleTimeoutMs = 15000;
constexpr std::int64_t memoryBytes = std::int64_t{260} * 1024 * 1024;
constexpr int restartMs = 500;
constexpr int loadMs = 60'000;
constexpr int timeoutMs = 3000;

struct machine
{
    fleet::gateway gateway;
    std::atomic<bool> isOpen{true}; ///< Its directory entry leads requesters there.
    std::int64_t highestBytes = 0;
    int ends = 0;
    std::atomic<int> sent{0}, served{0}, lost{0}, refused{0};
};

std::int64_t residentBytes(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    std::int64_t all = 0, resident = 0;
    in >> all >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

/// Sends the first request of a process, a small one, over a channel of its own.
bool sendFirst(const fleet &all, const fleet::gateway &one)
{
    if (!all.waitUntilReady(one))
        return false;
    const reply got = ask(one.front(),
                          "GET /orders/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: first-"
                                  + std::to_string(nowMs()) + "\r\n\r\n",
                          timeoutMs);
    return got.status == 200;
}

/// One after the other, each requester sends a request over its channel, and keeps the channel.
void load(machine &one, int requesters, std::int64_t end, record_file &record)
{
    std::vector<int> channels(static_cast<std::size_t>(requesters), -1);
    std::vector<std::string> buffers(channels.size());
    const std::string body(bodyBytes, 'x');
    int number = 0;
    while (nowMs() < end) {
        const std::int64_t roundEnd = nowMs() + roundMs;
        for (std::size_t i = 0; i < channels.size() && nowMs() < end; ++i) {
            while (!one.isOpen && nowMs() < end)
                sleepMs(10);
            const std::int64_t next = nowMs() + requestGapMs;
            const std::string attempt = one.gateway.name + "-" + std::to_string(number++);
            int &fd = channels[i];
            if (fd < 0)
                fd = connectTo(one.gateway.front());
            reply got;
            ++one.sent;
            if (fd >= 0) {
                const bool isSent =
                        sendAll(fd,
                                "POST /orders/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: "
                                        + attempt + "\r\nX-Deadline-Ms: "
                                        + std::to_string(timeoutMs) + "\r\nContent-Length: "
                                        + std::to_string(body.size()) + "\r\n\r\n" + body);
                if (isSent)
                    got = readReply(fd, buffers[i], nowMs() + timeoutMs);
                if (got.end != reply::ending::Whole) {
                    close(fd);
                    fd = -1;
                    buffers[i].clear();
                }
            }
            const bool isServed = got.status == 200 && got.end == reply::ending::Whole;
            ++(isServed ? one.served : got.status == 503 ? one.refused : one.lost);
            if (!isServed)
                record.line("request " + attempt + " -> status=" + std::to_string(got.status)
                            + " end=" + nameOf(got.end));
            sleepMs(next - nowMs());
        }
        sleepMs(roundEnd - nowMs());
    }
    for (const int fd : channels)
        close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    runIfRunner(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    record_file record(argc > 1 ? argv[1] : "record.txt");
    fleet all(record);
    store platform(all.storeAddress);
    json manifest = configOf(7,
                             json::array({routeOf("orders", "desk.example", "/orders/", "desk",
                                                  "non_idempotent", timeoutMs, 1)}),
                             json::array({{{"name", "desk"}}}));
    manifest["limits"]["maxBodyBytes"] = maxBodyBytes;
    manifest["limits"]["idleTimeoutMs"] = idleTimeoutMs;
    platform.put("config", "main", manifest);
    for (int i = 0; i < 2; ++i) {
        const std::string id = "i-" + std::to_string(i);
        const address at{all.runnerHost(i), 8080};
        all.spawn(id,
                  {"/proc/self/exe", "runner", "--id", id, "--at", at.text(), "--log",
                   all.dir + "/" + id + ".run", "--plain", "15"});
        platform.put("servers", id, entryOf("desk", at, "colombo-a", 128, wallMs()));
    }
    machine machines[2];
    int index = 0;
    for (machine &one : machines) {
        const std::string zone = index++ == 0 ? "colombo-a" : "colombo-b";
        one.gateway = all.makeGateway("edge-" + zone + "-1", zone);
        all.start(one.gateway);
    }
    for (machine &one : machines) {
        if (!sendFirst(all, one.gateway))
            all.finish(2);
    }
    const int requesters =
            isTroubled() ? static_cast<int>(usualRequesters * burst) : usualRequesters;
    record.line("requesters of each machine: " + std::to_string(requesters) + ", memoryMb 260");
    const std::int64_t end = nowMs() + loadMs;
    std::vector<std::thread> threads;
    for (machine &one : machines)
        threads.emplace_back(
                [&one, requesters, end, &record] { load(one, requesters, end, record); });
    // The platform ends a process that exceeds its memory, and starts it again.
    while (nowMs() < end) {
        sleepMs(50);
        for (machine &one : machines) {
            const std::int64_t bytes = residentBytes(one.gateway.pid);
            one.highestBytes = std::max(one.highestBytes, bytes);
            const bool isOver = bytes > memoryBytes;
            const bool hasEnded = !isOver && all.hasEnded(one.gateway.pid);
            if (!isOver && !hasEnded)
                continue;
            ++one.ends;
            record.line(one.gateway.name
                        + (isOver ? " exceeds memoryMb with " : " ended by itself, had ")
                        + std::to_string(bytes / 1024) + " KB of resident memory after "
                        + std::to_string(one.sent) + " requests: ended, started again");
            one.isOpen = false;
            if (isOver)
                all.end(one.gateway.pid);
            sleepMs(restartMs);
            all.start(one.gateway);
            sendFirst(all, one.gateway);
            one.isOpen = true;
        }
    }
    for (std::thread &one : threads)
        one.join();
    bool isBroken = true;
    for (machine &one : machines) {
        record.line(one.gateway.name + ": sent=" + std::to_string(one.sent) + " served="
                    + std::to_string(one.served) + " refused=" + std::to_string(one.refused)
                    + " lost=" + std::to_string(one.lost)
                    + " highest_resident_kb=" + std::to_string(one.highestBytes / 1024)
                    + " ends=" + std::to_string(one.ends));
        isBroken = isBroken && one.ends >= 3;
    }
    all.finish(isBroken ? 1 : 0);
}
