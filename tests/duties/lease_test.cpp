#include "poplarspool/duties/lease.h"

#include "poplarspool/duties/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

/// One record, and a clock that two instances share.
struct world
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, systemClock(), 64};
    lease_record record;
    std::uint64_t revision = 10;
    bool isDown = false;
    bool losesAnswers = false;

    lease_store store()
    {
        lease_store made;
        made.read = [this]() -> result<lease_record> {
            if (isDown)
                return notRun(error_code::Unavailable, "down");
            return record;
        };
        made.write = [this](const lease_record &next) -> result<unit> {
            if (next.version != record.version)
                return notRun(error_code::Conflict, "another one stands there");
            record = next;
            record.version.revision = ++revision;
            if (losesAnswers)
                return mayHaveRun(error_code::TimedOut, "no answer");
            return unit{};
        };
        return made;
    }

    void goBackTo(lease_record older)
    {
        older.version.epoch = record.version.epoch + 1;
        record = older;
        revision = older.version.revision;
    }

    duty_lease leaseOf(const std::string &id)
    {
        return duty_lease(store(), {id}, 3s, clock, events);
    }
};

} // namespace

class lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_test);
    CPPUNIT_TEST(theHolderTakesTermAfterTerm);
    CPPUNIT_TEST(aSuccessorWaitsUntilTheTermIsLongOver);
    CPPUNIT_TEST(eachSignOfTheHolderBeginsTheWaitAnew);
    CPPUNIT_TEST(aLostAnswerGivesNoTerm);
    CPPUNIT_TEST(ofTwoThatWriteOneHasTheTerm);
    CPPUNIT_TEST(withoutTheStoreThereIsNoTerm);
    CPPUNIT_TEST(aTermWhoseRecordIsLostIsWaitedFor);
    CPPUNIT_TEST(fencesOfLostTermsAreNotGivenAgain);
    CPPUNIT_TEST(noFenceFollowsTheHighest);
    CPPUNIT_TEST(anEpochWithoutRoomForFencesGivesNone);
    CPPUNIT_TEST(whoStartsAfterACopyWaitsForLostTerms);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Another writer leaves a record with the highest fence that there is. The next one would be
    /// 0, and engines would refuse it, or take older orders after newer ones.
    void noFenceFollowsTheHighest()
    {
        world test;
        test.record = {{"a"}, std::numeric_limits<std::uint64_t>::max() - 1, {0, 10}};
        duty_lease mine = test.leaseOf("a");
        const auto last = mine.tryTake();
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(), last->fence);
        CPPUNIT_ASSERT(!mine.tryTake());
        CPPUNIT_ASSERT_EQUAL(last->fence, test.record.fence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events.events({"lease_unusable", {}, {}}).size());
    }

    /// Its least fence would be lower than that of an earlier epoch.
    void anEpochWithoutRoomForFencesGivesNone()
    {
        world test;
        test.record = {{"a"}, 7, {config::storeEpochMost, 10}};
        // Who starts in a later epoch waits for lost terms first.
        const auto takenBy = [&test](duty_lease lease) {
            std::optional<lease_term> term;
            for (int tries = 0; tries < 100 && !term; ++tries) {
                term = lease.tryTake();
                test.now += 100ms;
            }
            return term;
        };
        const auto last = takenBy(test.leaseOf("a"));
        CPPUNIT_ASSERT(last.has_value());
        CPPUNIT_ASSERT_EQUAL(config::storeEpochMost * config::fencesPerEpoch, last->fence);
        test.record = {{"a"}, 7, {config::storeEpochMost + 1, 10}};
        CPPUNIT_ASSERT(!takenBy(test.leaseOf("a")));
    }

    void theHolderTakesTermAfterTerm()
    {
        world test;
        duty_lease mine = test.leaseOf("a");
        const auto first = mine.tryTake();
        CPPUNIT_ASSERT(first == (lease_term{1, test.now + 1500ms}));
        const auto second = mine.tryTake();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second->fence);
    }

    /// An instance orders an engine and is cut off; another one takes over and orders the same
    /// engine. Less than the bound apart, the engine may carry out the first order after the
    /// second.
    void aSuccessorWaitsUntilTheTermIsLongOver()
    {
        world test;
        const auto lastOrder = test.leaseOf("a").tryTake()->endsAt;
        duty_lease other = test.leaseOf("b");
        std::optional<lease_term> taken;
        while (!taken) {
            test.now += 100ms;
            taken = other.tryTake();
        }
        CPPUNIT_ASSERT(test.now - lastOrder >= 3s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, taken->fence);
    }

    void eachSignOfTheHolderBeginsTheWaitAnew()
    {
        world test;
        duty_lease mine = test.leaseOf("a");
        duty_lease other = test.leaseOf("b");
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(mine.tryTake());
            CPPUNIT_ASSERT(!other.tryTake());
            test.now += 5s;
            CPPUNIT_ASSERT(!other.tryTake());
        }
    }

    /// The store takes the write and its answer is lost. Counted from a later try, a term of the
    /// first write would last too long; so that write gives none.
    void aLostAnswerGivesNoTerm()
    {
        world test;
        test.losesAnswers = true;
        duty_lease mine = test.leaseOf("a");
        CPPUNIT_ASSERT(!mine.tryTake());
        test.losesAnswers = false;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, mine.tryTake()->fence);
    }

    void ofTwoThatWriteOneHasTheTerm()
    {
        world test;
        lease_store late = test.store();
        late.read = [] { return lease_record(); };
        duty_lease mine = test.leaseOf("a");
        duty_lease other(late, {"b"}, 3s, test.clock, test.events);
        CPPUNIT_ASSERT(mine.tryTake());
        CPPUNIT_ASSERT(!other.tryTake());
    }

    void withoutTheStoreThereIsNoTerm()
    {
        world test;
        test.isDown = true;
        CPPUNIT_ASSERT(!test.leaseOf("a").tryTake());
    }

    /// An instance takes a term and orders an engine; the store comes back from a copy without that
    /// record, or with an older one of another instance, and that one starts anew. It can't tell
    /// how long ago that was. Taken at its word, both would order the engine within the bound.
    void whoStartsAfterACopyWaitsForLostTerms()
    {
        const lease_record none;
        for (const lease_record &older : {none, lease_record{{"b"}, 1, {0, 11}}}) {
            world test;
            CPPUNIT_ASSERT(test.leaseOf("a").tryTake());
            test.goBackTo(older);
            const mono_time startedAt = test.now;
            duty_lease started = test.leaseOf("b");
            while (!started.tryTake())
                test.now += 100ms;
            CPPUNIT_ASSERT(test.now - startedAt >= 6s);
        }
    }

    /// An instance takes a term and orders an engine; the store comes back from a copy that has not
    /// that record, but an older one of the other instance, or none. Taken at its word, both would
    /// order the engine within the bound.
    void aTermWhoseRecordIsLostIsWaitedFor()
    {
        world test;
        duty_lease mine = test.leaseOf("a");
        duty_lease other = test.leaseOf("b");
        CPPUNIT_ASSERT(other.tryTake());
        const lease_record copy = test.record;
        while (!mine.tryTake())
            test.now += 100ms;
        for (const lease_record &older : {copy, lease_record()}) {
            test.goBackTo(older);
            const mono_time wentBackAt = test.now;
            while (!other.tryTake())
                test.now += 100ms;
            CPPUNIT_ASSERT(test.now - wentBackAt >= 6s);
        }
    }

    /// Two terms of the same fence could not be told apart, and an engine that checks fences would
    /// refuse a lower one.
    void fencesOfLostTermsAreNotGivenAgain()
    {
        world test;
        duty_lease mine = test.leaseOf("a");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, mine.tryTake()->fence);
        const lease_record copy = test.record;
        std::uint64_t highest = mine.tryTake()->fence;
        for (int times = 0; times < 2; ++times) {
            test.goBackTo(copy);
            CPPUNIT_ASSERT(!mine.tryTake());
            test.now += 6s;
            const std::uint64_t next = mine.tryTake()->fence;
            CPPUNIT_ASSERT(next > highest);
            highest = next;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_test);

} // namespace poplarspool::duties
