#include "standin.h"

/// Runners send some answers without a length, which end with their channel. One in twenty of these
/// is broken off: the runner loses the process that serves the channel, whose socket its kernel
/// closes, and goes on to serve other channels. No part of a stream may reach its requester as
/// complete.

using namespace standin;

namespace {

constexpr int runnerCount = 4;
/// The site file's `garble`: a share of 0.6 of the runners, 0.05 of their answers, 5.5 s.
constexpr int faultyRunnerCount = 2;
constexpr int brokenOneIn = 20;
constexpr double faultSeconds = 5.5;
constexpr int rounds = 3;
constexpr int callerCount = 16;
constexpr int eventCount = 12;
constexpr int eventsBeforeEnd = 5;
constexpr double eventSeconds = 0.02;
constexpr int allowedWrong = 0;

std::mutex guard;
std::set<std::string> faulty;
std::map<std::string, int> answersOf; ///< Of the faulty runners, while answers are broken off.
double faultEndsAt = 0;
std::set<std::string> broken; ///< Requests whose answer was broken off.
std::atomic<bool> isOver{false};
int whole = 0;
int wrong = 0;
int visible = 0;

std::string eventText(const std::string &request, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + " " + std::to_string(number)
            + "\n\n";
}

bool serve(runner &self, const message &request, connection &from)
{
    const std::string id = request.header("x-attempt-id");
    const int after = std::atoi(request.header("last-event-id").c_str());
    bool isBroken = false;
    {
        const std::lock_guard lock(guard);
        isBroken = after == 0 && faulty.contains(self.id) && now() < faultEndsAt
                && ++answersOf[self.id] % brokenOneIn == 0;
        if (isBroken)
            broken.insert(id);
    }
    header_list headers = self.baseHeaders(request);
    headers.emplace_back("X-Server-Seal", "seal." + id);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Connection", "close");
    from.send(headText("HTTP/1.1 200 OK", headers));
    for (int number = after + 1; number <= eventCount; ++number) {
        sleepFor(eventSeconds);
        if (isBroken && number > eventsBeforeEnd) {
            record::line("runner %s breaks %s off after event %d", self.id.c_str(), id.c_str(),
                         number - 1);
            return false;
        }
        from.send(eventText(id, number));
    }
    return false;
}

void callUntilOver(const std::string &host)
{
    while (!isOver) {
        const std::string id = randomHex();
        const auto caller = connection::to({host, 8149});
        message answer;
        const bool isComplete = caller
                && caller->send(requestText("POST", "/draft/1", id, 3000, {}, "prompt"))
                && readMessage(*caller, answer, 5);
        std::string expected;
        for (int number = 1; number <= eventCount; ++number)
            expected += eventText(id, number);
        const std::lock_guard lock(guard);
        const bool isSuccess = isComplete && answer.status() == 200;
        if (isSuccess && answer.body == expected) {
            ++whole;
        } else if (isSuccess) {
            ++wrong;
            record::line("%s: 200 with %zu of %zu bytes, as complete", id.c_str(),
                         answer.body.size(), expected.size());
        } else {
            ++visible;
            record::line("%s: %s", id.c_str(),
                         isComplete ? answer.first.c_str() : "the answer is visibly broken off");
        }
    }
}

} // namespace

int main(int count, char **arguments)
{
    case_run run(count, arguments);
    store platform;
    const std::string net = freeNet(1);
    gateway entry("gateway-0", net + "10", platform.addAccess("gateway-0"), run.folder);
    platform.put("config", "main",
                 manifestOf(3, json::array({routeOf("draft", "streaming", "llm", 3000, 2, true)}),
                            {"llm"}));
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        runners.push_back(std::make_unique<runner>(platform, "llm", serve));
        if (i < faultyRunnerCount)
            faulty.insert(runners.back()->id);
        runners.back()->enter();
    }
    entry.start();
    if (!entry.waitUntilReady(10))
        run.finish(2, "the gateway isn't ready");
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back(callUntilOver, entry.host);
    for (int round = 0; round < rounds; ++round) {
        sleepFor(3);
        if (run.hasTrouble) {
            const std::lock_guard lock(guard);
            faultEndsAt = now() + faultSeconds;
            record::line("answers are broken off for %.1f s", faultSeconds);
        }
        sleepFor(faultSeconds);
    }
    sleepFor(1);
    isOver = true;
    for (std::thread &one : callers)
        one.join();
    const std::lock_guard lock(guard);
    if (whole == 0)
        run.finish(2, "no answer was whole");
    run.finish(wrong > allowedWrong ? 1 : 0,
               std::to_string(wrong) + " beginnings passed as complete streams, of "
                       + std::to_string(broken.size()) + " that were broken off; whole: "
                       + std::to_string(whole) + ", visibly failed: " + std::to_string(visible));
}
