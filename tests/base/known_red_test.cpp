#include "known_red.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::test {

class known_red_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(known_red_test);
    CPPUNIT_TEST(matchesOnlyFullTestNames);
    CPPUNIT_TEST(missingFileListsNoTests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A listed test must not hide a failure of another test whose name starts with the same text.
    void matchesOnlyFullTestNames()
    {
        const std::vector<std::string> lines{"a::b because", "c::d"};
        CPPUNIT_ASSERT_EQUAL(std::string("a::b because"), lineOf(lines, "a::b"));
        CPPUNIT_ASSERT_EQUAL(std::string("c::d"), lineOf(lines, "c::d"));
        for (const char *other : {"a::", "a::bc", "because", ""})
            CPPUNIT_ASSERT(lineOf(lines, other).empty());
    }

    void missingFileListsNoTests() { CPPUNIT_ASSERT(readKnownRed("no/such/file").empty()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(known_red_test);

} // namespace poplarspool::test
