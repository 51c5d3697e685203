#include "poplarspool/duties/lease.h"

#include "poplarspool/duties/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

/// A store with one record, and a clock that all instances share.
struct test_store
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
                return notRun(error_code::Conflict, "the record has another revision");
            record = next;
            record.version.revision = ++revision;
            if (losesAnswers)
                return mayHaveRun(error_code::TimedOut, "no answer");
            return unit{};
        };
        return made;
    }

    void rollBackTo(lease_record older)
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
    CPPUNIT_TEST(holderAcquiresConsecutiveTerms);
    CPPUNIT_TEST(successorWaitsForBoundAfterTermEnd);
    CPPUNIT_TEST(eachNewRecordRestartsTheWait);
    CPPUNIT_TEST(lostAnswerYieldsNoTerm);
    CPPUNIT_TEST(concurrentWritesYieldOneTerm);
    CPPUNIT_TEST(unreachableStoreYieldsNoTerm);
    CPPUNIT_TEST(runningInstanceWaitsForTermLostInRollback);
    CPPUNIT_TEST(fencesOfLostTermsAreNotReused);
    CPPUNIT_TEST(noTermAfterHighestFence);
    CPPUNIT_TEST(epochBeyondFenceRangeYieldsNoTerm);
    CPPUNIT_TEST(startedInstanceWaitsForTermLostInRollback);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Another writer has left a record with the second highest fence. After the highest one the
    /// next would wrap around to 0: engines would refuse it, or accept older orders after newer
    /// ones.
    void noTermAfterHighestFence()
    {
        test_store test;
        test.record = {{"a"}, std::numeric_limits<std::uint64_t>::max() - 1, {0, 10}};
        duty_lease mine = test.leaseOf("a");
        const auto last = mine.tryAcquire();
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(), last->fence);
        CPPUNIT_ASSERT(!mine.tryAcquire());
        CPPUNIT_ASSERT_EQUAL(last->fence, test.record.fence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events.events({"lease_unusable", {}, {}}).size());
    }

    /// The lowest fence of such an epoch would overflow and be lower than fences of earlier epochs.
    void epochBeyondFenceRangeYieldsNoTerm()
    {
        test_store test;
        test.record = {{"a"}, 7, {config::maxStoreEpoch, 10}};
        // An instance that starts in a later epoch waits for lost terms first.
        const auto acquiredBy = [&test](duty_lease lease) {
            std::optional<lease_term> term;
            for (int tries = 0; tries < 100 && !term; ++tries) {
                term = lease.tryAcquire();
                test.now += 100ms;
            }
            return term;
        };
        const auto last = acquiredBy(test.leaseOf("a"));
        CPPUNIT_ASSERT(last.has_value());
        CPPUNIT_ASSERT_EQUAL(config::maxStoreEpoch * config::fencesPerEpoch, last->fence);
        test.record = {{"a"}, 7, {config::maxStoreEpoch + 1, 10}};
        CPPUNIT_ASSERT(!acquiredBy(test.leaseOf("a")));
    }

    void holderAcquiresConsecutiveTerms()
    {
        test_store test;
        duty_lease mine = test.leaseOf("a");
        const auto first = mine.tryAcquire();
        CPPUNIT_ASSERT(first == (lease_term{1, test.now + 1500ms}));
        const auto second = mine.tryAcquire();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second->fence);
    }

    /// An instance sends an order to an engine and loses its connection; its successor sends
    /// another order to the same engine. If the two orders are less than the bound apart, the
    /// engine may execute the first one after the second.
    void successorWaitsForBoundAfterTermEnd()
    {
        test_store test;
        const auto lastOrder = test.leaseOf("a").tryAcquire()->endsAt;
        duty_lease other = test.leaseOf("b");
        std::optional<lease_term> taken;
        while (!taken) {
            test.now += 100ms;
            taken = other.tryAcquire();
        }
        CPPUNIT_ASSERT(test.now - lastOrder >= 3s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, taken->fence);
    }

    void eachNewRecordRestartsTheWait()
    {
        test_store test;
        duty_lease mine = test.leaseOf("a");
        duty_lease other = test.leaseOf("b");
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(mine.tryAcquire());
            CPPUNIT_ASSERT(!other.tryAcquire());
            test.now += 5s;
            CPPUNIT_ASSERT(!other.tryAcquire());
        }
    }

    /// The write succeeds but its answer is lost. A term counted from a later attempt would last
    /// too long, so the first write must not yield one.
    void lostAnswerYieldsNoTerm()
    {
        test_store test;
        test.losesAnswers = true;
        duty_lease mine = test.leaseOf("a");
        CPPUNIT_ASSERT(!mine.tryAcquire());
        test.losesAnswers = false;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, mine.tryAcquire()->fence);
    }

    void concurrentWritesYieldOneTerm()
    {
        test_store test;
        lease_store late = test.store();
        late.read = [] { return lease_record(); };
        duty_lease mine = test.leaseOf("a");
        duty_lease other(late, {"b"}, 3s, test.clock, test.events);
        CPPUNIT_ASSERT(mine.tryAcquire());
        CPPUNIT_ASSERT(!other.tryAcquire());
    }

    void unreachableStoreYieldsNoTerm()
    {
        test_store test;
        test.isDown = true;
        CPPUNIT_ASSERT(!test.leaseOf("a").tryAcquire());
    }

    /// An instance acquires a term and sends an order to an engine. A store rollback removes the
    /// record or brings back an older one of another instance, which then restarts and can't tell
    /// how long ago the rollback was. If it trusted the record, both would send orders to the
    /// engine within the bound.
    void startedInstanceWaitsForTermLostInRollback()
    {
        const lease_record none;
        for (const lease_record &older : {none, lease_record{{"b"}, 1, {0, 11}}}) {
            test_store test;
            CPPUNIT_ASSERT(test.leaseOf("a").tryAcquire());
            test.rollBackTo(older);
            const mono_time startedAt = test.now;
            duty_lease started = test.leaseOf("b");
            while (!started.tryAcquire())
                test.now += 100ms;
            CPPUNIT_ASSERT(test.now - startedAt >= 6s);
        }
    }

    /// An instance acquires a term and sends an order to an engine. A store rollback replaces the
    /// record with an older one of the other instance, or with none. If that instance trusted the
    /// store, both would send orders to the engine within the bound.
    void runningInstanceWaitsForTermLostInRollback()
    {
        test_store test;
        duty_lease mine = test.leaseOf("a");
        duty_lease other = test.leaseOf("b");
        CPPUNIT_ASSERT(other.tryAcquire());
        const lease_record copy = test.record;
        while (!mine.tryAcquire())
            test.now += 100ms;
        for (const lease_record &older : {copy, lease_record()}) {
            test.rollBackTo(older);
            const mono_time rolledBackAt = test.now;
            while (!other.tryAcquire())
                test.now += 100ms;
            CPPUNIT_ASSERT(test.now - rolledBackAt >= 6s);
        }
    }

    /// Two terms with the same fence can't be distinguished, and an engine that checks fences
    /// refuses a lower one.
    void fencesOfLostTermsAreNotReused()
    {
        test_store test;
        duty_lease mine = test.leaseOf("a");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, mine.tryAcquire()->fence);
        const lease_record copy = test.record;
        std::uint64_t highest = mine.tryAcquire()->fence;
        for (int times = 0; times < 2; ++times) {
            test.rollBackTo(copy);
            CPPUNIT_ASSERT(!mine.tryAcquire());
            test.now += 6s;
            const std::uint64_t next = mine.tryAcquire()->fence;
            CPPUNIT_ASSERT(next > highest);
            highest = next;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_test);

} // namespace poplarspool::duties
