#include "node/try_series.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;
using namespace poplarspool::node;

namespace {

/// One service runner that an operator or a planner can close.
struct dispatch_bench
{
    metrics_registry metrics;
    journal events{{"unit"}, systemClock(), 16};
    view_hub views;
    work_ledger ledger;
    dispatcher where{views, ledger, systemClock(), metrics, events};

    dispatch_bench()
    {
        auto fleet = std::make_shared<policy::inventory>();
        fleet->deployment = "unit";
        fleet->zones = {{"z"}};
        policy::pool_spec pool;
        pool.id = {"desk"};
        pool.kind = policy::runner_kind::Service;
        pool.service = "desk";
        fleet->pools = {pool};
        policy::runner_spec runner;
        runner.id = {"desk-1"};
        runner.pool = pool.id;
        runner.zone = {"z"};
        runner.address = {"127.0.0.1", 9};
        fleet->runners = {runner};
        views.update([&](policy::view &draft) {
            policy::replaceFleet(draft, fleet);
            draft.book = std::make_shared<policy::rules>();
            draft.freshUntil = mono_time::max();
            return true;
        });
    }

    result<chosen_runner> choose()
    {
        policy::route_request wanted;
        wanted.service = "desk";
        wanted.timeLeft = std::chrono::seconds(10);
        return where.choose(wanted, {});
    }

    void reserve()
    {
        views.update([](policy::view &draft) {
            draft.runners[0].isReserved = true;
            return true;
        });
    }
};

} // namespace

class dispatch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_test);
    CPPUNIT_TEST(testChoiceIsCountedInUntilAnswered);
    CPPUNIT_TEST(testClosedRunnerIsNotChosen);
    CPPUNIT_TEST(testEndCountsAsAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // A caller's stream would be cut: an instance chooses a runner, is frozen before it sends, and
    // the planner reserves the runner, takes the instance's acknowledgement for "nothing more
    // comes" and orders a role change; then the instance wakes and sends. So the instance may not
    // acknowledge the reservation while a request that it decided before is on its way.
    void testChoiceIsCountedInUntilAnswered()
    {
        dispatch_bench bench;
        const auto choice = bench.choose();
        CPPUNIT_ASSERT(succeeded(choice));
        CPPUNIT_ASSERT(!bench.ledger.hasWorkOnItsWayToClosed(*bench.views.current()));
        bench.reserve();
        CPPUNIT_ASSERT(bench.ledger.hasWorkOnItsWayToClosed(*bench.views.current()));
        valueOf(choice).work->onAnswer();
        CPPUNIT_ASSERT(!bench.ledger.hasWorkOnItsWayToClosed(*bench.views.current()));
    }

    void testClosedRunnerIsNotChosen()
    {
        dispatch_bench bench;
        bench.reserve();
        const auto choice = bench.choose();
        CPPUNIT_ASSERT(!succeeded(choice));
        CPPUNIT_ASSERT(errorOf(choice).ran == verdict::NotRun);
        CPPUNIT_ASSERT(!bench.ledger.hasWorkOnItsWayToClosed(*bench.views.current()));
    }

    void testEndCountsAsAnswer()
    {
        dispatch_bench bench;
        {
            const auto choice = bench.choose();
            CPPUNIT_ASSERT(succeeded(choice));
        }
        bench.reserve();
        CPPUNIT_ASSERT(!bench.ledger.hasWorkOnItsWayToClosed(*bench.views.current()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_test);
