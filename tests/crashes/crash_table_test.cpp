#include "crashes/crash_table.h"

#include "poplarspool/crashes/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::crashes {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t start = 1'000'000;

ended_incarnation endOf(std::uint64_t key, std::int64_t at = start)
{
    return {key, at};
}

crash_record recordOf(std::uint64_t digest, const std::vector<std::uint64_t> &keys)
{
    crash_record made{digest, {}, 0};
    for (const std::uint64_t key : keys)
        made = merged(made, {digest, {endOf(key)}, 0});
    return made;
}

bool isQuarantined(const crash_table &table, std::uint64_t digest, std::int64_t now = start)
{
    return table.quarantineOf({digest, {}}, now).has_value();
}

} // namespace

class crash_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_table_test);
    CPPUNIT_TEST(eachEndIsCountedOnce);
    CPPUNIT_TEST(updatesMayArriveInAnyOrder);
    CPPUNIT_TEST(requestIsQuarantinedAfterThreeEnds);
    CPPUNIT_TEST(completedRequestIsReleased);
    CPPUNIT_TEST(endsOfAQuarantinedRequestDoNotCountForOthers);
    CPPUNIT_TEST(requestsWithTheSameEndsAreQuarantinedTogether);
    CPPUNIT_TEST(causeIsQuarantinedAfterThreeEndsDespiteOtherRequests);
    CPPUNIT_TEST(furtherEndsOfOthersReleaseNoRequest);
    CPPUNIT_TEST(quarantineEndsAndGrows);
    CPPUNIT_TEST(requestIsSentThreeTimesInTheFirstDay);
    CPPUNIT_TEST(restartUnderTheSameIdIsANewIncarnation);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(fingerprintCoversOnlyQuarantine);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachEndIsCountedOnce()
    {
        crash_table table;
        CPPUNIT_ASSERT(table.recordEnd(7, endOf(1)));
        CPPUNIT_ASSERT(!table.recordEnd(7, endOf(1)));
        CPPUNIT_ASSERT(!table.merge({recordOf(7, {1})}));
        table.merge({recordOf(7, {1, 2})});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.countEnds(7).incarnations);
        CPPUNIT_ASSERT(!isQuarantined(table, 7));
    }

    void updatesMayArriveInAnyOrder()
    {
        std::mt19937_64 random(11);
        for (int round = 0; round < 200; ++round) {
            std::vector<crash_record> updates;
            updates.reserve(12);
            for (int i = 0; i < 12; ++i)
                updates.push_back({random() % 3,
                                   {endOf(random() % 6, start + static_cast<int>(random() % 9))},
                                   random() % 4 == 0 ? start + 2 : 0});
            crash_table sequential;
            for (const crash_record &each : updates)
                sequential.merge({each});
            crash_table shuffled;
            std::shuffle(updates.begin(), updates.end(), random);
            shuffled.merge(updates);
            shuffled.merge({updates.front()});
            for (std::uint64_t digest = 0; digest < 3; ++digest) {
                CPPUNIT_ASSERT(sequential.find(digest) == shuffled.find(digest));
                // The records are equal in any order. One by one, more requests may have been
                // quarantined meanwhile, never fewer.
                CPPUNIT_ASSERT(!isQuarantined(shuffled, digest)
                               || isQuarantined(sequential, digest));
            }
        }
    }

    void requestIsQuarantinedAfterThreeEnds()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2})});
        CPPUNIT_ASSERT(!isQuarantined(table, 7));
        table.recordEnd(7, endOf(3));
        CPPUNIT_ASSERT(isQuarantined(table, 7));
        CPPUNIT_ASSERT(!isQuarantined(table, 8));
        CPPUNIT_ASSERT(table.hasEnded(3) && !table.hasEnded(4));
    }

    void completedRequestIsReleased()
    {
        crash_table table;
        CPPUNIT_ASSERT(table.recordServed({7, {}}, table.endsKnown()).empty());
        table.merge({recordOf(7, {1, 2, 3})});
        CPPUNIT_ASSERT(!table.recordServed({7, {}}, table.endsKnown()).empty());
        CPPUNIT_ASSERT(!isQuarantined(table, 7));
        table.merge({recordOf(7, {1, 2, 3})});
        CPPUNIT_ASSERT(!isQuarantined(table, 7));
        table.recordEnd(7, endOf(4, start + 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.countEnds(7).incarnations);
    }

    /// Requests that ran beside the one that crashes runners are recorded at the same ends, and
    /// would be refused with it.
    void endsOfAQuarantinedRequestDoNotCountForOthers()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2, 3, 4}), recordOf(8, {2, 3, 4}), recordOf(9, {3, 5})});
        CPPUNIT_ASSERT(isQuarantined(table, 7));
        CPPUNIT_ASSERT(!isQuarantined(table, 8));
        table.recordEnd(9, endOf(6));
        CPPUNIT_ASSERT(!isQuarantined(table, 9));
        table.recordEnd(9, endOf(7));
        CPPUNIT_ASSERT(isQuarantined(table, 9));
    }

    /// If one of two requests with the same ends excused the other, the one that crashes runners
    /// could be released and would go on.
    void requestsWithTheSameEndsAreQuarantinedTogether()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2, 3}), recordOf(8, {1, 2, 3}), recordOf(9, {1, 2})});
        CPPUNIT_ASSERT(isQuarantined(table, 7) && isQuarantined(table, 8)
                       && !isQuarantined(table, 9));
        CPPUNIT_ASSERT(!table.recordServed({7, {}}, table.endsKnown()).empty());
        CPPUNIT_ASSERT(!isQuarantined(table, 7) && isQuarantined(table, 8));
    }

    void causeIsQuarantinedAfterThreeEndsDespiteOtherRequests()
    {
        std::mt19937_64 random(3);
        for (int round = 0; round < 300; ++round) {
            crash_table table;
            const std::uint64_t cause = 100 + random() % 20;
            std::uint64_t key = 0;
            for (; !isQuarantined(table, cause) && key < 50; ++key) {
                table.recordEnd(cause, endOf(key));
                for (std::uint64_t innocent = 100; innocent < 126; ++innocent) {
                    if (innocent != cause && random() % 10 < 9)
                        table.recordEnd(innocent, endOf(key));
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{config::quarantineIncarnations}, key);
        }
    }

    void furtherEndsOfOthersReleaseNoRequest()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2, 3}), recordOf(8, {1, 2, 3})});
        table.recordEnd(8, endOf(4));
        CPPUNIT_ASSERT(isQuarantined(table, 7) && isQuarantined(table, 8));
    }

    void quarantineEndsAndGrows()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2, 3})});
        const std::int64_t end = start + config::initialQuarantineTime.count();
        CPPUNIT_ASSERT(isQuarantined(table, 7, end - 1));
        CPPUNIT_ASSERT(!isQuarantined(table, 7, end));
        table.recordEnd(7, endOf(4, end));
        const std::int64_t next =
                end + (config::quarantineGrowth * config::initialQuarantineTime).count();
        CPPUNIT_ASSERT(isQuarantined(table, 7, next - 1));
        CPPUNIT_ASSERT(!isQuarantined(table, 7, next));
        for (std::uint64_t key = 5; key < 40; ++key)
            table.recordEnd(7, endOf(key, end));
        CPPUNIT_ASSERT(table.quarantineOf({7, {}}, end)->remaining == config::maxQuarantineTime);
    }

    /// Limits how many runners a request can crash whose caller keeps retrying.
    void requestIsSentThreeTimesInTheFirstDay()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2, 3})});
        int crashes = 0;
        for (std::int64_t now = start; now < start + milliseconds(24h).count(); now += 60'000) {
            if (!isQuarantined(table, 7, now))
                table.recordEnd(
                        7, endOf(std::uint64_t{10} + static_cast<std::uint64_t>(crashes++), now));
        }
        CPPUNIT_ASSERT_EQUAL(3, crashes);
    }

    void restartUnderTheSameIdIsANewIncarnation()
    {
        observed_runner first;
        first.id.text = "i-1";
        first.startedAtMs = 5;
        observed_runner second = first;
        second.startedAtMs = 6;
        CPPUNIT_ASSERT(incarnationKeyOf(first) != incarnationKeyOf(second));
    }

    void memoryIsBounded()
    {
        crash_table table;
        table.merge({recordOf(1, {1, 2, 3})});
        for (std::uint64_t digest = 2; digest < 2 * config::maxCrashRecords; ++digest)
            table.recordEnd(digest, endOf(9, start + static_cast<std::int64_t>(digest)));
        CPPUNIT_ASSERT(isQuarantined(table, 1));
        CPPUNIT_ASSERT(!table.find(2));
        CPPUNIT_ASSERT(table.find(2 * config::maxCrashRecords - 1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.persistentRecords().size());
    }

    void fingerprintCoversOnlyQuarantine()
    {
        crash_table table;
        table.merge({recordOf(7, {1, 2})});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.fingerprintAt(start));
        table.recordEnd(7, endOf(3));
        CPPUNIT_ASSERT(table.fingerprintAt(start) != 0);
        CPPUNIT_ASSERT(table.fingerprintAt(start) >> config::quarantineFingerprintBits == 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             table.fingerprintAt(start + config::initialQuarantineTime.count()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_table_test);

} // namespace poplarspool::crashes
