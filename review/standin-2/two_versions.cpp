#include "standin.h"

/// A runner crashes and starts again at once under the id that it had, with another version of its
/// software. The store is down and can't take its new entry, so the gateways hold its streams for
/// those of the old version. The runner crashes once more, and its streams go on at runners of the
/// old version.

using namespace standin;

namespace {

constexpr int gatewayCount = 2;
constexpr int runnerCount = 4;
/// The site file has platform_down for 4.5 s, and srv_crash with a share of 0.25.
constexpr double storeDownSeconds = 4.5;
constexpr double beatSeconds = 1.2;
constexpr double runnerDownSeconds = 0.3;
constexpr double secondCrashAt = 4.3; ///< From the begin of the outage.
constexpr int callerCount = 24;
constexpr int eventCount = 24;
constexpr double eventSeconds = 0.04;
/// Issue 54: "More than two streams".
constexpr int allowedMixed = 2;

std::mutex guard;
std::map<const runner *, std::string> versionOf;
std::atomic<bool> isStoreDown{false};
std::atomic<bool> isOver{false};
int whole = 0;
int failed = 0;
int mixed = 0;

std::string versionAt(const runner &self)
{
    const std::lock_guard lock(guard);
    return versionOf[&self];
}

bool serve(runner &self, const message &request, connection &from)
{
    const std::string id = request.header("x-attempt-id");
    const std::string version = versionAt(self);
    const int after = std::atoi(request.header("last-event-id").c_str());
    if (after > 0)
        record::line("%s goes on after event %d at %s, version %s", id.c_str(), after,
                     self.id.c_str(), version.c_str());
    header_list headers = self.baseHeaders(request);
    headers.emplace_back("X-Server-Seal", "seal." + id);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    from.send(headText("HTTP/1.1 200 OK", headers));
    for (int number = after + 1; number <= eventCount; ++number) {
        sleepFor(eventSeconds);
        if (self.isDead) {
            from.reset();
            return false;
        }
        from.send(chunkText("id: " + std::to_string(number) + "\ndata: " + version + "\n\n"));
    }
    return from.send("0\r\n\r\n");
}

json entryOf(const runner &self, int born, int seq)
{
    json entry = self.entryOf("in_service", seq);
    entry["version"] = versionAt(self);
    entry["born"] = 1700000000000 + born;
    return entry;
}

void callUntilOver(const std::string &host)
{
    while (!isOver) {
        const std::string id = randomHex();
        const auto caller = connection::to({host, 8149});
        message answer;
        const bool isAnswered = caller
                && caller->send(requestText("POST", "/draft/1", id, 6000,
                                            {{"X-Token-Count", "100,40"}}, "prompt"))
                && readMessage(*caller, answer, 8);
        const bool hasOld = answer.body.find("data: 1.1") != std::string::npos;
        const bool hasNew = answer.body.find("data: 1.2") != std::string::npos;
        const std::lock_guard lock(guard);
        ++(isAnswered && answer.status() == 200 ? whole : failed);
        if (hasOld && hasNew) {
            ++mixed;
            record::line("%s: events of versions 1.2 and 1.1 in one stream, %s", id.c_str(),
                         isAnswered ? "complete" : "broken off");
        }
    }
}

} // namespace

int main(int count, char **arguments)
{
    case_run run(count, arguments);
    store platform;
    platform.onCall = [](const std::string &, const message &, connection &from) {
        if (!isStoreDown)
            return false;
        from.send(replyText(503, {}, "{}"));
        return true;
    };
    const std::string net = freeNet(gatewayCount);
    platform.put("config", "main",
                 manifestOf(3, json::array({routeOf("draft", "streaming", "llm", 6000, 2, true)}),
                            {"llm"}));
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        runners.push_back(std::make_unique<runner>(platform, "llm", serve));
        {
            const std::lock_guard lock(guard);
            versionOf[runners.back().get()] = "1.1";
        }
        platform.put("servers", runners.back()->id, entryOf(*runners.back(), 1, 1));
    }
    const address storeAt = platform.addAccess("platform");
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < gatewayCount; ++i) {
        const std::string name = "gateway-" + std::to_string(i);
        gateways.push_back(
                std::make_unique<gateway>(name, net + std::to_string(10 + i), storeAt, run.folder));
        gateways.back()->start();
    }
    for (const auto &one : gateways) {
        if (!one->waitUntilReady(10))
            run.finish(2, "a gateway isn't ready");
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back(callUntilOver, gateways[i % gatewayCount]->host);
    sleepFor(4);

    const double begin = now();
    isStoreDown = run.hasTrouble;
    record::line("the store %s", run.hasTrouble ? "is down" : "stays up");
    runner &first = *runners[0];
    first.crash();
    record::line("runner %s, version 1.1, crashes", first.id.c_str());
    sleepFor(runnerDownSeconds);
    runner again(platform, "llm", serve, first.id, first.port());
    {
        const std::lock_guard lock(guard);
        versionOf[&again] = "1.2";
    }
    record::line("runner %s starts again, version 1.2", again.id.c_str());
    // It writes every beatMs; while the store is down, the writes are refused.
    double nextBeat = now();
    int seq = 0;
    const auto beatUntil = [&](double end) {
        for (; nextBeat < end; nextBeat += beatSeconds) {
            sleepFor(std::max(0.0, nextBeat - now()));
            if (now() - begin > storeDownSeconds)
                isStoreDown = false;
            if (!isStoreDown) {
                platform.put("servers", again.id, entryOf(again, 1000, ++seq));
                record::line("the store takes the entry of %s, version 1.2", again.id.c_str());
            }
        }
        sleepFor(std::max(0.0, end - now()));
    };
    beatUntil(begin + secondCrashAt);
    again.crash();
    record::line("runner %s, version 1.2, crashes", again.id.c_str());
    sleepFor(std::max(0.0, begin + storeDownSeconds - now()));
    isStoreDown = false;
    platform.remove("servers", again.id);
    sleepFor(3);
    isOver = true;
    for (std::thread &one : callers)
        one.join();
    const std::lock_guard lock(guard);
    if (whole == 0)
        run.finish(2, "no stream was served");
    run.finish(mixed > allowedMixed ? 1 : 0,
               std::to_string(mixed) + " streams hold events of two software versions; whole: "
                       + std::to_string(whole) + ", failed: " + std::to_string(failed));
}
