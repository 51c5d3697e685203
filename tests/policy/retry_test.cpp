#include "poplarspool/policy/limits.h"
#include "poplarspool/policy/retry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace poplarspool::policy {

class retry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(retriesAreAShareOfRequests);
    CPPUNIT_TEST(overdrawnBudgetHasNoRoom);
    CPPUNIT_TEST(threadsShareOneBudget);
    CPPUNIT_TEST(onlyRetryableFailuresAreRetried);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A third of the engines fail, every request fails once, and each failure is retried: without
    /// a budget the remaining engines receive half as much again as they can serve.
    void retriesAreAShareOfRequests()
    {
        retry_budget budget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        // The budget is full at the first request, so its share is lost.
        CPPUNIT_ASSERT_EQUAL(104, retries);
    }

    /// Engines fail during prefill for another engine. Each such failure is deducted regardless of
    /// the balance; when they were not counted, retries exceeded the fleet's budget by a third.
    void overdrawnBudgetHasNoRoom()
    {
        retry_budget budget(0.5, 1);
        CPPUNIT_ASSERT(budget.hasRoom());
        budget.takeUnconditionally();
        CPPUNIT_ASSERT(budget.hasRoom() && !budget.tryTake());
        budget.takeUnconditionally();
        CPPUNIT_ASSERT(!budget.hasRoom());
        budget.onRequest();
        budget.onRequest();
        CPPUNIT_ASSERT(budget.hasRoom() && !budget.tryTake());
    }

    void threadsShareOneBudget()
    {
        constexpr int threadCount = 4;
        retry_budget budget(0, 20);
        std::vector<int> taken(threadCount);
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int i = 0; i < threadCount; ++i)
            threads.emplace_back([&budget, &mine = taken[i]] {
                for (int k = 0; k < 1000; ++k) {
                    budget.onRequest();
                    mine += budget.tryTake() ? 1 : 0;
                }
            });
        for (std::thread &thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(20, taken[0] + taken[1] + taken[2] + taken[3]);
    }

    void onlyRetryableFailuresAreRetried()
    {
        const milliseconds left(100);
        const error refused = notRun(error_code::Unavailable, "");
        const error broken = mayHaveRun(error_code::Broken, "");
        CPPUNIT_ASSERT(mayRetry(refused, false, 1, left));
        CPPUNIT_ASSERT(mayRetry(broken, true, 1, left));
        CPPUNIT_ASSERT(!mayRetry(broken, false, 1, left));
        CPPUNIT_ASSERT(!mayRetry(refused, true, config::maxTries, left));
        CPPUNIT_ASSERT(!mayRetry(refused, true, 1, milliseconds(0)));
        for (const error_code code :
             {error_code::BadRequest, error_code::Cancelled, error_code::Conflict,
              error_code::Duplicate, error_code::NotFound, error_code::TooLarge})
            CPPUNIT_ASSERT(!mayRetry(notRun(code, ""), true, 1, left));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);

} // namespace poplarspool::policy
