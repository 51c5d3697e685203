#include "gateway/cache_holders.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

bool isHolder(const cache_holders &holders, std::uint32_t part, std::uint32_t runner)
{
    const auto found = holders.holdersOf(part);
    return std::ranges::find(found, runner) != found.end();
}

} // namespace

class cache_holders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cache_holders_test);
    CPPUNIT_TEST(holdersAreFoundByPart);
    CPPUNIT_TEST(newestHoldersAreKept);
    CPPUNIT_TEST(partsInUseOutlastOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdersAreFoundByPart()
    {
        cache_holders holders;
        holders.add(1, 10);
        holders.add(1, 11);
        holders.add(1, 10);
        holders.add(2, 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, holders.holdersOf(1).size());
        CPPUNIT_ASSERT(isHolder(holders, 1, 10) && isHolder(holders, 1, 11));
        CPPUNIT_ASSERT(holders.holdersOf(3).empty());
    }

    /// A part that all prompts share is on every engine of the fleet.
    void newestHoldersAreKept()
    {
        cache_holders holders;
        for (std::uint32_t runner = 0; runner < 10'000; ++runner)
            holders.add(1, runner);
        CPPUNIT_ASSERT(holders.holdersOf(1).size() < 20);
        CPPUNIT_ASSERT(isHolder(holders, 1, 9'999) && !isHolder(holders, 1, 0));
    }

    /// Prompts change for as long as the process runs: old parts must make room, but not those that
    /// are still in use.
    void partsInUseOutlastOthers()
    {
        cache_holders holders;
        holders.add(1, 10);
        for (std::uint32_t part = 2; part < 10 * config::maxHeldParts; ++part) {
            holders.add(part, 11);
            if (part % (config::maxHeldParts / 2) == 0)
                holders.add(1, 12);
        }
        CPPUNIT_ASSERT(isHolder(holders, 1, 10));
        CPPUNIT_ASSERT(holders.holdersOf(2).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cache_holders_test);

} // namespace poplarspool::gateway
