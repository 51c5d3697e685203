#include "engine_fixture.h"

#include <future>

namespace poplarspool::runner {

namespace {

/// An engine that answers every request with the same bytes.
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
    CPPUNIT_TEST(answersWhole);
    CPPUNIT_TEST(goesOnAfterACut);
    CPPUNIT_TEST(misbehavingStreamsAreBroken);
    CPPUNIT_TEST(malformedStreamsAreBroken);
    CPPUNIT_TEST(refusalsAreNotRunOnlyWhenSaid);
    CPPUNIT_TEST(wrongModelIsNotRun);
    CPPUNIT_TEST(nobodyThereIsNotRun);
    CPPUNIT_TEST(givingUpCancelsAtTheEngine);
    CPPUNIT_TEST(frozenEngineTimesOut);
    CPPUNIT_TEST_SUITE_END();

    void answersWhole()
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

    // The caller sees one whole answer. The engine breaks the connection after 7 tokens, so the
    // first try is Broken and may have run; a second try names the tokens that came and goes on
    // behind them. Without the index check a repeat or a gap at the seam would pass unseen.
    void goesOnAfterACut()
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

    // The caller must never take for whole what isn't its whole answer: a stream that ends well
    // but without the end event, that names another attempt, or that repeats a token.
    void misbehavingStreamsAreBroken()
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

    // A bare 503 can come from an engine that dies in the middle of the work. Only a reply that
    // says that it did not begin may become "not run" at the caller.
    void refusalsAreNotRunOnlyWhenSaid()
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

    void nobodyThereIsNotRun()
    {
        engine_fixture fixture;
        fixture.engine.stop();
        received_answer answer;
        const auto outcome = fixture.api.generate(
                fixture.address, engine_fixture::requestFor("r", 4), answer.receiver());
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    void givingUpCancelsAtTheEngine()
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

    // The caller gets its failure at its time limit, not when the engine wakes. The engine is
    // frozen before the request arrives; as bytes were sent, the verdict can't be "not run".
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
