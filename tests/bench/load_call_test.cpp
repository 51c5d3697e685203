#include "bench/load_call.h"
#include "standin/tokens.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>

using namespace poplarspool;
using namespace poplarspool::bench;

namespace {

http_reply jsonReply(int status, const nlohmann::json &body, http_headers headers = {})
{
    return http_reply{status, std::move(headers), body.dump(), "application/json"};
}

http_reply failureReply(const char *verdictName)
{
    return jsonReply(
            503,
            {{"error", {{"code", "unavailable"}, {"message", "m"}, {"verdict", verdictName}}}});
}

/// An instance that answers requests with a scripted sequence of replies.
class fake_instance
{
public:
    using answer = std::function<std::optional<http_reply>(const load_call &, http_sink &)>;

    explicit fake_instance(load_call call)
        : call(std::move(call)), server(
                                         "fake", endpoint{"127.0.0.1", 0}, defaultHttpLimits(),
                                         [this](const http_request &request, http_sink &sink) {
                                             return serve(request, sink);
                                         },
                                         metrics)
    {
        address = valueOf(server.start());
        addresses = {address};
    }

    ~fake_instance() { server.stop(); }

    call_outcome perform(const std::deque<answer> &script)
    {
        answers = script;
        http_pool pool(4, milliseconds(1000), metrics);
        const caller_identity identity{"tester", "", ""};
        address_cache cache({address}, identity, pool);
        return performCall(call, identity, cache, pool, systemClock().mono());
    }

    endpoint address;
    std::vector<endpoint> addresses; ///< Returned by /v1/addresses.
    std::vector<std::string> keys; ///< Idempotency keys of all attempts.

private:
    std::optional<http_reply> serve(const http_request &request, http_sink &sink)
    {
        if (request.path.starts_with("/v1/addresses"))
            return addressReply();
        answer next;
        {
            const std::lock_guard lock(mutex);
            keys.emplace_back(headerOf(request.headers, "Idempotency-Key"));
            if (answers.empty())
                return failureReply("may_have_run");
            next = answers.front();
            answers.pop_front();
        }
        return next(call, sink);
    }

    http_reply addressReply() const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const endpoint &one : addresses)
            list.push_back(textOf(one));
        return jsonReply(200, {{"addresses", list}, {"keep_seconds", 60}});
    }

    const load_call call;
    std::mutex mutex;
    std::deque<answer> answers;
    metrics_registry metrics;
    http_server server;
};

load_call streamedCall()
{
    load_call call;
    call.model = "m";
    call.prompt = "a prompt";
    call.maxTokens = 3;
    call.isStreamed = true;
    call.idempotencyKey = "key-1";
    call.timeLimit = milliseconds(30000);
    return call;
}

std::string chunkOf(const std::string &text)
{
    return "data: " + nlohmann::json{{"choices", {{{"index", 0}, {"text", text}}}}}.dump() + "\n\n";
}

/// Streams that many tokens, then `ending`.
fake_instance::answer streaming(std::uint32_t tokens, const std::string &ending)
{
    return [=](const load_call &call, http_sink &sink) -> std::optional<http_reply> {
        sink.begin(200, {}, "text/event-stream");
        for (std::uint32_t index = 0; index < tokens; ++index)
            sink.write(chunkOf(standin::standinToken(call.prompt, index)));
        sink.write(ending);
        sink.end();
        return std::nullopt;
    };
}

fake_instance::answer replying(const http_reply &reply)
{
    return [reply](const load_call &, http_sink &) { return reply; };
}

const std::string done = "data: [DONE]\n\n";

} // namespace

class load_call_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_call_test);
    CPPUNIT_TEST(completeStreamIsWhole);
    CPPUNIT_TEST(notRunIsRetriedWithTheSameKey);
    CPPUNIT_TEST(mayHaveRunIsNotRetried);
    CPPUNIT_TEST(cutStreamIsNotRetried);
    CPPUNIT_TEST(unreachableAddressIsSkipped);
    CPPUNIT_TEST(answerOfAnotherCallIsWrong);
    CPPUNIT_TEST_SUITE_END();

    void completeStreamIsWhole()
    {
        fake_instance instance(streamedCall());
        const call_outcome outcome = instance.perform({streaming(3, done)});
        CPPUNIT_ASSERT(outcome.end == call_end::Whole);
        CPPUNIT_ASSERT(outcome.firstByte.count() > 0);
    }

    // Two attempts end with the verdict "not run" and the third one succeeds. All must have the
    // same idempotency key: with a new key, a false verdict would run the request twice without
    // being detected.
    void notRunIsRetriedWithTheSameKey()
    {
        fake_instance instance(streamedCall());
        const call_outcome outcome =
                instance.perform({replying(failureReply("not_run")),
                                  replying(failureReply("not_run")), streaming(3, done)});
        CPPUNIT_ASSERT(outcome.end == call_end::Whole);
        CPPUNIT_ASSERT_EQUAL(2U, outcome.notRunAnswers);
        const std::vector<std::string> expected(3, "key-1");
        CPPUNIT_ASSERT(instance.keys == expected);
    }

    void mayHaveRunIsNotRetried()
    {
        fake_instance instance(streamedCall());
        const call_outcome outcome =
                instance.perform({replying(failureReply("may_have_run")), streaming(3, done)});
        CPPUNIT_ASSERT(outcome.end == call_end::MayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.keys.size());
    }

    // Two of three tokens are followed by an error event, by [DONE] or by the end of the stream.
    // The answer is cut in each case and must be counted as cut, even if the event says "not run".
    void cutStreamIsNotRetried()
    {
        const std::string failure = "data: {\"error\":{\"code\":\"broken\",\"message\":\"m\","
                                    "\"verdict\":\"not_run\"}}\n\n";
        for (const std::string &ending : {failure, done, std::string()}) {
            fake_instance instance(streamedCall());
            const call_outcome outcome =
                    instance.perform({streaming(2, ending), streaming(3, done)});
            CPPUNIT_ASSERT(outcome.end == call_end::Cut);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.keys.size());
        }
    }

    // An instance was killed, and the caller still has its address cached as the best one. The
    // connection is refused, so nothing can have run, and the next address is used at once.
    void unreachableAddressIsSkipped()
    {
        endpoint dead;
        {
            fake_instance stopped(streamedCall());
            dead = stopped.address;
        }
        fake_instance instance(streamedCall());
        instance.addresses = {dead, instance.address};
        const call_outcome outcome = instance.perform({streaming(3, done)});
        CPPUNIT_ASSERT(outcome.end == call_end::Whole);
        CPPUNIT_ASSERT_EQUAL(0U, outcome.notRunAnswers);
    }

    void answerOfAnotherCallIsWrong()
    {
        load_call call;
        call.service = "desk";
        call.servicePath = "/orders";
        call.prompt = "mine";
        call.idempotencyKey = "mine";
        fake_instance instance(call);
        const auto own = instance.perform(
                {replying(jsonReply(200, {{"key", "mine"}, {"path", "/orders/mine"}}))});
        CPPUNIT_ASSERT(own.end == call_end::Whole);
        const auto crossed = instance.perform(
                {replying(jsonReply(200, {{"key", "other"}, {"path", "/orders/other"}}))});
        CPPUNIT_ASSERT(crossed.end == call_end::Wrong);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_call_test);
