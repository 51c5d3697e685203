#include "origin_fleet.h"

#include "poplarspool/base/hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::streams {

namespace {

using namespace std::chrono_literals;
using test::origin_fleet;

constexpr stream_key someStream = 0x1234;
constexpr version_key someVersion = 7;
constexpr std::size_t largeFleet = 985;

/// Whether the instance is among the first `share` of an order that is different for each draw.
bool isDrawn(std::size_t index, double share, std::uint64_t draw)
{
    return toUnitInterval(hashOf("drawn" + std::to_string(index), draw)) < share;
}

} // namespace

class origin_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(origin_registry_test);
    CPPUNIT_TEST(eachInstanceFindsWhoBeganAStream);
    CPPUNIT_TEST(originIsFoundWithoutTheInstanceThatRecordedIt);
    CPPUNIT_TEST(unknownStreamHasNoOrigin);
    CPPUNIT_TEST(recordExpiresWithItsCaller);
    CPPUNIT_TEST(renewedRecordLastsLonger);
    CPPUNIT_TEST(instanceCutOffFromTheHoldersKnowsOnlyItsOwnStreams);
    CPPUNIT_TEST(joiningInstancesDontHideRecords);
    CPPUNIT_TEST(thousandInstancesKeepRecordsWhenSixInTenEnd);
    CPPUNIT_TEST(costOfARecordIsTheSameInALargeFleet);
    CPPUNIT_TEST(malformedDatagramsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachInstanceFindsWhoBeganAStream()
    {
        origin_fleet fleet(9);
        fleet.record(3, someStream, someVersion);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(someVersion, fleet.versionAt(i, someStream));
    }

    /// Guards against records that only the instance keeps that passed the stream on.
    void originIsFoundWithoutTheInstanceThatRecordedIt()
    {
        origin_fleet fleet(6);
        fleet.record(0, someStream, someVersion);
        fleet.silent.insert(0);
        for (std::size_t i = 1; i < fleet.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(someVersion, fleet.versionAt(i, someStream));
    }

    void unknownStreamHasNoOrigin()
    {
        origin_fleet fleet(9);
        fleet.record(3, someStream, someVersion);
        CPPUNIT_ASSERT(!fleet.at(3).find(someStream + 1));
        CPPUNIT_ASSERT(!fleet.at(4).find(someStream + 1));
        CPPUNIT_ASSERT(!origin_fleet(1).at(0).find(someStream));
    }

    void recordExpiresWithItsCaller()
    {
        origin_fleet fleet(4);
        fleet.record(0, someStream, someVersion, 5s);
        fleet.now += 4999ms;
        CPPUNIT_ASSERT_EQUAL(someVersion, fleet.versionAt(2, someStream));
        fleet.now += 2ms;
        CPPUNIT_ASSERT_EQUAL(version_key{0}, fleet.versionAt(2, someStream));
        CPPUNIT_ASSERT_EQUAL(version_key{0}, fleet.versionAt(0, someStream));
    }

    void renewedRecordLastsLonger()
    {
        origin_fleet fleet(4);
        fleet.record(0, someStream, someVersion, 5s);
        fleet.now += 4s;
        fleet.record(1, someStream, someVersion, 5s);
        fleet.now += 4s;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(someVersion, fleet.versionAt(i, someStream));
    }

    void instanceCutOffFromTheHoldersKnowsOnlyItsOwnStreams()
    {
        origin_fleet fleet(9);
        fleet.record(0, someStream, someVersion);
        fleet.silent.insert(5);
        fleet.record(5, someStream + 1, someVersion);
        const bool isHolder = fleet.at(5).find(someStream).has_value();
        CPPUNIT_ASSERT(isHolder || fleet.versionAt(5, someStream) == 0);
        CPPUNIT_ASSERT_EQUAL(someVersion, fleet.versionAt(5, someStream + 1));
        CPPUNIT_ASSERT_EQUAL(version_key{0}, fleet.versionAt(6, someStream + 1));
    }

    /// Guards against asking only instances that have joined since the record was told.
    void joiningInstancesDontHideRecords()
    {
        origin_fleet fleet(20);
        for (stream_key key = 1; key <= 50; ++key)
            fleet.record(key % 20, key, someVersion);
        for (int i = 0; i < 20; ++i)
            fleet.add();
        fleet.shareList();
        for (stream_key key = 1; key <= 50; ++key)
            CPPUNIT_ASSERT_EQUAL(someVersion, fleet.versionAt(25, key));
    }

    /// Guards against refused take-ups after a large part of a large fleet has been killed at once:
    /// nineteen in twenty records outlive it, though all of the streams' own instances are gone.
    void thousandInstancesKeepRecordsWhenSixInTenEnd()
    {
        origin_fleet fleet(largeFleet);
        constexpr stream_key streams = 1000;
        for (stream_key key = 1; key <= streams; ++key)
            fleet.record(key % 10, key, key);
        for (std::size_t i = 0; i < largeFleet; ++i) {
            if (i < 10 || isDrawn(i, 0.6, 1))
                fleet.restart(i);
        }
        int found = 0;
        for (stream_key key = 1; key <= streams; ++key) {
            const version_key version = fleet.versionAt(10 + key % (largeFleet - 10), key);
            CPPUNIT_ASSERT(version == key || version == 0);
            found += version == key ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(found) + " of 1000 found", found >= 940);
    }

    /// Guards against telling records to all instances.
    void costOfARecordIsTheSameInALargeFleet()
    {
        origin_fleet fleet(largeFleet);
        fleet.record(0, someStream, someVersion);
        CPPUNIT_ASSERT_EQUAL(config::originHolders, fleet.datagrams);
        CPPUNIT_ASSERT(fleet.bytes <= config::originHolders * 128);
        const std::size_t before = fleet.datagrams;
        fleet.versionAt(500, someStream + 1);
        CPPUNIT_ASSERT(fleet.datagrams - before <= 2 * config::askedOriginHolders);
    }

    void malformedDatagramsAreRejected()
    {
        origin_fleet fleet(2);
        for (const std::string &payload : {std::string(), std::string("\x05"),
                                           std::string("\x00\x01", 2), std::string(200, 'x')})
            CPPUNIT_ASSERT(!fleet.at(0).receive(1, payload));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(origin_registry_test);

} // namespace poplarspool::streams
