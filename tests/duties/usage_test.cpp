#include "poplarspool/duties/usage.h"

#include "poplarspool/duties/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

wall_time at(std::int64_t sinceMs)
{
    return wall_time(milliseconds(sinceMs));
}

usage_counts noCounts(window_number)
{
    return {};
}

usage_counts countsByWindow(window_number window)
{
    return {{{"a"}, window}};
}

} // namespace

class usage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_test);
    CPPUNIT_TEST(windowsAreCountedFromTheStartOf1970);
    CPPUNIT_TEST(countsOfAllIncarnationsAreAdded);
    CPPUNIT_TEST(mergeIsIdempotentAndOrderIndependent);
    CPPUNIT_TEST(changedCountsAreSentRepeatedly);
    CPPUNIT_TEST(manyWorkspacesAreSentInParts);
    CPPUNIT_TEST(windowIsCompleteWhenAllCountsAreReceived);
    CPPUNIT_TEST(oldWindowsAreRemoved);
    CPPUNIT_TEST(checkpointSurvivesEncoding);
    CPPUNIT_TEST(firstCheckpointContainsDueWindow);
    CPPUNIT_TEST(eachWindowIsReportedOnce);
    CPPUNIT_TEST(unconfirmedReportsAreKeptUnchanged);
    CPPUNIT_TEST(windowsLostInRollbackAreSkipped);
    CPPUNIT_TEST(malformedCheckpointSettlesAllEarlierWindows);
    CPPUNIT_TEST_SUITE_END();

public:
    void windowsAreCountedFromTheStartOf1970()
    {
        CPPUNIT_ASSERT_EQUAL(window_number{2}, windowAt(at(10'000), 5s));
        CPPUNIT_ASSERT_EQUAL(window_number{1}, windowAt(at(9'999), 5s));
        CPPUNIT_ASSERT_EQUAL(window_number{0}, windowAt(at(-7), 5s));
        CPPUNIT_ASSERT(endOf(1, 5s) == at(10'000));
    }

    void countsOfAllIncarnationsAreAdded()
    {
        usage_table table(1);
        table.recordRequestStart(7, {"a"});
        table.recordRequestStart(7, {"a"});
        table.recordRequestStart(8, {"a"});
        table.merge({2, 7, {{{"a"}, 5}, {{"b"}, 1}}});
        table.merge({3, 7, {{{"b"}, 2}}});
        CPPUNIT_ASSERT(table.totalOf(7) == (usage_counts{{{"a"}, 7}, {{"b"}, 3}}));
        CPPUNIT_ASSERT(table.totalOf(9).empty());
    }

    /// Guards against counts that are added twice when datagrams are delayed, duplicated or lost.
    void mergeIsIdempotentAndOrderIndependent()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            std::mt19937_64 random(seed);
            std::vector<incarnation_usage> received;
            for (std::uint64_t i = 0; i < 200; ++i)
                received.push_back({2 + random() % 5, random() % 3, {{{"a"}, random() % 50}}});
            usage_table once(1);
            usage_table repeated(1);
            for (const incarnation_usage &one : received)
                once.merge(one);
            std::vector<incarnation_usage> duplicated = received;
            duplicated.insert(duplicated.end(), received.begin(), received.end());
            std::shuffle(duplicated.begin(), duplicated.end(), random);
            for (const incarnation_usage &one : duplicated)
                repeated.merge(one);
            for (window_number window = 0; window < 3; ++window)
                CPPUNIT_ASSERT(once.totalOf(window) == repeated.totalOf(window));
        }
    }

    void changedCountsAreSentRepeatedly()
    {
        usage_table table(1);
        table.recordRequestStart(7, {"a"});
        for (std::uint32_t i = 0; i < config::usageUpdateRepeats; ++i)
            CPPUNIT_ASSERT(table.collect(false)
                           == (std::vector<incarnation_usage>{{1, 7, {{{"a"}, 1}}}}));
        CPPUNIT_ASSERT(table.collect(false).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.collect(true).size());
        table.recordRequestStart(7, {"a"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, table.collect(false)[0].counts[0].second);
    }

    void manyWorkspacesAreSentInParts()
    {
        usage_table table(1);
        usage_table other(2);
        for (int i = 0; i < 2'000; ++i)
            table.recordRequestStart(7, {"workspace-" + std::to_string(i)});
        for (const incarnation_usage &part : table.collect(true)) {
            std::size_t bytes = 0;
            for (const auto &entry : part.counts)
                bytes += entry.first.text.size() + 3;
            CPPUNIT_ASSERT(bytes <= config::usageBytesPerDatagram);
            other.merge(part);
        }
        CPPUNIT_ASSERT(other.totalOf(7) == table.totalOf(7));
    }

    /// Guards against a report without the counts of an instance that is temporarily disconnected.
    void windowIsCompleteWhenAllCountsAreReceived()
    {
        usage_table table(1);
        CPPUNIT_ASSERT(table.isComplete(7, at(40'000)));
        table.merge({2, 7, {{{"a"}, 1}}});
        table.recordReceivedUpTo(2, at(39'000), false);
        CPPUNIT_ASSERT(!table.isComplete(7, at(40'000)));
        CPPUNIT_ASSERT(table.isComplete(8, at(40'000)));
        table.recordReceivedUpTo(2, at(40'100), false);
        CPPUNIT_ASSERT(table.isComplete(7, at(40'000)));
        table.merge({3, 7, {{{"a"}, 1}}});
        CPPUNIT_ASSERT(!table.isComplete(7, at(40'000)));
        table.recordReceivedUpTo(3, at(39'000), true);
        CPPUNIT_ASSERT(table.isComplete(7, at(40'000)));
    }

    void oldWindowsAreRemoved()
    {
        usage_table table(1);
        table.recordRequestStart(7, {"a"});
        table.merge({2, 7, {{{"a"}, 1}}});
        table.forgetBefore(8);
        CPPUNIT_ASSERT(table.totalOf(7).empty() && table.collect(true).empty());
        CPPUNIT_ASSERT(table.isComplete(7, at(40'000)));
    }

    void checkpointSurvivesEncoding()
    {
        const usage_checkpoint checkpoint{3, 9, {{8, {{{"a"}, 5}, {{"\u0c15"}, 1}}}, {9, {}}}};
        CPPUNIT_ASSERT(decodeUsageCheckpoint(encode(checkpoint)) == checkpoint);
        // A workspace name that isn't valid UTF-8 must not prevent the report of the others.
        const usage_checkpoint invalid{3, 9, {{9, {{{"\xff"}, 5}, {{"a"}, 1}}}}};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             decodeUsageCheckpoint(encode(invalid))->reports[0].counts.at({"a"}));
        for (const char *text : {"", "{", "[]", "{\"epoch\":-1,\"settled\":1,\"reports\":[]}",
                                 "{\"epoch\":1,\"settled\":1,\"reports\":[{\"window\":1}]}"})
            CPPUNIT_ASSERT_MESSAGE(text, !decodeUsageCheckpoint(text));
    }

    void firstCheckpointContainsDueWindow()
    {
        const usage_checkpoint first = nextCheckpoint({}, {0, true, 11, 10, {}}, countsByWindow);
        CPPUNIT_ASSERT(first == (usage_checkpoint{0, 10, {{10, {{{"a"}, 10}}}}}));
    }

    void eachWindowIsReportedOnce()
    {
        const usage_checkpoint before{0, 10, {{10, {}}}};
        const usage_checkpoint next =
                nextCheckpoint(before, {0, false, 13, 12, 10}, countsByWindow);
        CPPUNIT_ASSERT(next
                       == (usage_checkpoint{0, 12, {{11, {{{"a"}, 11}}}, {12, {{{"a"}, 12}}}}}));
        // Older windows are skipped, since their reports would be too late anyway.
        const usage_checkpoint late = nextCheckpoint(before, {0, false, 31, 30, 10}, noCounts);
        CPPUNIT_ASSERT_EQUAL(window_number{28}, late.reports.front().window);
        CPPUNIT_ASSERT_EQUAL(window_number{30}, late.settled);
        // Nothing is due.
        const usage_checkpoint same = nextCheckpoint(before, {0, false, 11, 10, 10}, noCounts);
        CPPUNIT_ASSERT(same == (usage_checkpoint{0, 10, {}}));
        const usage_checkpoint slow = nextCheckpoint(before, {0, false, 10, 9, 10}, noCounts);
        CPPUNIT_ASSERT(slow == (usage_checkpoint{0, 10, {}}));
    }

    /// The holder crashes after its write. Its successor has other counts and can't know whether
    /// the report was sent.
    void unconfirmedReportsAreKeptUnchanged()
    {
        const usage_checkpoint before{0, 10, {{9, {}}, {10, {{{"a"}, 4}}}}};
        const usage_checkpoint next =
                nextCheckpoint(before, {0, false, 12, 11, {}}, countsByWindow);
        CPPUNIT_ASSERT(
                next
                == (usage_checkpoint{0, 11, {{9, {}}, {10, {{{"a"}, 4}}}, {11, {{{"a"}, 11}}}}}));
        const usage_checkpoint known =
                nextCheckpoint(before, {0, false, 12, 11, 9}, countsByWindow);
        CPPUNIT_ASSERT_EQUAL(window_number{10}, known.reports.front().window);
    }

    /// A store rollback removes the checkpoint of a report that was sent. A new report of that
    /// window would have other counts.
    void windowsLostInRollbackAreSkipped()
    {
        const usage_checkpoint before{0, 8, {{8, {{{"a"}, 4}}}}};
        const usage_checkpoint next =
                nextCheckpoint(before, {1, false, 12, 11, {}}, countsByWindow);
        CPPUNIT_ASSERT(next == (usage_checkpoint{1, 12, {{8, {{{"a"}, 4}}}}}));
        const usage_checkpoint after = nextCheckpoint(next, {1, false, 14, 13, 8}, countsByWindow);
        CPPUNIT_ASSERT(after == (usage_checkpoint{1, 13, {{13, {{{"a"}, 13}}}}}));
        CPPUNIT_ASSERT(nextCheckpoint({}, {1, true, 12, 11, {}}, countsByWindow)
                       == (usage_checkpoint{1, 12, {}}));
    }

    void malformedCheckpointSettlesAllEarlierWindows()
    {
        CPPUNIT_ASSERT(nextCheckpoint({}, {0, false, 12, 11, {}}, countsByWindow)
                       == (usage_checkpoint{0, 12, {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_test);

} // namespace poplarspool::duties
