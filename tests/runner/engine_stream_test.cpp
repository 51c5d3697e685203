#include "engine_fixture.h"
#include "poplarspool/runner/limits.h"

#include <future>

namespace poplarspool::runner {

namespace {

/// An engine that sends the same reply to every request.
class scripted_engine
{
public:
    explicit scripted_engine(std::string body, int status = 200)
        : server(
                "scripted", {"127.0.0.1", 0}, defaultHttpLimits(),
                [body = std::move(body), status](const http_request &, http_sink &) {
                    return http_reply{status, {}, body, "application/x-ndjson"};
                },
                metrics)
    {
        address = valueOf(server.start());
    }

    ~scripted_engine() { server.stop(); }

    endpoint address;

private:
    metrics_registry metrics;
    http_server server;
};

const std::string head = "{\"request\":\"r\",\"attempt\":\"r-1\"}\n";
const std::string firstToken = "{\"index\":0,\"text\":\"a\"}\n";

error failureOf(engine_fixture &fixture, const std::string &body, int status = 200)
{
    scripted_engine engine(body, status);
    const auto request = engine_fixture::requestFor("r", 4);
    received_answer answer;
    const auto outcome = fixture.api.generate(engine.address, request, answer.receiver());
    CPPUNIT_ASSERT(!succeeded(outcome));
    return errorOf(outcome);
}

} // namespace

class engine_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_stream_test);
    CPPUNIT_TEST(completeAnswerIsStreamed);
    CPPUNIT_TEST(secondTryContinuesACutStream);
    CPPUNIT_TEST(inconsistentStreamsAreBroken);
    CPPUNIT_TEST(malformedStreamsAreBroken);
    CPPUNIT_TEST(refusalIsNotRunOnlyIfTheEngineSaysSo);
    CPPUNIT_TEST(wrongModelIsNotRun);
    CPPUNIT_TEST(unreachableEngineIsNotRun);
    CPPUNIT_TEST(receiverCancelsTheRequestOnTheEngine);
    CPPUNIT_TEST(frozenEngineTimesOut);
    CPPUNIT_TEST_SUITE_END();

    void completeAnswerIsStreamed()
    {
        engine_fixture fixture;
        received_answer answer;
        const auto request = engine_fixture::requestFor("r", 20);
        const auto outcome = fixture.api.generate(fixture.address, request, answer.receiver());
        CPPUNIT_ASSERT(succeeded(outcome));
        CPPUNIT_ASSERT(valueOf(outcome).reason == finish_reason::Length);
        CPPUNIT_ASSERT_EQUAL(20U, valueOf(outcome).outputTokens);
        CPPUNIT_ASSERT_EQUAL(standin::standinAnswer(request.prompt, 20), answer.text);
    }

    // The engine closes the connection after 7 tokens, so the first try fails as Broken and may
    // have run. A second try sends the received tokens and continues after them; the caller must
    // get one complete answer. Without the index check, a repeat or a gap where the two tries meet
    // would go unnoticed.
    void secondTryContinuesACutStream()
    {
        engine_fixture fixture;
        fixture.engine.setFault({standin::fault_mode::CutNext, 1, 7});
        received_answer answer;
        auto request = engine_fixture::requestFor("r", 20);
        const auto first = fixture.api.generate(fixture.address, request, answer.receiver());
        CPPUNIT_ASSERT(!succeeded(first));
        CPPUNIT_ASSERT(errorOf(first).code == error_code::Broken);
        CPPUNIT_ASSERT(errorOf(first).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), answer.tokens.size());

        request.attempt = "r-2";
        request.emitted = answer.tokens;
        const auto second = fixture.api.generate(fixture.address, request, answer.receiver());
        CPPUNIT_ASSERT(succeeded(second));
        CPPUNIT_ASSERT_EQUAL(20U, valueOf(second).outputTokens);
        CPPUNIT_ASSERT_EQUAL(standin::standinAnswer(request.prompt, 20), answer.text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.engine.records().cut);
    }

    // The caller must never get a wrong or partial answer as a complete one: a stream that closes
    // normally but without the end event, that names another attempt, or that repeats a token.
    void inconsistentStreamsAreBroken()
    {
        using standin::fault_mode;
        for (const auto mode : {fault_mode::EndEarly, fault_mode::Crossed, fault_mode::Repeat}) {
            engine_fixture fixture;
            fixture.engine.setFault({mode, 1, 3});
            received_answer answer;
            const auto request = engine_fixture::requestFor("r", 20);
            const auto outcome = fixture.api.generate(fixture.address, request, answer.receiver());
            CPPUNIT_ASSERT(!succeeded(outcome));
            CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Broken);
            CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
            const bool isCrossed = mode == fault_mode::Crossed;
            CPPUNIT_ASSERT_EQUAL(isCrossed, answer.tokens.empty());
        }
    }

    void malformedStreamsAreBroken()
    {
        engine_fixture fixture;
        const std::string longLine(config::maxStreamLineBytes + 1, 'x');
        const std::string end = "{\"end\":true,\"reason\":\"stop\",\"prompt_tokens\":1,";
        const std::vector<std::string> bodies = {
                "",
                head,
                firstToken,
                head + longLine,
                head + "{\"index\":1,\"text\":\"a\"}\n",
                head + "{\"index\":-1,\"text\":\"a\"}\n",
                head + "{\"index\":0,\"text\":7}\n",
                head + "nonsense\n",
                head + firstToken + end + "\"output_tokens\":2}\n",
                head + firstToken + end + "\"output_tokens\":1}",
                head + firstToken + end + "\"output_tokens\":1}\n" + firstToken,
                end + "\"output_tokens\":0}\n",
        };
        for (const std::string &body : bodies) {
            const error failure = failureOf(fixture, body);
            CPPUNIT_ASSERT(failure.code == error_code::Broken);
            CPPUNIT_ASSERT(failure.ran == verdict::MayHaveRun);
        }
    }

    // A bare 503 can come from an engine that crashes while it runs the request. Only a reply that
    // states that the request has not started may be reported as NotRun.
    void refusalIsNotRunOnlyIfTheEngineSaysSo()
    {
        engine_fixture fixture;
        for (const std::string body : {"", "down", "{\"began\":true}", "{\"began\":0}", "{}"})
            CPPUNIT_ASSERT(failureOf(fixture, body, 503).ran == verdict::MayHaveRun);
        const error refused = failureOf(fixture, "{\"began\":false,\"retry_after_ms\":50}", 429);
        CPPUNIT_ASSERT(refused.ran == verdict::NotRun);
        CPPUNIT_ASSERT(refused.code == error_code::Overloaded);
        CPPUNIT_ASSERT(refused.retryAfter == milliseconds(50));

        fixture.engine.setFault({standin::fault_mode::Refuse, 1});
        received_answer answer;
        const auto outcome = fixture.api.generate(
                fixture.address, engine_fixture::requestFor("r", 4), answer.receiver());
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.engine.records().started);
    }

    void wrongModelIsNotRun()
    {
        engine_fixture fixture;
        auto request = engine_fixture::requestFor("r", 4);
        request.model = "other";
        received_answer answer;
        const auto outcome = fixture.api.generate(fixture.address, request, answer.receiver());
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Unavailable);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    void unreachableEngineIsNotRun()
    {
        engine_fixture fixture;
        fixture.engine.stop();
        received_answer answer;
        const auto outcome = fixture.api.generate(
                fixture.address, engine_fixture::requestFor("r", 4), answer.receiver());
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    void receiverCancelsTheRequestOnTheEngine()
    {
        auto options = engine_fixture::fastOptions();
        options.speed = 1;
        engine_fixture fixture(options);
        const auto outcome =
                fixture.api.generate(fixture.address, engine_fixture::requestFor("r", 10000),
                                     [](const stream_token &token) { return token.index < 3; });
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Cancelled);
        awaitThat([&] { return fixture.engine.records().cancelled == 1; });
    }

    // The engine is frozen before the request arrives. The call must fail at its time limit, not
    // when the engine resumes; as bytes were sent, the verdict can't be NotRun.
    void frozenEngineTimesOut()
    {
        engine_fixture fixture;
        fixture.engine.setFault({standin::fault_mode::Freeze});
        auto request = engine_fixture::requestFor("r", 4);
        request.timeLeft = milliseconds(50);
        received_answer answer;
        const auto outcome = fixture.api.generate(fixture.address, request, answer.receiver());
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::TimedOut);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_stream_test);

} // namespace poplarspool::runner
