#include "gateway/address_subset.h"

#include "poplarspool/base/hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace poplarspool::gateway {

namespace {

std::vector<endpoint> addressesOf(int count)
{
    std::vector<endpoint> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        made.push_back({"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 80});
    return made;
}

std::set<std::string> subsetOf(const std::vector<endpoint> &addresses, int instance)
{
    std::set<std::string> chosen;
    for (const endpoint &one : addressSubset(addresses, hashOf(std::to_string(instance))))
        chosen.insert(textOf(one));
    return chosen;
}

} // namespace

class address_subset_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(address_subset_test);
    CPPUNIT_TEST(smallZonesAreReturnedWhole);
    CPPUNIT_TEST(largeZonesAreSpreadOverAllInstances);
    CPPUNIT_TEST(repliesOfOneInstanceStayTheSame);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallZonesAreReturnedWhole()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, subsetOf(addressesOf(64), 1).size());
        CPPUNIT_ASSERT(addressSubset({}, 1).empty());
    }

    /// A zone has more instances than callers use of one reply. If all replies began with the same
    /// instances, those would get all requests of the zone, and the others none.
    void largeZonesAreSpreadOverAllInstances()
    {
        const int zone = 165;
        std::map<std::string, int> counts;
        for (int instance = 0; instance < zone; ++instance) {
            const auto chosen = subsetOf(addressesOf(zone), instance);
            CPPUNIT_ASSERT_EQUAL(std::size_t{64}, chosen.size());
            for (const std::string &one : chosen)
                ++counts[one];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{165}, counts.size());
        for (const auto &[address, count] : counts)
            CPPUNIT_ASSERT_MESSAGE(address, count >= 64 / 2 && count <= 64 * 3 / 2);
    }

    /// Callers close their connections to addresses that a new reply lacks.
    void repliesOfOneInstanceStayTheSame()
    {
        std::vector<endpoint> addresses = addressesOf(165);
        const auto before = subsetOf(addresses, 3);
        std::rotate(addresses.begin(), addresses.begin() + 50, addresses.end());
        CPPUNIT_ASSERT(before == subsetOf(addresses, 3));
        addresses.pop_back();
        std::size_t kept = 0;
        for (const std::string &one : subsetOf(addresses, 3))
            kept += before.count(one);
        CPPUNIT_ASSERT(kept >= 63);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(address_subset_test);

} // namespace poplarspool::gateway
