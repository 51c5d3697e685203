#include "caller/completion_json.h"

#include "caller/json_text.h"
#include "clean_exit.h"
#include "poplarspool/caller/limits.h"
#include "recording_sink.h"

#include <cppunit/extensions/HelperMacros.h>
#include <utility>
#include <vector>

namespace poplarspool::caller {

class completion_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(completion_json_test);
    CPPUNIT_TEST(supportedMembersAndDefaultsAreParsed);
    CPPUNIT_TEST(compatibilityMembersWithoutEffectAreAccepted);
    CPPUNIT_TEST(errorNamesTheInvalidMember);
    CPPUNIT_TEST(deeplyNestedBodyIsRejected);
    CPPUNIT_TEST(bufferedAnswerIsComplete);
    CPPUNIT_TEST(tooLongAnswerFailsWithStatus413);
    CPPUNIT_TEST(escapingMatchesTheJsonLibrary);
    CPPUNIT_TEST_SUITE_END();

public:
    void supportedMembersAndDefaultsAreParsed()
    {
        const auto full =
                parseCompletion(R"({"model":"m","prompt":"hi","max_tokens":32768,"stream":true})");
        CPPUNIT_ASSERT(valueOf(full)
                       == (completion_body{"m", "hi", config::maxOutputTokens, true}));
        const auto minimal = parseCompletion(R"({"model":"m","prompt":"hi","stream":null})");
        CPPUNIT_ASSERT(valueOf(minimal)
                       == (completion_body{"m", "hi", config::defaultOutputTokens, false}));
    }

    void compatibilityMembersWithoutEffectAreAccepted()
    {
        const auto body = parseCompletion(
                R"({"model":"m","prompt":"p","temperature":0.2,"top_p":1,"n":1,"stop":null,)"
                R"("user":"u","seed":-7,"echo":false,"logprobs":null,"logit_bias":{},)"
                R"("presence_penalty":0,"best_of":1,"stream_options":{"include_usage":true}})");
        CPPUNIT_ASSERT(succeeded(body));
    }

    // A recursive parser overflows the stack on a deeply nested body, which terminates the process.
    // The parser runs in a child process, so that such a crash is reported as a failed test.
    void deeplyNestedBodyIsRejected()
    {
        test::expectCleanExit([] {
            constexpr std::size_t levels = 400'000;
            const std::string nested = std::string(levels, '[') + std::string(levels, ']');
            const auto body =
                    parseCompletion(R"({"model":"m","prompt":"p","max_tokens":)" + nested + "}");
            return !succeeded(body) && errorOf(body).code == error_code::BadRequest;
        });
    }

    void errorNamesTheInvalidMember()
    {
        const std::vector<std::pair<std::string, std::string>> cases{
                {R"({"prompt":"p"})", "model"},
                {R"({"model":"","prompt":"p"})", "model"},
                {R"({"model":7,"prompt":"p"})", "model"},
                {R"({"model":"m"})", "prompt"},
                {R"({"model":"m","prompt":["p"]})", "prompt"},
                {R"({"model":"m","prompt":"p","max_tokens":0})", "max_tokens"},
                {R"({"model":"m","prompt":"p","max_tokens":-1})", "max_tokens"},
                {R"({"model":"m","prompt":"p","max_tokens":1.0})", "max_tokens"},
                {R"({"model":"m","prompt":"p","max_tokens":"9"})", "max_tokens"},
                {R"({"model":"m","prompt":"p","max_tokens":32769})", "max_tokens"},
                {R"({"model":"m","prompt":"p","stream":1})", "stream"},
                {R"({"model":"m","prompt":"p","n":2})", "n"},
                {R"({"model":"m","prompt":"p","stop":["."]})", "stop"},
                {R"({"model":"m","prompt":"p","temperature":3})", "temperature"},
                {R"({"model":"m","prompt":"p","echo":true})", "echo"},
                {R"({"model":"m","prompt":"p","max_token":9})", "max_token"},
                {R"({"model":"m","prompt":"p","prompt":"q"})", "prompt"},
                {R"(["model"])", "object"},
                {R"({"model":"m","prompt":"p")", "JSON"},
                {"", "JSON"},
                {"{\"model\":\"m\",\"prompt\":\"\xff\"}", "JSON"},
        };
        for (const auto &[text, name] : cases) {
            const auto body = parseCompletion(text);
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(body));
            CPPUNIT_ASSERT(errorOf(body).code == error_code::BadRequest);
            CPPUNIT_ASSERT(errorOf(body).ran == verdict::NotRun);
            CPPUNIT_ASSERT_MESSAGE(errorOf(body).message,
                                   errorOf(body).message.find(name) != std::string::npos);
        }
    }

    void bufferedAnswerIsComplete()
    {
        recording_sink connection;
        buffered_completion sink({{"r1"}, "m", 17}, connection);
        CPPUNIT_ASSERT(sink.token("He said \"no\""));
        CPPUNIT_ASSERT(sink.token("\n"));
        sink.finish({"length", 3, 2});
        const http_reply reply = sink.takeReply();
        const nlohmann::json answer = nlohmann::json::parse(reply.body);
        CPPUNIT_ASSERT_EQUAL(200, reply.status);
        const nlohmann::json choice = {{"index", 0},
                                       {"text", "He said \"no\"\n"},
                                       {"logprobs", nullptr},
                                       {"finish_reason", "length"}};
        CPPUNIT_ASSERT(answer.at("choices") == nlohmann::json::array({choice}));
        CPPUNIT_ASSERT(answer.at("object") == "text_completion");
        CPPUNIT_ASSERT(answer.at("id") == "cmpl-r1");
        CPPUNIT_ASSERT(answer.at("usage").at("total_tokens") == 5);
    }

    // When the answer exceeds the buffer limit, token() returns false and the handler fails the
    // answer as Cancelled, as if the caller had disconnected. The sink must replace that wrong
    // cause: the caller gets status 413 and no part of the answer.
    void tooLongAnswerFailsWithStatus413()
    {
        recording_sink connection;
        buffered_completion sink({{"r1"}, "m", 17}, connection);
        const std::string largest(config::maxCollectedAnswerBytes, 'x');
        CPPUNIT_ASSERT(sink.token(largest));
        CPPUNIT_ASSERT(!sink.token("x"));
        sink.fail(mayHaveRun(error_code::Cancelled, "the caller has disconnected"));
        CPPUNIT_ASSERT_EQUAL(413, sink.takeReply().status);
    }

    void escapingMatchesTheJsonLibrary()
    {
        std::vector<std::string> texts{"",      "plain",    "ආයුබෝවන්",          "Tōtara",
                                       "a\xff", "\xe0\xb6", "\xf0\x9f\x98\x80"};
        for (int byte = 0; byte < 0x80; ++byte)
            texts.push_back(std::string("x") + static_cast<char>(byte) + "y");
        for (const std::string &text : texts) {
            std::string escaped = "\"";
            appendEscaped(escaped, text);
            CPPUNIT_ASSERT_EQUAL(dumpText(nlohmann::json(text)), escaped + "\"");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(completion_json_test);

} // namespace poplarspool::caller
