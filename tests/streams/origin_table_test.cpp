#include "streams/origin_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::streams {

namespace {

using namespace std::chrono_literals;

constexpr mono_time start{std::chrono::hours(1)};

stream_origin originAt(version_key version, mono_time now, milliseconds valid = 5s)
{
    return {version, now, now + valid};
}

} // namespace

class origin_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(origin_table_test);
    CPPUNIT_TEST(streamsWithOneKeyAreNotKnown);
    CPPUNIT_TEST(keyOfAnExpiredStreamIsFree);
    CPPUNIT_TEST(floodOfIdsCostsTheOldestRecords);
    CPPUNIT_TEST(expiredRecordsAreRemoved);
    CPPUNIT_TEST(renewalsDontGrowTheTable);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a wrong version after a caller has used one id for two streams.
    void streamsWithOneKeyAreNotKnown()
    {
        origin_table table;
        table.record(1, originAt(7, start), start);
        table.record(1, originAt(7, start + 1s), start + 1s);
        CPPUNIT_ASSERT_EQUAL(version_key{7}, table.find(1, start + 1s)->version);
        table.record(1, originAt(8, start + 2s), start + 2s);
        CPPUNIT_ASSERT(!table.find(1, start + 2s));
        table.record(1, originAt(8, start + 3s), start + 3s);
        CPPUNIT_ASSERT(!table.find(1, start + 3s));
    }

    void keyOfAnExpiredStreamIsFree()
    {
        origin_table table;
        table.record(1, originAt(7, start), start);
        table.record(1, originAt(8, start + 5s), start + 5s);
        CPPUNIT_ASSERT_EQUAL(version_key{8}, table.find(1, start + 6s)->version);
    }

    /// Guards against memory that grows with the ids that callers make up.
    void floodOfIdsCostsTheOldestRecords()
    {
        origin_table table(100);
        std::size_t evicted = 0;
        for (stream_key key = 0; key < 1000; ++key)
            evicted += table.record(key, originAt(7, start), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{900}, evicted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, table.size());
        CPPUNIT_ASSERT(!table.find(899, start) && table.find(900, start));
    }

    void expiredRecordsAreRemoved()
    {
        origin_table table;
        for (stream_key key = 0; key < 100; ++key)
            table.record(key, originAt(7, start), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             table.record(1000, originAt(7, start + 5s), start + 5s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
    }

    void renewalsDontGrowTheTable()
    {
        origin_table table(10);
        mono_time now = start;
        for (int i = 0; i < 1000; ++i) {
            now += 1ms;
            table.record(1, originAt(7, now), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
        CPPUNIT_ASSERT_EQUAL(version_key{7}, table.find(1, now)->version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(origin_table_test);

} // namespace poplarspool::streams
