#include "poplarspool/base/result.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;

class result_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(result_test);
    CPPUNIT_TEST(everyErrorCodeHasAUniqueName);
    CPPUNIT_TEST(verdictsAreNamedAsOnTheWire);
    CPPUNIT_TEST_SUITE_END();

    void everyErrorCodeHasAUniqueName()
    {
        for (int number = 0; number <= static_cast<int>(error_code::Internal); ++number) {
            const auto code = static_cast<error_code>(number);
            CPPUNIT_ASSERT(errorCodeOf(nameOf(code)) == code);
        }
        CPPUNIT_ASSERT(errorCodeOf("no_such_code") == error_code::Internal);
    }

    void verdictsAreNamedAsOnTheWire()
    {
        CPPUNIT_ASSERT(nameOf(verdict::NotRun) == "not_run");
        CPPUNIT_ASSERT(nameOf(verdict::MayHaveRun) == "may_have_run");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_test);
