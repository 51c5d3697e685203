#include "gateway/request_relay.h"

#include "gateway/envelope.h"

#include "fixture.h"
#include "poplarspool/gateway/limits.h"
#include "relay_world.h"
#include "scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::requestOf;
using test::script;
using test::script_end;
using test::scripted_runner;
using test::sealed;
using world = test::relay_world;

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
