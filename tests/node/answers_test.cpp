#include "poplarspool/node/answers.h"

#include "poplarspool/node/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace poplarspool::node {

using peer::answer_state;

class answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answers_test);
    CPPUNIT_TEST(otherNonceIsUnknown);
    CPPUNIT_TEST(completeAnswerIsReturned);
    CPPUNIT_TEST(waiterIsWokenWhenAttemptEnds);
    CPPUNIT_TEST(finalStateIsNotOverwritten);
    CPPUNIT_TEST(oversizedAnswerIsRecordedAsLost);
    CPPUNIT_TEST(oldestAnswersAreEvictedFirst);
    CPPUNIT_TEST(expiredEntriesAreEvicted);
    CPPUNIT_TEST_SUITE_END();

public:
    void otherNonceIsUnknown()
    {
        answer_table table(clock());
        table.onDone("k", "n1", {200, {}, "a", "text/plain"});
        CPPUNIT_ASSERT(stateOf(table, "n2") == answer_state::Unknown);
    }

    void completeAnswerIsReturned()
    {
        answer_table table(clock());
        table.onRunning("k", "n");
        table.onDone("k", "n", {201, {{"Location", "/7"}}, "made", "text/plain"});
        const peer::answer_reply expected{
                answer_state::Done, 201, {{"Location", "/7"}}, "text/plain", "made"};
        CPPUNIT_ASSERT(expected == table.find({"k", "n", 0}));
    }

    // A duplicate that arrives while the first attempt is running waits until that attempt ends,
    // and gets its answer.
    void waiterIsWokenWhenAttemptEnds()
    {
        answer_table table(clock());
        table.onRunning("k", "n");
        peer::answer_reply seen;
        std::thread waiting([&] { seen = table.find({"k", "n", longWaitMs}); });
        table.onDone("k", "n", {200, {}, "a", "text/plain"});
        waiting.join();
        CPPUNIT_ASSERT(seen.state == answer_state::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), seen.body);
    }

    void finalStateIsNotOverwritten()
    {
        answer_table table(clock());
        table.onDone("k", "done", {200, {}, "a", "text/plain"});
        table.onNotDispatched("k", "done");
        table.onRunning("k", "done");
        CPPUNIT_ASSERT(stateOf(table, "done") == answer_state::Done);
        table.onLost("k", "lost");
        table.onNotDispatched("k", "lost");
        CPPUNIT_ASSERT(stateOf(table, "lost") == answer_state::Lost);
        table.onNotDispatched("k", "late");
        table.onRunning("k", "late");
        CPPUNIT_ASSERT(stateOf(table, "late") == answer_state::NotDispatched);
    }

    void oversizedAnswerIsRecordedAsLost()
    {
        answer_table table(clock());
        table.onDone("k", "n", {200, {}, std::string(config::maxStoredAnswerBytes + 1, 'x'), ""});
        CPPUNIT_ASSERT(stateOf(table, "n") == answer_state::Lost);
    }

    // Answers beyond the memory limit evict the oldest answer; its caller gets the reply that the
    // request may have run. Records that are costlier to lose are kept: that an attempt is running,
    // or was never dispatched.
    void oldestAnswersAreEvictedFirst()
    {
        answer_table table(clock());
        table.onRunning("k", "running");
        table.onNotDispatched("k", "never");
        const std::size_t count = config::maxAnswerTableBytes / config::maxStoredAnswerBytes + 1;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string body(config::maxStoredAnswerBytes, 'x');
            table.onDone("k", std::to_string(i), {200, {}, body, ""});
        }
        CPPUNIT_ASSERT(stateOf(table, "0") == answer_state::Lost);
        CPPUNIT_ASSERT(stateOf(table, std::to_string(count - 1)) == answer_state::Done);
        CPPUNIT_ASSERT(stateOf(table, "running") == answer_state::Running);
        CPPUNIT_ASSERT(stateOf(table, "never") == answer_state::NotDispatched);
    }

    void expiredEntriesAreEvicted()
    {
        answer_table table(clock());
        table.onDone("k", "old", {200, {}, "a", ""});
        now += milliseconds(1000);
        table.onNotDispatched("k", "new");
        now += milliseconds(500);
        table.evictOlderThan(milliseconds(1000));
        CPPUNIT_ASSERT(stateOf(table, "old") == answer_state::Unknown);
        CPPUNIT_ASSERT(stateOf(table, "new") == answer_state::NotDispatched);
    }

private:
    static constexpr std::uint32_t longWaitMs = 60000;

    clock_source clock()
    {
        return {[this] { return now; }, [] { return wall_time{}; }};
    }

    static answer_state stateOf(answer_table &table, const std::string &nonce)
    {
        return table.find({"k", nonce, 0}).state;
    }

    mono_time now{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(answers_test);

} // namespace poplarspool::node
