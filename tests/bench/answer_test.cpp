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
    CPPUNIT_TEST(aWholeAnswerIsWhole);
    CPPUNIT_TEST(missingTokensAreACut);
    CPPUNIT_TEST(repeatedTokensAreDoubled);
    CPPUNIT_TEST(foreignTokensAreWrong);
    CPPUNIT_TEST(streamsAreReadInAnyPieces);
    CPPUNIT_TEST(aStreamWithoutItsEndIsNotEnded);
    CPPUNIT_TEST(anErrorEventIsNoEnd);
    CPPUNIT_TEST(nothingMayFollowTheEnd);
    CPPUNIT_TEST(refusalsCarryTheirVerdict);
    CPPUNIT_TEST(recordsShowWhatCallersWereNotTold);
    CPPUNIT_TEST_SUITE_END();

    void aWholeAnswerIsWhole()
    {
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, standin::standinAnswer(prompt, 3))
                       == answer_state::Whole);
        CPPUNIT_ASSERT(checkAnswer(prompt, 0, "") == answer_state::Whole);
    }

    void missingTokensAreACut()
    {
        CPPUNIT_ASSERT(checkAnswer(prompt, 4, standin::standinAnswer(prompt, 3))
                       == answer_state::Cut);
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, tokenAt(0) + tokenAt(2)) == answer_state::Cut);
        const std::string broken = standin::standinAnswer(prompt, 2) + tokenAt(2).substr(0, 3);
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, broken) != answer_state::Whole);
    }

    // An instance resumes a stream on another engine one token too early. The caller gets the last
    // token twice, and a count of tokens alone would not show it: the answer then ends one short.
    void repeatedTokensAreDoubled()
    {
        CPPUNIT_ASSERT(checkAnswer(prompt, 3, tokenAt(0) + tokenAt(1) + tokenAt(1))
                       == answer_state::Doubled);
        CPPUNIT_ASSERT(checkAnswer(prompt, 2, tokenAt(0) + tokenAt(1) + tokenAt(0))
                       == answer_state::Doubled);
    }

    void foreignTokensAreWrong()
    {
        const std::string other = standin::standinAnswer("another prompt", 2);
        CPPUNIT_ASSERT(checkAnswer(prompt, 2, other) == answer_state::Wrong);
        const std::string longer = standin::standinAnswer(prompt, 3);
        CPPUNIT_ASSERT(checkAnswer(prompt, 2, longer) == answer_state::Wrong);
    }

    void streamsAreReadInAnyPieces()
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

    // An engine dies, and its instance closes the caller's stream as if all had been said. The
    // transport ends well; only the missing [DONE] tells the caller that its answer was cut.
    void aStreamWithoutItsEndIsNotEnded() { CPPUNIT_ASSERT(!readAll(chunkOf("one "), 7).hasEnd); }

    void anErrorEventIsNoEnd()
    {
        const std::string failure = "data: {\"error\":{\"code\":\"broken\",\"message\":\"m\","
                                    "\"verdict\":\"may_have_run\"}}\n\n";
        const completion_answer answer = readAll(chunkOf("one ") + failure, 9);
        CPPUNIT_ASSERT(!answer.hasEnd);
        CPPUNIT_ASSERT(answer.failure == mayHaveRun(error_code::Broken, "m"));
    }

    void nothingMayFollowTheEnd()
    {
        CPPUNIT_ASSERT(readAll("data: [DONE]\n\n" + chunkOf("more "), 50).isMalformed);
        CPPUNIT_ASSERT(readAll("data: nonsense\n\n", 50).isMalformed);
    }

    void refusalsCarryTheirVerdict()
    {
        const http_reply refused{503,
                                 {{"Retry-After", "2"}},
                                 R"({"error":{"code":"overloaded","message":"m",)"
                                 R"("verdict":"not_run"}})",
                                 "application/json"};
        CPPUNIT_ASSERT(failureIn(refused)
                       == notRun(error_code::Overloaded, "m", std::chrono::seconds(2)));
        CPPUNIT_ASSERT(failureIn({502, {}, "<html>", "text/html"}).ran == verdict::MayHaveRun);
    }

    void recordsShowWhatCallersWereNotTold()
    {
        const key_ends ends{{"once", call_end::Whole},
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
