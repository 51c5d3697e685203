#include "standin.h"

#include <algorithm>

/// The store loses answers for two seconds. A runner's write of its entry gets no answer and is
/// executed 6 s later, as the store's page allows. By then the runner has reported `draining`. The
/// late write puts the entry back to `in_service`, with a lower `seq` than it had, until the
/// runner's next write. No request may reach the runner later than drainMs after the store has
/// accepted `draining`, and none may be lost as the runner exits.

using namespace standin;

namespace {

constexpr int gatewayCount = 2;
constexpr int runnerCount = 4;
/// Bounds of the deployment.
constexpr double beatSeconds = 1.2;
constexpr double drainSeconds = 2;
constexpr double stableSeconds = 3;
/// The store's impairment: from its begin, of which the rest counts.
constexpr double impairmentSeconds = 2;
/// The site file has 1 to 6 s.
constexpr double lateSeconds = 6;
/// The last write before the end of the impairment.
constexpr double lateWriteAt = 1.9;
constexpr double drainingAt = impairmentSeconds + stableSeconds + 0.2;
/// After drainMs, the runner serves on for `linger_ms` of the site file's runners.
constexpr double lingerSeconds = 1.5;
constexpr int callerCount = 24;
constexpr double workSeconds = 0.1;
constexpr int timeLimitMs = 1500;

struct arrival
{
    std::string request;
    double at = 0;
    bool isAnswered = false;
};

std::mutex guard;
std::string leavingRunner;
std::vector<arrival> atLeaving;
bool hasExited = false;
double acknowledgedAt = 1e9;
std::atomic<bool> isOver{false};
std::map<std::string, int> statusOf; ///< Of the requests; -1: the channel was closed.

bool serve(runner &self, const message &request, connection &from)
{
    const std::string id = request.header("x-attempt-id");
    const bool isLeaving = self.id == leavingRunner;
    std::size_t place = 0;
    if (isLeaving) {
        const std::lock_guard lock(guard);
        if (hasExited) {
            from.reset();
            return false;
        }
        place = atLeaving.size();
        atLeaving.push_back({id, now(), false});
    }
    sleepFor(workSeconds);
    if (isLeaving) {
        const std::lock_guard lock(guard);
        if (hasExited) {
            from.reset();
            return false;
        }
        atLeaving[place].isAnswered = true;
    }
    header_list headers = self.baseHeaders(request);
    headers.emplace_back("X-Server-Seal", "seal." + id);
    return from.send(replyText(200, headers, "done " + id));
}

void callUntilOver(const std::vector<std::string> &hosts, int number)
{
    while (!isOver) {
        const std::string id = randomHex();
        const auto caller = connection::to({hosts[number % hosts.size()], 8149});
        message answer;
        const bool isAnswered = caller
                && caller->send(requestText("POST", "/booking/1", id, timeLimitMs, {}, "book"))
                && readMessage(*caller, answer, 4);
        {
            const std::lock_guard lock(guard);
            statusOf[id] = isAnswered ? answer.status() : -1;
        }
        sleepFor(0.02);
    }
}

/// The runner that leaves: writes its entry, one write of which is executed late, and exits.
void leave(store &platform, runner &self, double begin, bool hasTrouble)
{
    const auto write = [&](const std::string &state, int seq) {
        platform.put("servers", self.id, self.entryOf(state, seq));
    };
    int seq = 100;
    double nextBeat = begin + lateWriteAt;
    const auto beatUntil = [&](double end, const std::string &state) {
        while (nextBeat < end) {
            sleepFor(std::max(0.0, nextBeat - now()));
            write(state, ++seq);
            nextBeat += beatSeconds;
        }
        sleepFor(std::max(0.0, end - now()));
    };
    sleepFor(std::max(0.0, nextBeat - now()));
    const int lateSeq = ++seq;
    record::line("runner %s writes in_service, seq %d: no answer", self.id.c_str(), lateSeq);
    if (!hasTrouble)
        write("in_service", lateSeq);
    else
        std::thread([&, lateSeq] {
            sleepFor(lateSeconds);
            write("in_service", lateSeq);
            record::line("the store executes the write of seq %d", lateSeq);
        }).detach();
    nextBeat += beatSeconds;
    beatUntil(begin + drainingAt, "in_service");
    write("draining", ++seq);
    {
        const std::lock_guard lock(guard);
        acknowledgedAt = now();
    }
    record::line("the store accepts draining, seq %d", seq);
    nextBeat = now() + beatSeconds;
    beatUntil(acknowledgedAt + drainSeconds + lingerSeconds, "draining");
    const std::lock_guard lock(guard);
    hasExited = true;
    record::line("runner %s exits", self.id.c_str());
    platform.remove("servers", self.id);
}

} // namespace

int main(int count, char **arguments)
{
    case_run run(count, arguments);
    store platform;
    const std::string net = freeNet(gatewayCount);
    platform.put(
            "config", "main",
            manifestOf(3,
                       json::array({routeOf("booking", "non_idempotent", "desk", timeLimitMs, 1)}),
                       {"desk"}));
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        runners.push_back(std::make_unique<runner>(platform, "desk", serve));
        runners.back()->enter();
    }
    leavingRunner = runners[0]->id;
    const address storeAt = platform.addAccess("platform");
    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<std::string> hosts;
    for (int i = 0; i < gatewayCount; ++i) {
        const std::string name = "gateway-" + std::to_string(i);
        gateways.push_back(
                std::make_unique<gateway>(name, net + std::to_string(10 + i), storeAt, run.folder));
        gateways.back()->start();
        hosts.push_back(gateways.back()->host);
    }
    for (const auto &one : gateways) {
        if (!one->waitUntilReady(10))
            run.finish(2, "a gateway isn't ready");
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back(callUntilOver, hosts, i);
    sleepFor(3);
    const double begin = now();
    record::line("the store begins to lose answers, for %.1f s", impairmentSeconds);
    leave(platform, *runners[0], begin, run.hasTrouble);
    sleepFor(2);
    isOver = true;
    for (std::thread &one : callers)
        one.join();

    const std::lock_guard lock(guard);
    int late = 0;
    int lost = 0;
    std::map<int, int> answers;
    for (const auto &[id, status] : statusOf)
        ++answers[status];
    for (const arrival &one : atLeaving) {
        const double after = one.at - acknowledgedAt;
        if (after <= drainSeconds)
            continue;
        ++late;
        lost += one.isAnswered ? 0 : 1;
        record::line("%s reached the runner %.3f s after the ack, %s; its requester got %d",
                     one.request.c_str(), after,
                     one.isAnswered ? "answered" : "lost as the runner exited",
                     statusOf[one.request]);
    }
    for (const auto &[status, number] : answers)
        record::line("answers with %d: %d", status, number);
    if (answers[200] == 0)
        run.finish(2, "no request was answered");
    run.finish(late > 0 ? 1 : 0,
               std::to_string(late)
                       + " requests reached the runner over 2,000 ms after the ack of "
                         "its leaving; lost with it: "
                       + std::to_string(lost));
}
