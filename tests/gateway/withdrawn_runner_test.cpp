#include "proxy_fixture.h"

#include "poplarspool/gateway/limits.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <thread>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::script;
using test::script_end;
using test::scripted_runner;
using test::sealed;
using withdrawals::withdrawal_kind;
using fixture = test::proxy_fixture;

const std::string restingReply =
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
const std::string leavingStreamHead = "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\nLeaves: 1\r\n"
                                      "Content-Type: text/event-stream\r\n\r\n";

withdrawal_kind kindOf(fixture &test, const std::string &id = "r0")
{
    return test.withdrawalRegistry.find({{id}, 0}).kind;
}

void changeEntry(fixture &test, const std::string &id, const std::function<void(runner &)> &change)
{
    test.publisher.update([&](catalogue &next) {
        runner changed = *next.runners->find({id});
        change(changed);
        putRunner(next, changed);
        return true;
    });
}

} // namespace

class withdrawn_runner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(withdrawn_runner_test);
    CPPUNIT_TEST(restingRunnersAreRefusedAtOnce);
    CPPUNIT_TEST(streamDoesNotReturnToARunnerThatLeaves);
    CPPUNIT_TEST(answerThatBreaksOffSaysThatItsRunnerLeaves);
    CPPUNIT_TEST(restAndLimitOfOneAnswerAreKept);
    CPPUNIT_TEST(refusalsThatAskForRestInferNoLimit);
    CPPUNIT_TEST(answersOfOthersSayNothingOfTheRunner);
    CPPUNIT_TEST(oneOfManyRequestsIsSentAtTheEndOfARest);
    CPPUNIT_TEST_SUITE_END();

public:
    void restingRunnersAreRefusedAtOnce()
    {
        scripted_runner only({{restingReply}, {sealed("200 OK", "late")}});
        fixture test({&only});
        CPPUNIT_ASSERT_EQUAL(503, test.sendRequest("/again/1")->status);
        const auto refused = test.sendRequest("/again/1");
        CPPUNIT_ASSERT_EQUAL(503, refused->status);
        CPPUNIT_ASSERT(refused->body.find("not_run") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("rests"), test.lastFieldOf("request_end", "fault"));
        CPPUNIT_ASSERT_EQUAL(std::string("2.000"),
                             std::string(headerOf(refused->headers, "retry-after")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only.requests().size());
    }

    /// Guards against the return of a broken stream to the only runner of its version although that
    /// one leaves.
    void streamDoesNotReturnToARunnerThatLeaves()
    {
        const script broken{leavingStreamHead + "id: 1\ndata: 1\n\n", script_end::Reset};
        scripted_runner first({broken, broken});
        scripted_runner second({broken, broken});
        fixture test({&first, &second});
        changeEntry(test, "r0", [](runner &entry) { entry.version.text = "v1"; });
        changeEntry(test, "r1", [](runner &entry) { entry.version.text = "v2"; });
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.requests().size() + second.requests().size());
        CPPUNIT_ASSERT(!test.caller.isWhole);
    }

    void answerThatBreaksOffSaysThatItsRunnerLeaves()
    {
        scripted_runner only({{leavingStreamHead, script_end::Reset}});
        fixture test({&only});
        test.sendRequest("/stream/1");
        CPPUNIT_ASSERT(kindOf(test) == withdrawal_kind::Leaves);
    }

    void restAndLimitOfOneAnswerAreKept()
    {
        scripted_runner only({{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRate: 4\r\nRetry-After: 3\r\n"
                               "Content-Length: 0\r\n\r\n"}});
        fixture test({&only});
        test.sendRequest("/again/1");
        CPPUNIT_ASSERT(kindOf(test) == withdrawal_kind::Rests);
        runner target;
        target.id.text = "r0";
        CPPUNIT_ASSERT(test.rateLimiter.limitOf(target) == 4.0);
    }

    /// Guards against a rest between one instance and a runner that slows down all instances.
    void refusalsThatAskForRestInferNoLimit()
    {
        const script refusal{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 0.001\r\n"
                             "Content-Length: 0\r\n\r\n"};
        scripted_runner only(std::vector<script>(2 * config::minRefusalsInRow, refusal));
        fixture test({&only});
        for (std::uint32_t i = 0; i < 2 * config::minRefusalsInRow; ++i) {
            test.sendRequest("/again/1");
            std::this_thread::sleep_for(5ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2 * config::minRefusalsInRow}, only.requests().size());
        runner target;
        target.id.text = "r0";
        CPPUNIT_ASSERT(!test.rateLimiter.limitOf(target));
    }

    void answersOfOthersSayNothingOfTheRunner()
    {
        const std::string said = "Leaves: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
        for (const std::string head :
             {"HTTP/1.1 421 Other\r\nNot-Run: 1\r\n", "HTTP/1.1 200 OK\r\nId: q1\r\n",
              "HTTP/1.1 200 OK\r\nId: q0\r\nSeal: x\r\n"}) {
            scripted_runner only({{head + said}});
            fixture test({&only});
            test.sendRequest("/again/1");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only.requests().size());
            CPPUNIT_ASSERT_MESSAGE(head, kindOf(test) == withdrawal_kind::None);
        }
    }

    /// Guards against requests that were all chosen for the runner before the first one was sent.
    void oneOfManyRequestsIsSentAtTheEndOfARest()
    {
        constexpr int requestCount = 8;
        std::atomic<int> arrived{0};
        std::atomic<int> ended{0};
        metrics_registry metrics;
        http_server server(
                "runner", {"127.0.0.1", 0}, defaultHttpLimits(),
                [&](const http_request &, http_sink &) -> std::optional<http_reply> {
                    ++arrived;
                    // Until all other requests have ended.
                    for (int i = 0; i < 3000 && ended + arrived < requestCount; ++i)
                        std::this_thread::sleep_for(1ms);
                    return http_reply{200, {{"Seal", "x"}}, "late", "text/plain"};
                },
                metrics);
        const scripted_runner unused({});
        fixture test({&unused});
        const endpoint address = valueOf(server.start());
        changeEntry(test, "r0", [&](runner &entry) { entry.address = address; });
        const http_headers rest{{"Retry-After", "0.001"}};
        test.withdrawalRegistry.recordAnswer({{{"r0"}, 0}, 503, rest});
        std::this_thread::sleep_for(5ms);
        std::atomic<int> served{0};
        std::vector<std::thread> callers;
        callers.reserve(requestCount);
        for (int i = 0; i < requestCount; ++i) {
            callers.emplace_back([&] {
                const auto reply = test.sendRequest("/again/1");
                served += reply && reply->status == 200 ? 1 : 0;
                ++ended;
            });
        }
        for (std::thread &each : callers)
            each.join();
        server.stop();
        CPPUNIT_ASSERT_EQUAL(1, arrived.load());
        CPPUNIT_ASSERT_EQUAL(1, served.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(withdrawn_runner_test);

} // namespace poplarspool::gateway
