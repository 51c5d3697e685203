#include "poplarspool/node/answers.h"

#include "poplarspool/config.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace poplarspool::node {

using peer::answer_state;

class answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answers_test);
    CPPUNIT_TEST(knowsNothingOfOtherNonces);
    CPPUNIT_TEST(givesTheWholeAnswer);
    CPPUNIT_TEST(wakesWhoWaitsForARunningAttempt);
    CPPUNIT_TEST(neverTakesBackThatAnAttemptRan);
    CPPUNIT_TEST(losesAnswersThatAreTooLarge);
    CPPUNIT_TEST(givesUpOldestAnswersFirst);
    CPPUNIT_TEST(forgetsWhatIsOld);
    CPPUNIT_TEST_SUITE_END();

public:
    void knowsNothingOfOtherNonces()
    {
        answer_book book(clock());
        book.onDone("k", "n1", {200, {}, "a", "text/plain"});
        CPPUNIT_ASSERT(stateOf(book, "n2") == answer_state::Unknown);
    }

    void givesTheWholeAnswer()
    {
        answer_book book(clock());
        book.onRunning("k", "n");
        book.onDone("k", "n", {201, {{"Location", "/7"}}, "made", "text/plain"});
        const peer::answer_reply expected{
                answer_state::Done, 201, {{"Location", "/7"}}, "text/plain", "made"};
        CPPUNIT_ASSERT(expected == book.find({"k", "n", 0}));
    }

    // The second caller sees the first one's answer: it asks while the first attempt is running,
    // and waits until that attempt is done.
    void wakesWhoWaitsForARunningAttempt()
    {
        answer_book book(clock());
        book.onRunning("k", "n");
        peer::answer_reply seen;
        std::thread waiting([&] { seen = book.find({"k", "n", longWaitMs}); });
        book.onDone("k", "n", {200, {}, "a", "text/plain"});
        waiting.join();
        CPPUNIT_ASSERT(seen.state == answer_state::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), seen.body);
    }

    void neverTakesBackThatAnAttemptRan()
    {
        answer_book book(clock());
        book.onDone("k", "done", {200, {}, "a", "text/plain"});
        book.onNotDispatched("k", "done");
        book.onRunning("k", "done");
        CPPUNIT_ASSERT(stateOf(book, "done") == answer_state::Done);
        book.onLost("k", "lost");
        book.onNotDispatched("k", "lost");
        CPPUNIT_ASSERT(stateOf(book, "lost") == answer_state::Lost);
        book.onNotDispatched("k", "late");
        book.onRunning("k", "late");
        CPPUNIT_ASSERT(stateOf(book, "late") == answer_state::NotDispatched);
    }

    void losesAnswersThatAreTooLarge()
    {
        answer_book book(clock());
        book.onDone("k", "n", {200, {}, std::string(config::maxKeptAnswerBytes + 1, 'x'), ""});
        CPPUNIT_ASSERT(stateOf(book, "n") == answer_state::Lost);
    }

    // The caller of the oldest request sees that it may have run, and no answer: later answers have
    // filled the book. What would hurt more to forget stays: that an attempt runs, or never ran.
    void givesUpOldestAnswersFirst()
    {
        answer_book book(clock());
        book.onRunning("k", "running");
        book.onNotDispatched("k", "never");
        const std::size_t count = config::maxAnswerBookBytes / config::maxKeptAnswerBytes + 1;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string body(config::maxKeptAnswerBytes, 'x');
            book.onDone("k", std::to_string(i), {200, {}, body, ""});
        }
        CPPUNIT_ASSERT(stateOf(book, "0") == answer_state::Lost);
        CPPUNIT_ASSERT(stateOf(book, std::to_string(count - 1)) == answer_state::Done);
        CPPUNIT_ASSERT(stateOf(book, "running") == answer_state::Running);
        CPPUNIT_ASSERT(stateOf(book, "never") == answer_state::NotDispatched);
    }

    void forgetsWhatIsOld()
    {
        answer_book book(clock());
        book.onDone("k", "old", {200, {}, "a", ""});
        now += milliseconds(1000);
        book.onNotDispatched("k", "new");
        now += milliseconds(500);
        book.forgetOlderThan(milliseconds(1000));
        CPPUNIT_ASSERT(stateOf(book, "old") == answer_state::Unknown);
        CPPUNIT_ASSERT(stateOf(book, "new") == answer_state::NotDispatched);
    }

private:
    static constexpr std::uint32_t longWaitMs = 60000;

    clock_source clock()
    {
        return {[this] { return now; }, [] { return wall_time{}; }};
    }

    static answer_state stateOf(answer_book &book, const std::string &nonce)
    {
        return book.find({"k", nonce, 0}).state;
    }

    mono_time now{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(answers_test);

} // namespace poplarspool::node
