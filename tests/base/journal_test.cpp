#include "poplarspool/base/journal.h"

#include "base/log_rate_limiter.h"
#include "poplarspool/base/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace poplarspool;

namespace {

struct manual_clock
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
    CPPUNIT_TEST(lineHasKeysAndValues);
    CPPUNIT_TEST(lineBreaksInValuesAreEscaped);
    CPPUNIT_TEST(effectIsOrderedAfterCauseWhenClocksDiffer);
    CPPUNIT_TEST(timestampsIncreaseWhenWallClockStepsBack);
    CPPUNIT_TEST(timestampsFarAheadAreIgnored);
    CPPUNIT_TEST(ringKeepsLatestEvents);
    CPPUNIT_TEST(filterMatchesFieldsAndKind);
    CPPUNIT_TEST(concurrentEventsHaveUniqueTimestamps);
    CPPUNIT_TEST(linesPerSecondAreLimited);
    CPPUNIT_TEST_SUITE_END();

    void lineHasKeysAndValues()
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

    // A caller can send a workspace name with a line break and a forged event. Unescaped, it would
    // appear in the log as an event of the instance.
    void lineBreaksInValuesAreEscaped()
    {
        const event entry{{0, 0}, instance_id{"i"}, "k", {{"workspace", "a\nevent=\"x\""}}};
        CPPUNIT_ASSERT_EQUAL(std::string("at=1970-01-01T00:00:00.000Z/0 instance=i event=k "
                                         "workspace=\"a\\x0aevent=\\\"x\\\"\""),
                             lineOf(entry));
    }

    // B's wall clock is 5 s behind A's. A drains a runner and notifies B, which stops routing to
    // it. By wall time alone, a merged timeline would show B's event before A's. The timestamp in
    // the message must advance B's clock.
    void effectIsOrderedAfterCauseWhenClocksDiffer()
    {
        manual_clock ahead;
        manual_clock behind;
        behind.wallMs = ahead.wallMs - 5000;
        journal a(instance_id{"a"}, ahead.source(), 8);
        journal b(instance_id{"b"}, behind.source(), 8);
        const hybrid_time cause = a.emit("drain");
        b.observe(a.stamp());
        const hybrid_time effect = b.emit("drained");
        CPPUNIT_ASSERT(cause < effect);
    }

    void timestampsIncreaseWhenWallClockStepsBack()
    {
        manual_clock clock;
        journal events(instance_id{"a"}, clock.source(), 8);
        const hybrid_time before = events.emit("one");
        clock.wallMs -= 60000;
        CPPUNIT_ASSERT(before < events.emit("two"));
    }

    void timestampsFarAheadAreIgnored()
    {
        manual_clock clock;
        journal events(instance_id{"a"}, clock.source(), 8);
        events.observe({clock.wallMs + config::maxClockLead.count() + 1, 0});
        CPPUNIT_ASSERT_EQUAL(clock.wallMs, events.emit("one").wallMs);
    }

    void ringKeepsLatestEvents()
    {
        manual_clock clock;
        journal events(instance_id{"a"}, clock.source(), 3);
        for (const char *kind : {"one", "two", "three", "four", "five"})
            events.emit(kind);
        const std::vector<event> kept = events.events({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept.size());
        CPPUNIT_ASSERT_EQUAL(std::string("three"), kept.front().kind);
        CPPUNIT_ASSERT_EQUAL(std::string("five"), kept.back().kind);
    }

    void filterMatchesFieldsAndKind()
    {
        manual_clock clock;
        journal events(instance_id{"a"}, clock.source(), 8);
        events.emit("sent", {{"request", "r1"}, {"runner", "e1"}});
        events.emit("sent", {{"request", "r2"}, {"runner", "e1"}});
        events.emit("ended", {{"request", "r1"}, {"runner", "e2"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.events({"sent", "", ""}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.events({"", "r1", ""}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.events({"sent", "r1", "e1"}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, events.events({"sent", "r1", "e2"}).size());
    }

    void concurrentEventsHaveUniqueTimestamps()
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

    /// If thousands of requests fail within a second, writing a line for each would delay the
    /// requests that follow.
    void linesPerSecondAreLimited()
    {
        log_rate_limiter limiter(2);
        std::uint64_t droppedLines = 0;
        CPPUNIT_ASSERT(limiter.tryAcquire(7, droppedLines) && limiter.tryAcquire(7, droppedLines));
        CPPUNIT_ASSERT(!limiter.tryAcquire(7, droppedLines)
                       && !limiter.tryAcquire(7, droppedLines));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, droppedLines);
        CPPUNIT_ASSERT(limiter.tryAcquire(8, droppedLines));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, droppedLines);
        CPPUNIT_ASSERT(limiter.tryAcquire(8, droppedLines));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, droppedLines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_test);
