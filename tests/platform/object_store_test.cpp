#include "poplarspool/platform/object_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <string>

using namespace poplarspool;
using namespace poplarspool::platform;

namespace {

const std::string ownValue = "value+nonce";

/// A store of one object that can lose replies and delay requests.
struct fake_store
{
    std::string value;
    std::uint64_t version = mustNotExist;
    std::uint64_t lastVersion = 10;
    std::uint32_t calls = 0;
    std::function<void()> beforeCall = [] {};
    /// Called for each write that arrives. If true, the write takes effect and its reply is lost.
    std::function<bool()> losesReply = [] { return false; };
    bool isDown = false;

    result<std::uint64_t> write(const std::string &next, std::uint64_t ifVersion)
    {
        if (version != ifVersion)
            return notRun(error_code::Conflict, "version mismatch");
        value = next;
        version = ++lastVersion;
        return version;
    }

    result<std::uint64_t> put(const std::string &next, std::uint64_t ifVersion)
    {
        ++calls;
        beforeCall();
        if (isDown)
            return mayHaveRun(error_code::Broken, "no reply");
        auto outcome = write(next, ifVersion);
        if (losesReply())
            return mayHaveRun(error_code::Broken, "reply lost");
        return outcome;
    }

    result<object> get(const std::string &key)
    {
        ++calls;
        beforeCall();
        if (isDown)
            return notRun(error_code::Broken, "no reply");
        if (version == mustNotExist)
            return notRun(error_code::NotFound, "none");
        return object{key, value, version};
    }

    object_api api()
    {
        object_api functions;
        functions.get = [this](const std::string &key) { return get(key); };
        functions.put = [this](const std::string & /*key*/, const std::string &next,
                               std::uint64_t ifVersion) { return put(next, ifVersion); };
        return functions;
    }
};

} // namespace

class object_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_store_test);
    CPPUNIT_TEST(callsAreRefusedUntilBudgetRefills);
    CPPUNIT_TEST(backsOffAfterFailures);
    CPPUNIT_TEST(answeredConflictIsNotRun);
    CPPUNIT_TEST(ownWriteWithLostReplySucceeds);
    CPPUNIT_TEST(lostRequestIsSentAgain);
    CPPUNIT_TEST(delayedRequestAndRetryWriteOnce);
    CPPUNIT_TEST(overwriteAfterLostReplyMayHaveRun);
    CPPUNIT_TEST(outageDuringWriteMayHaveRun);
    CPPUNIT_TEST_SUITE_END();

    mono_time now{std::chrono::hours(1)};
    milliseconds tick{0}; ///< Advances the clock on each reading.
    clock_source clock{[this] { return now += tick; }, [] { return wall_time{}; }};
    metrics_registry metrics;
    journal events{{"a"}, clock, 64};
    fake_store fake;

    object_store makeStore(double burst = 100)
    {
        const object_store::limits bounds{1.0, burst, milliseconds(10), milliseconds(40)};
        return object_store(fake.api(), bounds, clock, metrics, events);
    }

    mono_time deadline() const { return now + std::chrono::seconds(5); }

    void loseFirstReplies(std::uint32_t count)
    {
        fake.losesReply = [count]() mutable { return count > 0 && count-- > 0; };
    }

    std::uint64_t callsOf(const std::string &kind)
    {
        return metrics.counterOf("poplarspool_store_calls_total{kind=\"" + kind + "\"}").get();
    }

public:
    void callsAreRefusedUntilBudgetRefills()
    {
        object_store store = makeStore(2);
        store.get("k");
        store.get("k");
        const auto refused = store.get("k");
        CPPUNIT_ASSERT(errorOf(refused).code == error_code::Throttled);
        CPPUNIT_ASSERT(errorOf(refused).ran == verdict::NotRun);
        CPPUNIT_ASSERT_EQUAL(2U, fake.calls);
        now += *errorOf(refused).retryAfter;
        CPPUNIT_ASSERT(errorOf(store.get("k")).code == error_code::NotFound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), callsOf("get"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), store.callsMade());
    }

    // The store is down: calls are refused at once as NotRun with retryAfter, and none is sent
    // until the back-off ends, so that many callers cannot keep the store overloaded.
    void backsOffAfterFailures()
    {
        object_store store = makeStore();
        fake.isDown = true;
        std::uint32_t refusals = 0;
        for (int i = 0; i < 50; ++i) {
            const auto outcome = store.get("k");
            if (!errorOf(outcome).retryAfter)
                continue;
            ++refusals;
            CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Unavailable);
            CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
            CPPUNIT_ASSERT(*errorOf(outcome).retryAfter <= milliseconds(40));
            const std::uint32_t callsBefore = fake.calls;
            now += *errorOf(outcome).retryAfter - milliseconds(1);
            store.get("k");
            CPPUNIT_ASSERT_EQUAL(callsBefore, fake.calls);
            now += milliseconds(1);
        }
        CPPUNIT_ASSERT(refusals > 0);
        fake.isDown = false;
        now += milliseconds(40);
        CPPUNIT_ASSERT(errorOf(store.get("k")).code == error_code::NotFound);
        CPPUNIT_ASSERT(store.lastReplyAt() == now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), events.events({"store_down", "", ""}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), events.events({"store_up", "", ""}).size());
    }

    void answeredConflictIsNotRun()
    {
        object_store store = makeStore();
        fake.write("theirs", mustNotExist);
        const auto outcome = store.put("k", ownValue, mustNotExist, deadline());
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Conflict);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    // The write takes effect and its reply is lost. The object that is read back holds the writer's
    // nonce, so the write succeeds with its version and is not sent twice.
    void ownWriteWithLostReplySucceeds()
    {
        object_store store = makeStore();
        tick = milliseconds(1);
        loseFirstReplies(1);
        const auto outcome = store.put("k", ownValue, mustNotExist, deadline());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), valueOf(outcome));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), fake.lastVersion);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), callsOf("put"));
    }

    // The first request never arrives. The object still has the expected version, so the write
    // is sent again and succeeds.
    void lostRequestIsSentAgain()
    {
        object_store store = makeStore();
        tick = milliseconds(1);
        fake.isDown = true;
        fake.beforeCall = [this] { fake.isDown = fake.calls <= 1; };
        const auto outcome = store.put("k", ownValue, mustNotExist, deadline());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), valueOf(outcome));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), callsOf("put"));
    }

    // The first request is delayed and arrives after the object was read back, but before the
    // retry. The retry conflicts with it; the caller must not get a conflict, because its write
    // took effect.
    void delayedRequestAndRetryWriteOnce()
    {
        object_store store = makeStore();
        tick = milliseconds(1);
        fake.isDown = true;
        fake.beforeCall = [this] {
            fake.isDown = fake.calls <= 1;
            if (fake.calls == 3)
                fake.write(ownValue, mustNotExist);
        };
        const auto outcome = store.put("k", ownValue, mustNotExist, deadline());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), valueOf(outcome));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), fake.lastVersion);
    }

    // The write takes effect, its reply is lost, and another writer replaces the object before it
    // is read back. NotRun would be wrong: the write reports MayHaveRun.
    void overwriteAfterLostReplyMayHaveRun()
    {
        object_store store = makeStore();
        tick = milliseconds(1);
        loseFirstReplies(1);
        fake.beforeCall = [this] {
            if (fake.calls == 2)
                fake.write("theirs", 11);
        };
        const auto outcome = store.put("k", ownValue, mustNotExist, deadline());
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Conflict);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::string("theirs"), fake.value);
    }

    // The reply is lost and the store stays unreachable until the deadline. The write reports
    // MayHaveRun at the deadline and not later.
    void outageDuringWriteMayHaveRun()
    {
        object_store store = makeStore();
        fake.isDown = true;
        tick = milliseconds(20);
        const mono_time end = deadline();
        const auto outcome = store.put("k", ownValue, mustNotExist, end);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT(now <= end + milliseconds(100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_store_test);
