#include "node/try_series.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;
using namespace poplarspool::node;

namespace {

/// One service runner that can be closed by an operator or a planner.
struct dispatch_fixture
{
    metrics_registry metrics;
    journal events{{"unit"}, systemClock(), 16};
    view_publisher views;
    sent_work_table sentWork;
    dispatcher dispatch{views, sentWork, systemClock(), metrics, events};

    dispatch_fixture()
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
            draft.ruleSet = std::make_shared<policy::rules>();
            draft.freshUntil = mono_time::max();
            return true;
        });
    }

    result<chosen_runner> choose()
    {
        policy::route_request wanted;
        wanted.service = "desk";
        wanted.timeLeft = std::chrono::seconds(10);
        return dispatch.choose(wanted, {});
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
    CPPUNIT_TEST(chosenRunnerHasUnansweredWorkUntilItAnswers);
    CPPUNIT_TEST(closedRunnerIsNotChosen);
    CPPUNIT_TEST(endedTryHasNoUnansweredWork);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream being cut: an instance chooses a runner and is frozen before it
    // sends; the planner reserves the runner, takes the instance's acknowledgement as proof that no
    // more work comes, and orders a role change; then the instance resumes and sends. So the
    // instance must not acknowledge the reservation while an earlier request is in transit.
    void chosenRunnerHasUnansweredWorkUntilItAnswers()
    {
        dispatch_fixture fixture;
        const auto choice = fixture.choose();
        CPPUNIT_ASSERT(succeeded(choice));
        CPPUNIT_ASSERT(!fixture.sentWork.hasUnansweredWorkAtClosedRunner(*fixture.views.current()));
        fixture.reserve();
        CPPUNIT_ASSERT(fixture.sentWork.hasUnansweredWorkAtClosedRunner(*fixture.views.current()));
        valueOf(choice).work->onAnswer();
        CPPUNIT_ASSERT(!fixture.sentWork.hasUnansweredWorkAtClosedRunner(*fixture.views.current()));
    }

    void closedRunnerIsNotChosen()
    {
        dispatch_fixture fixture;
        fixture.reserve();
        const auto choice = fixture.choose();
        CPPUNIT_ASSERT(!succeeded(choice));
        CPPUNIT_ASSERT(errorOf(choice).ran == verdict::NotRun);
        CPPUNIT_ASSERT(!fixture.sentWork.hasUnansweredWorkAtClosedRunner(*fixture.views.current()));
    }

    void endedTryHasNoUnansweredWork()
    {
        dispatch_fixture fixture;
        {
            const auto choice = fixture.choose();
            CPPUNIT_ASSERT(succeeded(choice));
        }
        fixture.reserve();
        CPPUNIT_ASSERT(!fixture.sentWork.hasUnansweredWorkAtClosedRunner(*fixture.views.current()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_test);
