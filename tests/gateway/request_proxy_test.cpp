#include "gateway/request_proxy.h"

#include "gateway/envelope.h"

#include "catalogue_fixture.h"
#include "fixture.h"
#include "poplarspool/gateway/limits.h"
#include "proxy_fixture.h"
#include "scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::chunkedStream;
using test::requestOf;
using test::script;
using test::script_end;
using test::scripted_runner;
using test::sealed;
using test::streamHead;
using fixture = test::proxy_fixture;

const std::string refusalText = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
}

} // namespace

class request_proxy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_proxy_test);
    CPPUNIT_TEST(answerIsForwardedUnchanged);
    CPPUNIT_TEST(requestThatMayHaveRunIsNotRetried);
    CPPUNIT_TEST(requestThatHasNotRunIsRetried);
    CPPUNIT_TEST(refusalByAllRunnersHasRetryAfter);
    CPPUNIT_TEST(requestBeyondTheRateLimitsIsRefusedAtOnce);
    CPPUNIT_TEST(unreachableRunnersDoNotUseRetryBudget);
    CPPUNIT_TEST(idempotentRequestIsRetriedElsewhere);
    CPPUNIT_TEST(truncatedAnswerIsNotForwarded);
    CPPUNIT_TEST(answerWithoutLengthNeedsOrderlyClose);
    CPPUNIT_TEST(answersToOtherRequestsAreSkipped);
    CPPUNIT_TEST(answerWithoutSealIsRejected);
    CPPUNIT_TEST(streamResumesAfterLastCompleteEvent);
    CPPUNIT_TEST(unresumableStreamIsNotEndedNormally);
    CPPUNIT_TEST(streamWithAnEventWithoutEndGoesOnElsewhere);
    CPPUNIT_TEST(headWithoutEndIsRetriedElsewhere);
    CPPUNIT_TEST(callerDisconnectAbortsRunnerCall);
    CPPUNIT_TEST(requestOfDisconnectedCallerIsNotSent);
    CPPUNIT_TEST(unknownRouteIsDeniedOnlyIfRoutesAreFresh);
    CPPUNIT_TEST(requestsAreNotDeniedWithoutConfiguration);
    CPPUNIT_TEST(quarantinedRequestIsRefusedAtOnce);
    CPPUNIT_TEST(requestIsNotRetriedAfterTwoEndedRunners);
    CPPUNIT_TEST(endsOfLeavingRunnersAreNotRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerIsForwardedUnchanged()
    {
        scripted_runner runner({{sealed("404 Gone Fishing", "body")}});
        fixture test({&runner});
        const auto reply = test.sendRequest("/once/1");
        CPPUNIT_ASSERT_EQUAL(404, reply->status);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), reply->body);
        CPPUNIT_ASSERT_EQUAL(std::string_view("x"), headerOf(reply->headers, "seal"));
        CPPUNIT_ASSERT(runner.requests()[0].find("Runner: r0\r\n") != std::string::npos);
    }

    /// The runner accepts a request that may not be repeated and resets the connection. The
    /// request may have run, so it must not be sent to a second runner, and the status must not be
    /// 503.
    void requestThatMayHaveRunIsNotRetried()
    {
        scripted_runner first({{"", script_end::Reset}});
        scripted_runner second({{"", script_end::Reset}});
        fixture test({&first, &second});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.requests().size() + second.requests().size());
    }

    void requestThatHasNotRunIsRetried()
    {
        scripted_runner first({{refusalText}, {sealed("200 OK", "a")}});
        scripted_runner second({{refusalText}, {sealed("200 OK", "a")}});
        fixture test({&first, &second});
        // The runner that is tried first refuses, then the other one: no runner is left.
        CPPUNIT_ASSERT_EQUAL(503, test.sendRequest("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/once/1")->status);
    }

    /// Guards against requests that wait at a gateway, or go on to the runner, though its rate
    /// limit is used up: the caller learns at once when to come back.
    void requestBeyondTheRateLimitsIsRefusedAtOnce()
    {
        const std::string limited =
                "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\nRate: 0.5\r\nContent-Length: 1\r\n\r\na";
        scripted_runner runner({{limited}, {limited}});
        fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/again/1")->status);
        const auto refused = test.sendRequest("/again/2");
        CPPUNIT_ASSERT_EQUAL(503, refused->status);
        CPPUNIT_ASSERT(!headerOf(refused->headers, "Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::string("rate_limit"), test.lastFieldOf("request_end", "fault"));
    }

    void refusalByAllRunnersHasRetryAfter()
    {
        scripted_runner runner({{refusalText}});
        fixture test({&runner});
        const auto reply = test.sendRequest("/once/1");
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(!headerOf(reply->headers, "Retry-After").empty());
        CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
    }

    /// Some runners have crashed and refuse connections. Going on to the next runner must not
    /// count as a retry: with the budget used up, callers would get 503 although no runner had
    /// received a byte of the request.
    void unreachableRunnersDoNotUseRetryBudget()
    {
        scripted_runner alive({{sealed("200 OK", "a")}});
        std::vector<std::unique_ptr<scripted_runner>> gone;
        std::vector<const scripted_runner *> all{&alive};
        for (int i = 0; i < 4; ++i) {
            gone.push_back(std::make_unique<scripted_runner>(std::vector<script>{}));
            all.push_back(gone.back().get());
        }
        fixture test(all);
        gone.clear();
        while (test.retries.tryTake({"s"})) { }
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/once/1")->status);
    }

    void idempotentRequestIsRetriedElsewhere()
    {
        const std::vector<script> scripts{{"", script_end::Reset}, {sealed("200 OK", "a")}};
        scripted_runner first(scripts);
        scripted_runner second(scripts);
        fixture test({&first, &second});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/again/1")->status); // Both have failed.
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/again/1")->status);
    }

    /// The runner announces ten bytes, sends four, and closes. If they were passed on, the caller
    /// would have to detect the truncated answer itself.
    void truncatedAnswerIsNotForwarded()
    {
        scripted_runner runner(
                {{"HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\nContent-Length: 10\r\n\r\nabcd"}});
        fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
    }

    void answerWithoutLengthNeedsOrderlyClose()
    {
        const std::string text = "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\n\r\nabcd";
        scripted_runner good({{text, script_end::Close, 100ms}});
        fixture test({&good});
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), test.sendRequest("/once/1")->body);
        scripted_runner bad({{text, script_end::Reset, 100ms}});
        fixture other({&bad});
        CPPUNIT_ASSERT_EQUAL(502, other.sendRequest("/once/1")->status);
    }

    /// A runner sends a second answer to an earlier request where this request's answer is
    /// expected. It must be recognized by its request id: passed on, the caller would get another
    /// caller's answer.
    void answersToOtherRequestsAreSkipped()
    {
        scripted_runner runner({{sealed("200 OK", "other", "q0") + sealed("200 OK", "mine")}});
        fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), test.sendRequest("/once/1")->body);
    }

    void answerWithoutSealIsRejected()
    {
        scripted_runner runner({{"HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nok"}});
        fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
    }

    /// A stream breaks off in the middle of its third event. It must resume on another runner
    /// after the second event, within the same answer, without a gap, a repeated or a partial
    /// event.
    void streamResumesAfterLastCompleteEvent()
    {
        const std::vector<script> scripts{
                {streamHead + eventText(1) + eventText(2) + "id: 3\nda", script_end::Reset},
                {chunkedStream(eventText(3) + eventText(4)), script_end::Close}};
        // The runner that breaks off is excluded for this request; either may be tried first.
        scripted_runner first(scripts);
        const script rest{chunkedStream(eventText(2) + eventText(3) + eventText(4))};
        scripted_runner second({rest, rest});
        fixture test({&first, &second});
        // Placement depends on the request's id; the load on the second runner makes it choose the
        // first one.
        test.runnerTable.candidatesOf(*test.publisher.current(), {.service = {"s"}});
        {
            runner_table::open_send busy(test.runnerTable, {"r1"}, 0, send_class::Urgent);
            test.sendRequest("/stream/1");
        }
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2) + eventText(3) + eventText(4),
                             test.caller.body);
        CPPUNIT_ASSERT(test.caller.isWhole);
        CPPUNIT_ASSERT(second.requests().at(0).find("Last: 2\r\n") != std::string::npos);
    }

    void unresumableStreamIsNotEndedNormally()
    {
        scripted_runner only({{streamHead + eventText(1), script_end::Reset}});
        fixture test({&only});
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(eventText(1), test.caller.body);
        CPPUNIT_ASSERT(!test.caller.isWhole);
    }

    /// Guards against a stream that lasts to its time limit, and memory that grows for as long,
    /// under a runner that sends an event without end.
    void streamWithAnEventWithoutEndGoesOnElsewhere()
    {
        expectAnswerOfTheSecond({streamHead + eventText(1) + "id: 2\ndata: ", script_end::Endless},
                                chunkedStream(eventText(2)), "/stream/1");
    }

    void headWithoutEndIsRetriedElsewhere()
    {
        expectAnswerOfTheSecond({"HTTP/1.1 200 OK\r\nPadding: ", script_end::Endless},
                                chunkedStream(eventText(1) + eventText(2)), "/stream/1");
    }

    /// The caller closes while an engine prefills its prompt and sends nothing yet. If this were
    /// detected only at the first byte, the engine would work on an unwanted answer.
    void callerDisconnectAbortsRunnerCall()
    {
        scripted_runner runner({{"", script_end::Stay}});
        fixture test({&runner});
        std::thread leaver([&] {
            while (runner.requests().empty())
                std::this_thread::yield();
            test.caller.theirs.reset();
        });
        const auto reply = test.sendRequest("/stream/1", "60000");
        leaver.join();
        CPPUNIT_ASSERT(!reply);
        while (!runner.wasDisconnected())
            std::this_thread::yield();
    }

    void requestOfDisconnectedCallerIsNotSent()
    {
        scripted_runner runner({{sealed("200 OK", "a")}});
        fixture test({&runner});
        test.caller.theirs.reset();
        CPPUNIT_ASSERT(!test.sendRequest("/again/1"));
        CPPUNIT_ASSERT(runner.requests().empty());
    }

    /// The store is unreachable, and operators have added a route in the meantime. A 404 would
    /// turn its callers away for good.
    void unknownRouteIsDeniedOnlyIfRoutesAreFresh()
    {
        fixture test({});
        CPPUNIT_ASSERT_EQUAL(404, test.sendRequest("/new/1")->status);
        test.publisher.update([&](catalogue &next) {
            next.tableConfirmedAt = test.clock.mono() - test.context.routesProofTime - 1ms;
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(503, test.sendRequest("/new/1")->status);
    }

    void requestsAreNotDeniedWithoutConfiguration()
    {
        fixture test({});
        test.publisher.update([](catalogue &next) {
            next = catalogue{};
            return true;
        });
        const auto reply = test.sendRequest("/once/1");
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(!headerOf(reply->headers, "Retry-After").empty());
    }

    /// The caller must get a refusal with a Retry-After at once; other requests are served.
    void quarantinedRequestIsRefusedAtOnce()
    {
        scripted_runner runner({{sealed("200 OK", "a")}});
        fixture test({&runner});
        test.recordEnds("/again/1", 3);
        const auto reply = test.sendRequest("/again/1");
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
        CPPUNIT_ASSERT(std::stod(std::string(headerOf(reply->headers, "Retry-After"))) > 60);
        CPPUNIT_ASSERT(runner.requests().empty());
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/again/2")->status);
    }

    /// Guards against a request that ends one runner after another because it is retried at once.
    void requestIsNotRetriedAfterTwoEndedRunners()
    {
        const std::vector<script> resets(2, {"", script_end::Reset});
        scripted_runner first(resets);
        scripted_runner second(resets);
        fixture test({&first, &second});
        test.endedAddresses = {first.address(), second.address()};
        const auto sendCount = [&] { return first.requests().size() + second.requests().size(); };
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/again/2")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sendCount());
        test.recordEnds("/again/1", 1);
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/again/1")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sendCount());
    }

    void endsOfLeavingRunnersAreNotRecorded()
    {
        std::function<void()> beginsToLeave;
        scripted_runner leaving({{"", script_end::Reset}}, [&] { beginsToLeave(); });
        fixture test({&leaving});
        test.endedAddresses = {leaving.address()};
        beginsToLeave = [&test] {
            test.publisher.update([](catalogue &next) {
                runner changed = *next.runners->find({"r0"});
                changed.isDraining = true;
                putRunner(next, changed);
                return true;
            });
        };
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/again/1")->status);
        const http_request request = requestOf("GET", "/again/1", {{"Host", "h"}});
        CPPUNIT_ASSERT_EQUAL(
                std::size_t{0},
                test.quarantineManager.countEnds(digestOf(request, test.context.digestSeed))
                        .incarnations);
    }

private:
    /// The first runner answers with the faulty script and is left by the call; the caller gets
    /// both events, the rest of them from the second runner.
    static void expectAnswerOfTheSecond(script faulty, const std::string &answer,
                                        const std::string &path)
    {
        scripted_runner first({std::move(faulty)});
        scripted_runner second({{answer}});
        fixture test({&first, &second});
        test.runnerTable.candidatesOf(*test.publisher.current(), {.service = {"s"}});
        {
            runner_table::open_send busy(test.runnerTable, {"r1"}, 0, send_class::Urgent);
            test.sendRequest(path, "60000");
        }
        CPPUNIT_ASSERT(first.awaitDisconnect());
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2), test.caller.body);
        CPPUNIT_ASSERT(test.caller.isWhole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_proxy_test);

} // namespace poplarspool::gateway
