#include "standin.h"

#include <optional>

/// Four model runners serve a streaming route that may be resumed. Two of them lose answers for
/// some seconds: the channel is closed after a few events, and the run goes on to its end. The
/// gateway is in touch and reaches all runners. No request may go on at another runner while the
/// one before still works on it 400 ms later.

using namespace standin;

namespace {

constexpr int eventCount = 30;
constexpr double eventSeconds = 0.05;
constexpr int eventsBeforeLoss = 6;
constexpr int runnerCount = 4;
/// The site file's largest dose of lost answers: a share of 0.6 of the runners, 0.4 of the requests
/// that they ran, 6 s.
constexpr int losingRunnerCount = 2;
constexpr int lostOneIn = 3;
constexpr double lossSeconds = 5.5;
constexpr int callerCount = 10;
constexpr double callSeconds = 8;
constexpr double allowedSeconds = 0.4;

struct run
{
    std::string runnerId;
    std::string request;
    int after = 0;
    double begun = 0;
    double ended = 0;
};

std::mutex runsGuard;
std::vector<run> runs;
std::map<std::string, int> freshRuns; ///< Of the runners that lose answers.
double lossEndsAt = 0; ///< 0: the disruption hasn't begun.
std::atomic<int> sent{0};
std::atomic<int> whole{0};

std::string eventText(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + " " + std::to_string(number)
            + "\n\n";
}

bool serve(runner &self, const message &request, connection &from)
{
    const std::string id = request.header("x-attempt-id");
    const int after = std::atoi(request.header("last-event-id").c_str());
    std::size_t place = 0;
    bool losesAnswer = false;
    {
        const std::lock_guard lock(runsGuard);
        place = runs.size();
        runs.push_back({self.id, id, after, now(), 0});
        const auto losing = freshRuns.find(self.id);
        losesAnswer = after == 0 && losing != freshRuns.end() && now() < lossEndsAt
                && ++losing->second % lostOneIn == 0;
    }
    {
        const std::lock_guard lock(self.guard);
        self.working.insert(id);
    }
    record::line("runner %s runs %s after event %d%s", self.id.c_str(), id.c_str(), after,
                 losesAnswer ? "; its answer will be lost" : "");
    header_list headers = self.baseHeaders(request);
    headers.emplace_back("X-Server-Seal", "seal." + id);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    from.send(headText("HTTP/1.1 200 OK", headers));
    for (int number = after + 1; number <= eventCount; ++number) {
        sleepFor(eventSeconds);
        if (losesAnswer && number == eventsBeforeLoss + 1) {
            from.close();
            record::line("runner %s: channel of %s closed, the run goes on", self.id.c_str(),
                         id.c_str());
        }
        if (from.isOpen() && !from.send(chunkText(eventText(id, number))))
            from.close();
    }
    if (from.isOpen())
        from.send("0\r\n\r\n");
    {
        const std::lock_guard lock(self.guard);
        self.working.erase(id);
    }
    const std::lock_guard lock(runsGuard);
    runs[place].ended = now();
    record::line("runner %s: run of %s ends", self.id.c_str(), id.c_str());
    return from.isOpen();
}

bool isWhole(const std::string &id, const std::string &body)
{
    std::string whole;
    for (int number = 1; number <= eventCount; ++number)
        whole += eventText(id, number);
    return body == whole;
}

void callUntil(double end, const std::string &host)
{
    while (now() < end) {
        const std::string id = randomHex();
        const auto caller = connection::to({host, 8149});
        message answer;
        ++sent;
        record::line("request %s sent", id.c_str());
        const bool isAnswered = caller
                && caller->send(requestText("POST", "/draft/1", id, 6000, {}, "prompt"))
                && readMessage(*caller, answer, 8);
        const bool wasWhole = isAnswered && isWhole(id, answer.body);
        whole += wasWhole ? 1 : 0;
        record::line("request %s answered %d, %s", id.c_str(), answer.status(),
                     wasWhole ? "whole" : "not whole");
    }
}

/// @returns The number of runs that went on elsewhere while the run before was still worked on.
int countBroken()
{
    int broken = 0;
    const std::lock_guard lock(runsGuard);
    for (const auto &later : runs) {
        for (const auto &earlier : runs) {
            const bool isSame = earlier.request == later.request && earlier.begun < later.begun
                    && earlier.runnerId != later.runnerId;
            if (!isSame || earlier.ended < later.begun + allowedSeconds)
                continue;
            ++broken;
            record::line("%s went on at %s at %.3f; %s worked on it until %.3f",
                         later.request.c_str(), later.runnerId.c_str(), later.begun,
                         earlier.runnerId.c_str(), earlier.ended);
        }
    }
    return broken;
}

} // namespace

int main(int count, char **arguments)
{
    case_run run(count, arguments);
    store platform;
    const std::string net = freeNet(1);
    gateway entry("gateway-0", net + "10", platform.addAccess("gateway-0"), run.folder);
    platform.put("config", "main",
                 manifestOf(3, json::array({routeOf("draft", "streaming", "llm", 6000, 2, true)}),
                            {"llm"}));
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        runners.push_back(std::make_unique<runner>(platform, "llm", serve));
        if (run.hasTrouble && i < losingRunnerCount)
            freshRuns[runners.back()->id] = 0;
        runners.back()->enter();
    }
    entry.start();
    if (!entry.waitUntilReady(10))
        run.finish(2, "the gateway isn't ready");
    // Longer than stableWindowMs: the machine is in touch.
    sleepFor(4);
    {
        const std::lock_guard lock(runsGuard);
        lossEndsAt = now() + lossSeconds;
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back(callUntil, now() + callSeconds, entry.host);
    for (std::thread &one : callers)
        one.join();
    sleepFor(3);
    const int broken = countBroken();
    if (whole == 0)
        run.finish(2, "no request was answered whole");
    run.finish(broken > 0 ? 1 : 0,
               std::to_string(broken) + " of " + std::to_string(sent)
                       + " requests went on at another runner while the one before still worked on "
                         "them 400 ms later; answered whole: "
                       + std::to_string(whole));
}
