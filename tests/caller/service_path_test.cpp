#include "caller/service_path.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::caller {

class service_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_path_test);
    CPPUNIT_TEST(takesTargetsApart);
    CPPUNIT_TEST(givesOnePlaceOneForm);
    CPPUNIT_TEST(refusesOtherFormsOfAPlace);
    CPPUNIT_TEST_SUITE_END();

public:
    void takesTargetsApart()
    {
        assertTarget("portal", "portal", "/");
        assertTarget("portal/", "portal", "/");
        assertTarget("portal?a=1", "portal", "/?a=1");
        assertTarget("portal/receipts/7?next=/a/../b&x=%2F", "portal",
                     "/receipts/7?next=/a/../b&x=%2F");
        assertTarget("portal/receipts/", "portal", "/receipts/");
    }

    void givesOnePlaceOneForm()
    {
        assertTarget("portal/%72eceipts", "portal", "/receipts");
        assertTarget("portal/a%20b%3F", "portal", "/a%20b%3F");
    }

    // The caller sees 400. A rule says that calls under /receipts never repeat; the service would
    // take each of these for /receipts/7 or below, the rule would not, and a retry would make the
    // receipt twice.
    void refusesOtherFormsOfAPlace()
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
