#include "bench/answer_check.h"
#include "bench/answer_reader.h"
#include "bench/service_records.h"
#include "standin/tokens.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;
using namespace poplarspool::bench;

namespace {

constexpr std::string_view prompt = "a prompt of ours";

std::string tokenAt(std::uint32_t index)
{
    return standin::standinToken(prompt, index);
}

std::string chunkOf(const std::string &text)
{
    return R"(data: {"choices":[{"index":0,"text":")" + text + "\"}]}\n\n";
}

completion_answer readAll(const std::string &stream, std::size_t pieceSize)
{
    const clock_source clock = systemClock();
    stream_answer_reader reader(clock);
    for (std::size_t start = 0; start < stream.size(); start += pieceSize)
        reader.feed(std::string_view(stream).substr(start, pieceSize));
    return reader.answer();
}

} // namespace

class answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_test);
    CPPUNIT_TEST(completeAnswerIsWhole);
    CPPUNIT_TEST(missingTokensAreReportedAsCut);
    CPPUNIT_TEST(repeatedTokensAreReportedAsDoubled);
    CPPUNIT_TEST(tokensOfOtherPromptsAreWrong);
    CPPUNIT_TEST(streamIsParsedInPiecesOfAnySize);
    CPPUNIT_TEST(streamWithoutDoneHasNoEnd);
    CPPUNIT_TEST(errorEventIsNotTheEnd);
    CPPUNIT_TEST(dataAfterDoneIsMalformed);
    CPPUNIT_TEST(failureHasVerdictAndRetryAfter);
    CPPUNIT_TEST(recordsRevealDoubledLostAndFalseNotRun);
    CPPUNIT_TEST_SUITE_END();

    void completeAnswerIsWhole()
    {
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, standin::standinAnswer(prompt, 3))
                       == answer_state::Whole);
        CPPUNIT_ASSERT(checkAnswer(prompt, 0, "") == answer_state::Whole);
    }

    void missingTokensAreReportedAsCut()
    {
        CPPUNIT_ASSERT(checkAnswer(prompt, 4, standin::standinAnswer(prompt, 3))
                       == answer_state::Cut);
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, tokenAt(0) + tokenAt(2)) == answer_state::Cut);
        const std::string broken = standin::standinAnswer(prompt, 2) + tokenAt(2).substr(0, 3);
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, broken) != answer_state::Whole);
    }

    // An instance resumes a stream on another engine one token too early, so that the caller
    // receives the last token twice. The token count alone does not show it, because the answer
    // then ends one token short.
    void repeatedTokensAreReportedAsDoubled()
    {
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, tokenAt(0) + tokenAt(1) + tokenAt(1))
                       == answer_state::Doubled);
        CPPUNIT_ASSERT(checkAnswer(prompt, 2, tokenAt(0) + tokenAt(1) + tokenAt(0))
                       == answer_state::Doubled);
    }

    void tokensOfOtherPromptsAreWrong()
    {
        const std::string other = standin::standinAnswer("another prompt", 2);
        CPPUNIT_ASSERT(checkAnswer(prompt, 2, other) == answer_state::Wrong);
        const std::string longer = standin::standinAnswer(prompt, 3);
        CPPUNIT_ASSERT(checkAnswer(prompt, 2, longer) == answer_state::Wrong);
    }

    void streamIsParsedInPiecesOfAnySize()
    {
        const std::string stream = chunkOf("one ") + chunkOf("two ")
                + R"(data: {"choices":[{"text":"","finish_reason":"length"}],)"
                + "\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
        for (std::size_t pieceSize = 1; pieceSize < 40; ++pieceSize) {
            const completion_answer answer = readAll(stream, pieceSize);
            CPPUNIT_ASSERT_EQUAL(std::string("one two "), answer.text);
            CPPUNIT_ASSERT_EQUAL(std::string("length"), answer.finishReason);
            CPPUNIT_ASSERT(answer.tokens == 2U);
            CPPUNIT_ASSERT(answer.hasEnd && !answer.failure && !answer.isMalformed);
        }
    }

    // An engine crashes and its instance closes the caller's stream normally. Only the missing
    // [DONE] shows that the answer was cut.
    void streamWithoutDoneHasNoEnd() { CPPUNIT_ASSERT(!readAll(chunkOf("one "), 7).hasEnd); }

    void errorEventIsNotTheEnd()
    {
        const std::string failure = "data: {\"error\":{\"code\":\"broken\",\"message\":\"m\","
                                    "\"verdict\":\"may_have_run\"}}\n\n";
        const completion_answer answer = readAll(chunkOf("one ") + failure, 9);
        CPPUNIT_ASSERT(!answer.hasEnd);
        CPPUNIT_ASSERT(answer.failure == mayHaveRun(error_code::Broken, "m"));
    }

    void dataAfterDoneIsMalformed()
    {
        CPPUNIT_ASSERT(readAll("data: [DONE]\n\n" + chunkOf("more "), 50).isMalformed);
        CPPUNIT_ASSERT(readAll("data: nonsense\n\n", 50).isMalformed);
    }

    void failureHasVerdictAndRetryAfter()
    {
        const http_reply refused{503,
                                 {{"Retry-After", "2"}},
                                 R"({"error":{"code":"overloaded","message":"m",)"
                                 R"("verdict":"not_run"}})",
                                 "application/json"};
        CPPUNIT_ASSERT(parseFailure(refused)
                       == notRun(error_code::Overloaded, "m", std::chrono::seconds(2)));
        CPPUNIT_ASSERT(parseFailure({502, {}, "<html>", "text/html"}).ran == verdict::MayHaveRun);
    }

    void recordsRevealDoubledLostAndFalseNotRun()
    {
        const key_outcomes ends{{"once", call_end::Whole},
                                {"twice", call_end::Whole},
                                {"lost", call_end::Whole},
                                {"denied", call_end::Refused},
                                {"truly refused", call_end::Refused},
                                {"unknown", call_end::MayHaveRun}};
        const run_counts runs{
                {"once", 1}, {"twice", 2}, {"denied", 1}, {"unknown", 1}, {"not of ours", 5}};
        CPPUNIT_ASSERT(compareRecords(runs, ends) == (record_faults{1, 1, 1}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_test);
