#include "poplarspool/base/clock.h"
#include "poplarspool/base/hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace poplarspool;

namespace {

std::string ownerOf(const std::vector<std::string> &owners, const std::string &key)
{
    std::string best = owners.front();
    for (const std::string &owner : owners) {
        if (rendezvousWeight(owner, key) > rendezvousWeight(best, key))
            best = owner;
    }
    return best;
}

} // namespace

class hash_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hash_test);
    CPPUNIT_TEST(sha256MatchesTestVectors);
    CPPUNIT_TEST(randomIdsDiffer);
    CPPUNIT_TEST(removedOwnerMovesOnlyItsKeys);
    CPPUNIT_TEST(monotonicTimeDoesNotGoBack);
    CPPUNIT_TEST_SUITE_END();

    void sha256MatchesTestVectors()
    {
        CPPUNIT_ASSERT_EQUAL(
                std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
                sha256Hex("abc"));
        CPPUNIT_ASSERT_EQUAL(
                std::string("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"),
                sha256Hex(""));
        CPPUNIT_ASSERT(hashOf("abc", 1) != hashOf("abc", 2));
    }

    void randomIdsDiffer()
    {
        const std::string first = randomHex128();
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, first.size());
        CPPUNIT_ASSERT(first.find_first_not_of("0123456789abcdef") == std::string::npos);
        CPPUNIT_ASSERT(first != randomHex128());
    }

    // When an instance fails, the buckets it planned for move to others. Keys whose owner is alive
    // must not move, or every failure would reassign all work at once, and the keys of the failed
    // instance must spread over all remaining owners.
    void removedOwnerMovesOnlyItsKeys()
    {
        const std::vector<std::string> before{"a", "b", "c", "d"};
        const std::vector<std::string> after{"a", "b", "d"};
        std::map<std::string, int> newOwners;
        for (int number = 0; number < 400; ++number) {
            const std::string key = "key" + std::to_string(number);
            const std::string owner = ownerOf(before, key);
            if (owner == "c")
                ++newOwners[ownerOf(after, key)];
            else
                CPPUNIT_ASSERT_EQUAL(owner, ownerOf(after, key));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, newOwners.size());
    }

    void monotonicTimeDoesNotGoBack()
    {
        const clock_source clock = systemClock();
        const mono_time first = clock.mono();
        CPPUNIT_ASSERT(clock.mono() >= first);
        CPPUNIT_ASSERT(clock.wall().time_since_epoch().count() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hash_test);
