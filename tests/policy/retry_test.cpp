#include "poplarspool/policy/retry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace poplarspool::policy {

class retry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(retriesAreAShareOfRequests);
    CPPUNIT_TEST(anOverdrawnBudgetHasNoRoom);
    CPPUNIT_TEST(threadsShareOneBudget);
    CPPUNIT_TEST(onlyWhatMayAndCanStillWork);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A third of the engines vanish, every request fails once, and each failure is tried again:
    /// without a budget the rest of the fleet gets half as much again as it can do.
    void retriesAreAShareOfRequests()
    {
        retry_budget budget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(104, retries); // The first finds the budget full: its share is lost.
    }

    /// Engines break off while they read prompts for others. Each such call counts once it has
    /// failed, whatever the budget holds; unnoticed, they exceeded the fleet's budget by a third.
    void anOverdrawnBudgetHasNoRoom()
    {
        retry_budget budget(0.5, 1);
        CPPUNIT_ASSERT(budget.hasRoom());
        budget.takeAnyway();
        CPPUNIT_ASSERT(budget.hasRoom() && !budget.tryTake());
        budget.takeAnyway();
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

    void onlyWhatMayAndCanStillWork()
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
