#include "poplarspool/base/journal.h"

#include "base/line_budget.h"
#include "poplarspool/config.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace poplarspool;

namespace {

struct hand_clock
{
    std::int64_t wallMs = 1'700'000'000'000;

    clock_source source()
    {
        return clock_source{[] { return mono_time{}; },
                            [this] { return wall_time(milliseconds(wallMs)); }};
    }
};

} // namespace

class journal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(journal_test);
    CPPUNIT_TEST(aLineIsKeysAndValues);
    CPPUNIT_TEST(foreignTextStaysInItsValue);
    CPPUNIT_TEST(effectSortsAfterCauseWhenClocksDisagree);
    CPPUNIT_TEST(wallClockMayStepBack);
    CPPUNIT_TEST(aClockFarAheadIsLeftAside);
    CPPUNIT_TEST(theRingKeepsTheLatest);
    CPPUNIT_TEST(filtersTakeFieldsAndKind);
    CPPUNIT_TEST(threadsGetTimesOfTheirOwn);
    CPPUNIT_TEST(linesOfASecondAreBounded);
    CPPUNIT_TEST_SUITE_END();

    void aLineIsKeysAndValues()
    {
        const event entry{{1'700'000'000'250, 3},
                          instance_id{"colombo-a-1"},
                          "request_end",
                          {{"request", "r1"}, {"message", "no runner"}, {"key", ""}}};
        CPPUNIT_ASSERT_EQUAL(std::string("at=2023-11-14T22:13:20.250Z/3 instance=colombo-a-1 "
                                         "event=request_end request=r1 message=\"no runner\" "
                                         "key=\"\""),
                             lineOf(entry));
    }

    // A caller sends a workspace name with a line break and a made-up event behind it. An operator
    // who greps the log would see that event as ours. The break must arrive escaped, in one line.
    void foreignTextStaysInItsValue()
    {
        const event entry{{0, 0}, instance_id{"i"}, "k", {{"workspace", "a\nevent=\"x\""}}};
        CPPUNIT_ASSERT_EQUAL(std::string("at=1970-01-01T00:00:00.000Z/0 instance=i event=k "
                                         "workspace=\"a\\x0aevent=\\\"x\\\"\""),
                             lineOf(entry));
    }

    // Instance B's wall clock is 5 s behind A's. A drains a runner and tells B, B stops routing to
    // it. By wall time B stopped before A asked, and the merged time line would show the effect
    // before its cause; the time that travels with the message has to push B's clock on.
    void effectSortsAfterCauseWhenClocksDisagree()
    {
        hand_clock ahead;
        hand_clock behind;
        behind.wallMs = ahead.wallMs - 5000;
        journal a(instance_id{"a"}, ahead.source(), 8);
        journal b(instance_id{"b"}, behind.source(), 8);
        const hybrid_time cause = a.emit("drain");
        b.observe(a.stamp());
        const hybrid_time effect = b.emit("drained");
        CPPUNIT_ASSERT(cause < effect);
    }

    void wallClockMayStepBack()
    {
        hand_clock clock;
        journal events(instance_id{"a"}, clock.source(), 8);
        const hybrid_time before = events.emit("one");
        clock.wallMs -= 60000;
        CPPUNIT_ASSERT(before < events.emit("two"));
    }

    void aClockFarAheadIsLeftAside()
    {
        hand_clock clock;
        journal events(instance_id{"a"}, clock.source(), 8);
        events.observe({clock.wallMs + config::maxClockLead.count() + 1, 0});
        CPPUNIT_ASSERT_EQUAL(clock.wallMs, events.emit("one").wallMs);
    }

    void theRingKeepsTheLatest()
    {
        hand_clock clock;
        journal events(instance_id{"a"}, clock.source(), 3);
        for (const char *kind : {"one", "two", "three", "four", "five"})
            events.emit(kind);
        const std::vector<event> kept = events.events({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept.size());
        CPPUNIT_ASSERT_EQUAL(std::string("three"), kept.front().kind);
        CPPUNIT_ASSERT_EQUAL(std::string("five"), kept.back().kind);
    }

    void filtersTakeFieldsAndKind()
    {
        hand_clock clock;
        journal events(instance_id{"a"}, clock.source(), 8);
        events.emit("sent", {{"request", "r1"}, {"runner", "e1"}});
        events.emit("sent", {{"request", "r2"}, {"runner", "e1"}});
        events.emit("ended", {{"request", "r1"}, {"runner", "e2"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.events({"sent", "", ""}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.events({"", "r1", ""}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.events({"sent", "r1", "e1"}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, events.events({"sent", "r1", "e2"}).size());
    }

    void threadsGetTimesOfTheirOwn()
    {
        constexpr int perThread = 200;
        journal events(instance_id{"a"}, systemClock(), std::size_t{2} * perThread);
        const auto work = [&events] {
            for (int number = 0; number < perThread; ++number)
                events.emit("tick");
        };
        std::thread first(work);
        std::thread second(work);
        first.join();
        second.join();
        const std::vector<event> kept = events.events({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2} * perThread, kept.size());
        for (std::size_t index = 1; index < kept.size(); ++index)
            CPPUNIT_ASSERT(kept[index - 1].at < kept[index].at);
    }

    /// Thousands of requests fail within a second, with a line each. Written out, the lines would
    /// take the time that the requests after them need.
    void linesOfASecondAreBounded()
    {
        line_budget budget(2);
        std::uint64_t leftOut = 0;
        CPPUNIT_ASSERT(budget.take(7, leftOut) && budget.take(7, leftOut));
        CPPUNIT_ASSERT(!budget.take(7, leftOut) && !budget.take(7, leftOut));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leftOut);
        CPPUNIT_ASSERT(budget.take(8, leftOut));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, leftOut);
        CPPUNIT_ASSERT(budget.take(8, leftOut));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leftOut);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_test);
