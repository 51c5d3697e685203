#include "caller/service_path.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::caller {

class service_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_path_test);
    CPPUNIT_TEST(targetIsSplitIntoServiceAndPath);
    CPPUNIT_TEST(escapedUnreservedCharactersAreDecoded);
    CPPUNIT_TEST(nonCanonicalPathsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void targetIsSplitIntoServiceAndPath()
    {
        assertTarget("portal", "portal", "/");
        assertTarget("portal/", "portal", "/");
        assertTarget("portal?a=1", "portal", "/?a=1");
        assertTarget("portal/receipts/7?next=/a/../b&x=%2F", "portal",
                     "/receipts/7?next=/a/../b&x=%2F");
        assertTarget("portal/receipts/", "portal", "/receipts/");
    }

    void escapedUnreservedCharactersAreDecoded()
    {
        assertTarget("portal/%72eceipts", "portal", "/receipts");
        assertTarget("portal/a%20b%3F", "portal", "/a%20b%3F");
    }

    // A rule forbids retries of calls under /receipts. The service would resolve some of these
    // paths to /receipts/7 or another path under that prefix while the rule does not match them,
    // and a retry would create a receipt twice. They must be rejected with BadRequest, status 400.
    void nonCanonicalPathsAreRejected()
    {
        for (const char *target :
             {"", "/receipts/7", "portal/x/../receipts/7", "portal/./receipts/7",
              "portal//receipts", "portal/%2e%2E/receipts", "portal/x%2freceipts",
              "portal/x%5Creceipts", "portal/x\\receipts", "portal/%7", "portal/%zz", "portal/%00",
              "por%74al/x", "portal/receipts/.."}) {
            const auto parsed = parseServiceTarget(target);
            CPPUNIT_ASSERT_MESSAGE(target, !succeeded(parsed));
            CPPUNIT_ASSERT(errorOf(parsed).ran == verdict::NotRun);
        }
    }

private:
    static void assertTarget(const std::string &target, const std::string &service,
                             const std::string &path)
    {
        const auto parsed = parseServiceTarget(target);
        CPPUNIT_ASSERT_MESSAGE(target, succeeded(parsed));
        CPPUNIT_ASSERT_EQUAL(service, valueOf(parsed).service);
        CPPUNIT_ASSERT_EQUAL(path, valueOf(parsed).path);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_path_test);

} // namespace poplarspool::caller
