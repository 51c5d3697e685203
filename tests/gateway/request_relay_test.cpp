#include "gateway/request_relay.h"

#include "gateway/envelope.h"

#include "fixture.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/route_index.h"
#include "scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <sys/socket.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::requestOf;
using test::script;
using test::script_end;
using test::scripted_runner;
using test::testDialect;

/// What a caller gets; its end of the connection is one of a pair of sockets.
struct caller_end : http_sink
{
    caller_end()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        ours = descriptor(ends[0]);
        theirs = descriptor(ends[1]);
    }

    bool begin(int givenStatus, const http_headers &, std::string_view) override
    {
        status = givenStatus;
        return true;
    }
    bool write(std::string_view piece) override
    {
        body += piece;
        return true;
    }
    void end() override { isWhole = true; }
    bool isGone() const override { return false; }
    int descriptorNumber() const override { return ours.get(); }

    descriptor ours;
    descriptor theirs;
    int status = 0;
    std::string body;
    bool isWhole = false;
};

struct world
{
    dialect names = testDialect();
    clock_source clock = systemClock();
    metrics_registry registry;
    journal events{{"test"}, clock, 64};
    catalogue_hub hub{catalogue{}};
    runner_ledger ledger{clock};
    retry_budgets retries{{1, 100}};
    connection_pool connections{4, 500ms, registry};
    relay_metrics metrics{registry};
    std::atomic<std::int64_t> leavesAt{INT64_MAX};
    std::set<endpoint> ended; ///< Where nobody listens any more.
    suspect_keeper suspects{
            {[this](const endpoint &at) { return ended.contains(at); }, {}, {}, {}, {}},
            {},
            {"test"},
            clock,
            registry,
            events};
    const relay_parts parts{names,  hub,   ledger, retries,  connections, metrics,
                            events, clock, {"z"},  leavesAt, suspects,    7};
    caller_end caller;

    /// Routes: /once/ may not be repeated, /again/ may, /stream/ may be resumed.
    explicit world(const std::vector<const scripted_runner *> &runners)
    {
        catalogue known;
        route_table table;
        table.version = 1;
        for (const char *kind : {"once", "again", "stream"}) {
            route made;
            made.name = kind;
            made.host = "h";
            made.pathPrefix = "/" + made.name + "/";
            made.isStream = made.isResumable = made.name == "stream";
            made.repeats = made.name == "once" ? repeat_rule::AtMostOnce : repeat_rule::Idempotent;
            made.timeLimit = 10s;
            made.objective = 1s;
            made.maxRunners = 2;
            made.services = {{{"s"}, 1}};
            table.routes.push_back(made);
        }
        table.services = {{{"s"}, std::nullopt}};
        known.table = std::make_shared<const route_table>(table);
        known.index = std::make_shared<const route_index>(indexOf(table));
        for (std::size_t i = 0; i < runners.size(); ++i) {
            runner made;
            made.id.text = "r" + std::to_string(i);
            made.service.text = "s";
            made.address = runners[i]->address();
            known.runners[made.id] = std::make_shared<const runner>(made);
        }
        known.areRunnersKnown = true;
        known.tableConfirmedAt = clock.mono();
        hub.update([&known](catalogue &next) {
            next = known;
            return true;
        });
    }

    /// Runners have ended under attempts of the same request.
    void noteEnds(const std::string &path, int count)
    {
        const endpoint gone{"127.0.0.1", 9};
        ended.insert(gone);
        const http_request request = requestOf("GET", path, {{"Host", "h"}});
        for (int i = 0; i < count; ++i) {
            runner life;
            life.id.text = "gone-" + std::to_string(i);
            life.address = gone;
            suspects.noteBroken(digestOf(request, parts.digestSeed), life);
        }
    }

    /// From now on callers need the key "good" of the workspace "space".
    void needKeys(const std::function<void(route_table &)> &edit = {})
    {
        route_table table = *hub.current()->table;
        table.needsKeys = true;
        table.workspaces = {{{"space"}, {digest128Of("good")}, 0}};
        if (edit)
            edit(table);
        hub.update([&table](catalogue &next) {
            next.table = std::make_shared<const route_table>(table);
            next.index = std::make_shared<const route_index>(indexOf(table));
            return true;
        });
    }

    std::optional<http_reply> ask(const std::string &path, const std::string &limit = "5000",
                                  const http_headers &more = {})
    {
        http_headers headers{{"Host", "h"}, {"Id", "q1"}, {"Limit", limit}};
        headers.insert(headers.end(), more.begin(), more.end());
        const http_request request = requestOf("GET", path, headers);
        return request_relay(parts, request, caller).run();
    }
};

std::string sealed(const std::string &status, const std::string &body, const std::string &id = "q1")
{
    return "HTTP/1.1 " + status + "\r\nId: " + id
            + "\r\nSeal: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string refusalText = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string streamHead =
        "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\nContent-Type: text/event-stream\r\n\r\n";

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
}

} // namespace

class request_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_relay_test);
    CPPUNIT_TEST(answersPassUnchanged);
    CPPUNIT_TEST(whatMayHaveRunIsNotSentAgain);
    CPPUNIT_TEST(whatTrulyHasNotRunIsSentAgain);
    CPPUNIT_TEST(aRefusalByAllIsTrueAndSaysWhenToComeBack);
    CPPUNIT_TEST(unreachableRunnersCostNoRetry);
    CPPUNIT_TEST(repeatableRequestsGoOnElsewhere);
    CPPUNIT_TEST(aCutAnswerIsNeverPassedAsWhole);
    CPPUNIT_TEST(anUnframedAnswerIsWholeOnlyAtAnOrderlyEnd);
    CPPUNIT_TEST(answersToOthersAreSkipped);
    CPPUNIT_TEST(unsealedSuccessIsNoAnswer);
    CPPUNIT_TEST(streamsResumeAfterTheLastWholeEvent);
    CPPUNIT_TEST(aStreamThatCantGoOnNeverLooksWhole);
    CPPUNIT_TEST(runnersAreLeftWhenTheCallerLeaves);
    CPPUNIT_TEST(nothingIsSentForACallerThatLeft);
    CPPUNIT_TEST(unknownRoutesAreDeniedOnlyWhenRoutesAreFresh);
    CPPUNIT_TEST(withoutConfigurationNothingIsDenied);
    CPPUNIT_TEST(runnersAreToldTheWorkspaceInPlaceOfTheKey);
    CPPUNIT_TEST(whoShowsNoKeyIsRefusedForGood);
    CPPUNIT_TEST(unknownKeysAreDeniedOnlyWhenKeysAreFresh);
    CPPUNIT_TEST(anonymousRoutesNeedNoKey);
    CPPUNIT_TEST(aRequestThatEndsRunnersIsRefusedAtOnce);
    CPPUNIT_TEST(afterTwoEndsAnAttemptGoesNowhereElse);
    CPPUNIT_TEST(endsOfLeavingRunnersCountNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersPassUnchanged()
    {
        scripted_runner runner({{sealed("404 Gone Fishing", "body")}});
        world test({&runner});
        const auto reply = test.ask("/once/1");
        CPPUNIT_ASSERT_EQUAL(404, reply->status);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), reply->body);
        CPPUNIT_ASSERT_EQUAL(std::string_view("x"), headerOf(reply->headers, "seal"));
        CPPUNIT_ASSERT(runner.requests()[0].find("Runner: r0\r\n") != std::string::npos);
    }

    /// The runner takes a request that may not be repeated and resets the connection. It may have
    /// run, so that a second runner must not get it, and 503 would be a lie.
    void whatMayHaveRunIsNotSentAgain()
    {
        scripted_runner first({{"", script_end::Reset}});
        scripted_runner second({{"", script_end::Reset}});
        world test({&first, &second});
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.requests().size() + second.requests().size());
    }

    void whatTrulyHasNotRunIsSentAgain()
    {
        scripted_runner first({{refusalText}, {sealed("200 OK", "a")}});
        scripted_runner second({{refusalText}, {sealed("200 OK", "a")}});
        world test({&first, &second});
        // Whichever is asked first refuses; the other one refuses as well, and both were tried.
        CPPUNIT_ASSERT_EQUAL(503, test.ask("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(200, test.ask("/once/1")->status);
    }

    void aRefusalByAllIsTrueAndSaysWhenToComeBack()
    {
        scripted_runner runner({{refusalText}});
        world test({&runner});
        const auto reply = test.ask("/once/1");
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(!headerOf(reply->headers, "Retry-After").empty());
        CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
    }

    /// Some runners have crashed and refuse connections. A caller whose request met one of them got
    /// 503, because going on to the next counted as a retry and the budget was used up; but nobody
    /// had seen a byte of the request.
    void unreachableRunnersCostNoRetry()
    {
        scripted_runner alive({{sealed("200 OK", "a")}});
        std::vector<std::unique_ptr<scripted_runner>> gone;
        std::vector<const scripted_runner *> all{&alive};
        for (int i = 0; i < 4; ++i) {
            gone.push_back(std::make_unique<scripted_runner>(std::vector<script>{}));
            all.push_back(gone.back().get());
        }
        world test(all);
        gone.clear();
        while (test.retries.tryTake({"s"})) { }
        CPPUNIT_ASSERT_EQUAL(200, test.ask("/once/1")->status);
    }

    void repeatableRequestsGoOnElsewhere()
    {
        const std::vector<script> scripts{{"", script_end::Reset}, {sealed("200 OK", "a")}};
        scripted_runner first(scripts);
        scripted_runner second(scripts);
        world test({&first, &second});
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/again/1")->status); // Both have failed.
        CPPUNIT_ASSERT_EQUAL(200, test.ask("/again/1")->status);
    }

    /// The runner announces ten bytes, sends four, and closes. Passed on as they came, the caller
    /// would have to find out by itself that its answer is cut.
    void aCutAnswerIsNeverPassedAsWhole()
    {
        scripted_runner runner(
                {{"HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\nContent-Length: 10\r\n\r\nabcd"}});
        world test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/once/1")->status);
    }

    void anUnframedAnswerIsWholeOnlyAtAnOrderlyEnd()
    {
        const std::string text = "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\n\r\nabcd";
        scripted_runner good({{text, script_end::Close}});
        world test({&good});
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), test.ask("/once/1")->body);
        scripted_runner bad({{text, script_end::Reset}});
        world other({&bad});
        CPPUNIT_ASSERT_EQUAL(502, other.ask("/once/1")->status);
    }

    /// A runner sends a second answer to an earlier request, and it lies where this one's answer is
    /// expected. Its id tells; passed on, the caller would get another caller's answer.
    void answersToOthersAreSkipped()
    {
        scripted_runner runner({{sealed("200 OK", "other", "q0") + sealed("200 OK", "mine")}});
        world test({&runner});
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), test.ask("/once/1")->body);
    }

    void unsealedSuccessIsNoAnswer()
    {
        scripted_runner runner({{"HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nok"}});
        world test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/once/1")->status);
    }

    /// A stream breaks off in the middle of its third event. It goes on at another runner after the
    /// second one, within the same answer, without a gap, a repeat or a half event.
    void streamsResumeAfterTheLastWholeEvent()
    {
        const std::vector<script> scripts{
                {streamHead + eventText(1) + eventText(2) + "id: 3\nda", script_end::Reset},
                {streamHead + eventText(3) + eventText(4), script_end::Close}};
        // The runner that breaks off is excluded for this request; either may be asked first.
        scripted_runner first(scripts);
        scripted_runner second({{streamHead + eventText(2) + eventText(3) + eventText(4)},
                                {streamHead + eventText(2) + eventText(3) + eventText(4)}});
        world test({&first, &second});
        // Sends go by a draw of the request's id, so that the first runner is forced here.
        test.ledger.candidatesOf(*test.hub.current(), {"s"}, nullptr, {}, {});
        {
            runner_ledger::open_send busy(test.ledger, {"r1"}, 0, send_class::Urgent);
            test.ask("/stream/1");
        }
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2) + eventText(3) + eventText(4),
                             test.caller.body);
        CPPUNIT_ASSERT(test.caller.isWhole);
        CPPUNIT_ASSERT(second.requests().at(0).find("Last: 2\r\n") != std::string::npos);
    }

    void aStreamThatCantGoOnNeverLooksWhole()
    {
        scripted_runner only({{streamHead + eventText(1), script_end::Reset}});
        world test({&only});
        CPPUNIT_ASSERT(!test.ask("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(eventText(1), test.caller.body);
        CPPUNIT_ASSERT(!test.caller.isWhole);
    }

    /// The caller closes while an engine still reads its prompt and sends nothing. Noticed only at
    /// the first byte, the engine would have worked for nobody.
    void runnersAreLeftWhenTheCallerLeaves()
    {
        scripted_runner runner({{"", script_end::Stay}});
        world test({&runner});
        std::thread leaver([&] {
            while (runner.requests().empty())
                std::this_thread::yield();
            test.caller.theirs.reset();
        });
        const auto reply = test.ask("/stream/1", "60000");
        leaver.join();
        CPPUNIT_ASSERT(!reply);
        while (!runner.wasLeft())
            std::this_thread::yield();
    }

    void nothingIsSentForACallerThatLeft()
    {
        scripted_runner runner({{sealed("200 OK", "a")}});
        world test({&runner});
        test.caller.theirs.reset();
        CPPUNIT_ASSERT(!test.ask("/again/1"));
        CPPUNIT_ASSERT(runner.requests().empty());
    }

    /// The store has been out of reach for a while, and operators have added a route meanwhile. A
    /// 404 would send its callers away for good.
    void unknownRoutesAreDeniedOnlyWhenRoutesAreFresh()
    {
        world test({});
        CPPUNIT_ASSERT_EQUAL(404, test.ask("/new/1")->status);
        test.hub.update([&](catalogue &next) {
            next.tableConfirmedAt = test.clock.mono() - config::routesTrustTime - 1ms;
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(503, test.ask("/new/1")->status);
    }

    void runnersAreToldTheWorkspaceInPlaceOfTheKey()
    {
        scripted_runner runner({{sealed("200 OK", "body")}});
        world test({&runner});
        test.needKeys();
        const auto reply =
                test.ask("/again/1", "5000", {{"Key", "Sign good"}, {"Space", "another"}});
        CPPUNIT_ASSERT_EQUAL(200, reply->status);
        const std::string seen = runner.requests()[0];
        CPPUNIT_ASSERT(seen.find("Space: space\r\n") != std::string::npos);
        CPPUNIT_ASSERT(seen.find("another") == std::string::npos);
        CPPUNIT_ASSERT(seen.find("good") == std::string::npos);
    }

    void whoShowsNoKeyIsRefusedForGood()
    {
        scripted_runner runner({});
        world test({&runner});
        test.needKeys();
        for (const http_headers &shown :
             {http_headers{}, http_headers{{"Key", "Sign bad"}}, http_headers{{"Key", "good"}},
              http_headers{{"Key", "Sign good"}, {"Key", "Sign good"}}}) {
            const auto reply = test.ask("/once/1", "5000", shown);
            CPPUNIT_ASSERT_EQUAL(401, reply->status);
            CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(404, test.ask("/none/1")->status);
        CPPUNIT_ASSERT(runner.requests().empty());
    }

    /// An instance that is cut off doesn't know of a new key: its holder must be able to come back.
    void unknownKeysAreDeniedOnlyWhenKeysAreFresh()
    {
        world test({});
        test.needKeys();
        test.hub.update([&test](catalogue &next) {
            next.tableConfirmedAt = test.clock.mono() - config::routesTrustTime - 1s;
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(503, test.ask("/once/1", "5000", {{"Key", "Sign new"}})->status);
        test.hub.update([&test](catalogue &next) {
            next.tableConfirmedAt = test.clock.mono();
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(401, test.ask("/once/1", "5000", {{"Key", "Sign new"}})->status);
        test.needKeys([](route_table &table) { table.hasUnreadKeys = true; });
        CPPUNIT_ASSERT_EQUAL(503, test.ask("/once/1", "5000", {{"Key", "Sign new"}})->status);
    }

    void anonymousRoutesNeedNoKey()
    {
        scripted_runner runner({{sealed("200 OK", "body")}, {sealed("200 OK", "body")}});
        world test({&runner});
        test.needKeys([](route_table &table) { table.routes[1].isAnonymous = true; });
        CPPUNIT_ASSERT_EQUAL(200, test.ask("/again/1")->status);
        CPPUNIT_ASSERT(runner.requests()[0].find("Space:") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200, test.ask("/again/2", "5000", {{"Key", "Sign unknown"}})->status);
        CPPUNIT_ASSERT(runner.requests()[1].find("unknown") == std::string::npos);
    }

    void withoutConfigurationNothingIsDenied()
    {
        world test({});
        test.hub.update([](catalogue &next) {
            next = catalogue{};
            return true;
        });
        const auto reply = test.ask("/once/1");
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(!headerOf(reply->headers, "Retry-After").empty());
    }

    /// Its caller is told at once, truly, and when to come back; others are served.
    void aRequestThatEndsRunnersIsRefusedAtOnce()
    {
        scripted_runner runner({{sealed("200 OK", "a")}});
        world test({&runner});
        test.noteEnds("/again/1", 3);
        const auto reply = test.ask("/again/1");
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
        CPPUNIT_ASSERT(std::stod(std::string(headerOf(reply->headers, "Retry-After"))) > 60);
        CPPUNIT_ASSERT(runner.requests().empty());
        CPPUNIT_ASSERT_EQUAL(200, test.ask("/again/2")->status);
    }

    /// A request went on at once from one runner that it had ended to the next.
    void afterTwoEndsAnAttemptGoesNowhereElse()
    {
        const std::vector<script> resets(2, {"", script_end::Reset});
        scripted_runner first(resets);
        scripted_runner second(resets);
        world test({&first, &second});
        test.ended = {first.address(), second.address()};
        const auto reached = [&] { return first.requests().size() + second.requests().size(); };
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/again/2")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reached());
        test.noteEnds("/again/1", 1);
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/again/1")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reached());
    }

    void endsOfLeavingRunnersCountNothing()
    {
        std::function<void()> beginsToLeave;
        scripted_runner leaving({{"", script_end::Reset}}, [&] { beginsToLeave(); });
        world test({&leaving});
        test.ended = {leaving.address()};
        beginsToLeave = [&test] {
            test.hub.update([](catalogue &next) {
                runner changed = *next.runners.begin()->second;
                changed.isDraining = true;
                next.runners.begin()->second = std::make_shared<const runner>(changed);
                return true;
            });
        };
        CPPUNIT_ASSERT_EQUAL(502, test.ask("/again/1")->status);
        const http_request request = requestOf("GET", "/again/1", {{"Host", "h"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             test.suspects.countLives(digestOf(request, test.parts.digestSeed)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_relay_test);

} // namespace poplarspool::gateway
