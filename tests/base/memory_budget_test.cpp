#include "poplarspool/base/memory_budget.h"

#include "poplarspool/base/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace poplarspool {

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
constexpr std::size_t budgetBytes = 8 * mebibyte;

} // namespace

class memory_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_budget_test);
    CPPUNIT_TEST(budgetIsNeverExceeded);
    CPPUNIT_TEST(lastPartIsKeptForSmallRequests);
    CPPUNIT_TEST(endOfARequestReleasesItsBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a process that is killed because its requests hold more than its memory.
    void budgetIsNeverExceeded()
    {
        memory_reservation first(&budget);
        CPPUNIT_ASSERT(first.extend(4 * mebibyte));
        memory_reservation second(&budget);
        CPPUNIT_ASSERT(!second.extend(4 * mebibyte));
        CPPUNIT_ASSERT(second.extend(2 * mebibyte));
        CPPUNIT_ASSERT(!first.extend(1));
        CPPUNIT_ASSERT(!second.extend(std::string::npos));
    }

    /// Guards against small requests that are turned away because of a few large ones.
    void lastPartIsKeptForSmallRequests()
    {
        memory_reservation large(&budget);
        CPPUNIT_ASSERT(large.extend(6 * mebibyte));
        memory_reservation small(&budget);
        CPPUNIT_ASSERT(small.extend(config::smallRequestBytes));
        CPPUNIT_ASSERT(!small.extend(1));
    }

    void endOfARequestReleasesItsBytes()
    {
        {
            memory_reservation ended(&budget);
            CPPUNIT_ASSERT(ended.extend(6 * mebibyte));
        }
        memory_reservation next(&budget);
        CPPUNIT_ASSERT(next.extend(6 * mebibyte));
    }

private:
    metrics_registry metrics;
    memory_budget budget{budgetBytes, metrics};
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

} // namespace poplarspool
