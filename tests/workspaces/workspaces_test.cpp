#include "poplarspool/workspaces/workspaces.h"

#include "poplarspool/workspaces/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace poplarspool::workspaces {

class workspaces_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workspaces_test);
    CPPUNIT_TEST(keyOfExpectedSchemeIsRead);
    CPPUNIT_TEST(malformedValueYieldsNoKey);
    CPPUNIT_TEST(keyMapsToItsWorkspace);
    CPPUNIT_TEST(sharedKeyBelongsToFirstWorkspace);
    CPPUNIT_TEST_SUITE_END();

public:
    void keyOfExpectedSchemeIsRead()
    {
        const key_digest key = digest128Of("k-1");
        CPPUNIT_ASSERT(readKey("Token", "Token k-1") == key);
        CPPUNIT_ASSERT(readKey("Token", "  tOKEN   k-1 ") == key);
    }

    void malformedValueYieldsNoKey()
    {
        const std::string huge(config::maxWorkspaceKeyBytes + 1, 'k');
        for (const std::string &value :
             {std::string(), std::string("Token"), std::string("Token "), std::string("Tokenk-1"),
              std::string("Bearer k-1"), std::string("k-1"), "Token " + huge})
            CPPUNIT_ASSERT_MESSAGE(value, !readKey("Token", value));
    }

    void keyMapsToItsWorkspace()
    {
        const std::vector<workspace> all{{{"a"}, {digest128Of("k-1"), digest128Of("k-2")}, {}},
                                         {{"b"}, {digest128Of("k-3")}, 1}};
        const key_index index = indexOf(all);
        CPPUNIT_ASSERT_EQUAL(0U, index.at(digest128Of("k-2")));
        CPPUNIT_ASSERT_EQUAL(1U, index.at(digest128Of("k-3")));
        CPPUNIT_ASSERT(!index.contains(digest128Of("k-4")));
    }

    void sharedKeyBelongsToFirstWorkspace()
    {
        const key_digest key = digest128Of("k-1");
        CPPUNIT_ASSERT_EQUAL(0U, indexOf({{{"a"}, {key}, {}}, {{"b"}, {key}, {}}}).at(key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspaces_test);

} // namespace poplarspool::workspaces
