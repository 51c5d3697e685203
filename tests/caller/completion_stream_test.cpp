#include "caller/completion_stream.h"

#include "recording_sink.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace poplarspool::caller {

class completion_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(completion_stream_test);
    CPPUNIT_TEST(streamEndsWithDone);
    CPPUNIT_TEST(emptyAnswerIsStreamed);
    CPPUNIT_TEST(failureBeforeTheFirstTokenGivesAnErrorStatus);
    CPPUNIT_TEST(failureAfterTheFirstTokenGivesAnErrorEvent);
    CPPUNIT_TEST(tokenIsRejectedAfterTheCallerDisconnects);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamEndsWithDone()
    {
        recording_sink connection;
        streamed_completion sink(metadata(), connection);
        CPPUNIT_ASSERT(sink.token("a\"b"));
        CPPUNIT_ASSERT(sink.token("Tō\n"));
        sink.finish({"stop", 4, 2});
        CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), connection.contentType);
        const auto events = eventsOf(connection.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), events.size());
        CPPUNIT_ASSERT(choiceOf(events[0]).at("text") == "a\"b");
        CPPUNIT_ASSERT(choiceOf(events[1]).at("text") == "Tō\n");
        CPPUNIT_ASSERT(choiceOf(events[1]).at("finish_reason") == nullptr);
        CPPUNIT_ASSERT(choiceOf(events[2]).at("finish_reason") == "stop");
        CPPUNIT_ASSERT(nlohmann::json::parse(events[2]).at("usage").at("total_tokens") == 6);
        CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), events[3]);
        CPPUNIT_ASSERT(connection.isEnded);
        CPPUNIT_ASSERT(!sink.takeReply());
    }

    void emptyAnswerIsStreamed()
    {
        recording_sink connection;
        streamed_completion sink(metadata(), connection);
        sink.finish({"stop", 4, 0});
        CPPUNIT_ASSERT_EQUAL(200, connection.status);
        CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), eventsOf(connection.body).back());
    }

    // The engine refuses a streamed request before the first token. No status has been sent yet, so
    // the caller must get an ordinary 503 reply instead of a stream with status 200.
    void failureBeforeTheFirstTokenGivesAnErrorStatus()
    {
        recording_sink connection;
        streamed_completion sink(metadata(), connection);
        sink.fail(notRun(error_code::Overloaded, "busy", milliseconds(1500)));
        CPPUNIT_ASSERT_EQUAL(0, connection.status);
        const auto reply = sink.takeReply();
        CPPUNIT_ASSERT(reply);
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT_EQUAL(std::string("2"),
                             std::string(headerOf(reply->headers, "Retry-After")));
    }

    // The engine dies after the first token. The HTTP reply still ends normally, so only the error
    // event and the missing [DONE] distinguish the partial answer from a complete one.
    void failureAfterTheFirstTokenGivesAnErrorEvent()
    {
        recording_sink connection;
        streamed_completion sink(metadata(), connection);
        sink.token("a");
        sink.fail(mayHaveRun(error_code::Broken, "the engine died"));
        sink.finish({"stop", 1, 1});
        const auto events = eventsOf(connection.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.size());
        const nlohmann::json failure = nlohmann::json::parse(events[1]).at("error");
        CPPUNIT_ASSERT(failure.at("verdict") == "may_have_run");
        CPPUNIT_ASSERT(connection.body.find("[DONE]") == std::string::npos);
        CPPUNIT_ASSERT(sink.outcome().failure->code == error_code::Broken);
    }

    void tokenIsRejectedAfterTheCallerDisconnects()
    {
        recording_sink connection;
        streamed_completion sink(metadata(), connection);
        CPPUNIT_ASSERT(sink.token("a"));
        connection.isDisconnected = true;
        CPPUNIT_ASSERT(!sink.token("b"));
        CPPUNIT_ASSERT(sink.isGone());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), sink.outcome().tokens);
    }

private:
    static completion_metadata metadata() { return {{"r1"}, "model \"x\"", 17}; }

    static std::vector<std::string> eventsOf(const std::string &body)
    {
        const std::string prefix = "data: ";
        std::vector<std::string> events;
        for (std::size_t at = 0; at < body.size();) {
            const std::size_t end = body.find("\n\n", at);
            CPPUNIT_ASSERT(end != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(prefix, body.substr(at, prefix.size()));
            events.push_back(body.substr(at + prefix.size(), end - at - prefix.size()));
            at = end + 2;
        }
        return events;
    }

    static nlohmann::json choiceOf(const std::string &event)
    {
        const nlohmann::json chunk = nlohmann::json::parse(event);
        CPPUNIT_ASSERT(chunk.at("model") == "model \"x\"");
        return chunk.at("choices").at(0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(completion_stream_test);

} // namespace poplarspool::caller
